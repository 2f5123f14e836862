package savorywing

import (
	"context"
	"time"

	"savorywing.example/savorywing/wire"
)

// BackendControl is what the system asks of a backend server besides requests.
type BackendControl interface {
	// Poll returns the backend server's announcement, made after Poll was called.
	Poll(ctx context.Context, address string) (wire.Announcement, error)
	// Order tells a backend server what to hold.
	Order(ctx context.Context, address string, o wire.Order) (wire.OrderReply, error)
}

// Target is one backend server as an attempt sees it.
type Target struct {
	Address string
	Host    string
	// Resumable tells that a stream can be resumed at an offset on a new connection.
	Resumable bool
}

// Call is one request on its way to a backend server.
type Call struct {
	AttemptID   ID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is the caller's Idempotency-IdempotencyKey, passed on as it is.
	IdempotencyKey string
	// ResumeOffset is the number of frames already delivered; above zero the call resumes a stream.
	ResumeOffset int
	// NewConnection forbids a pooled connection.
	NewConnection bool
	// FirstByteTimeout bounds every silence until the caller of Send sets another gap on the stream.
	FirstByteTimeout time.Duration
}

// BackendResponse is the head of a backend server's answer; Stream yields the rest.
type BackendResponse struct {
	Status      int
	ContentType string
	// NotRun tells that the backend server refused before running the request.
	NotRun bool
	Stream Stream
}

// Stream yields an answer's bytes.
type Stream interface {
	Read(p []byte) (int, error)
	// SetIdleTimeout bounds the silence between bytes from now on.
	SetIdleTimeout(d time.Duration)
	// Close ends the connection unless the answer was read to its end.
	Close() error
}

// Backend sends requests to backend servers.
type Backend interface {
	// Send returns once the head of the answer is there. An error is a RequestError with CodeNotRun
	// only if no byte of the request was given to a connection.
	Send(ctx context.Context, t Target, c Call) (BackendResponse, error)
}

// Kinds of orders to backend servers.
const (
	// OrderLoad makes a backend server a member of a group.
	OrderLoad = "load"
	// OrderUnload makes it hold nothing.
	OrderUnload = "unload"
)
