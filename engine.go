package savorywing

import (
	"context"
	"time"

	"savorywing.example/savorywing/wire"
)

// BackendControl sends polls and orders to backend servers.
type BackendControl interface {
	// Poll returns an announcement that the backend server made after Poll was called.
	Poll(ctx context.Context, address string) (wire.Announcement, error)
	// Order sends a backend server an order to load a model as a member of a group, or to unload.
	Order(ctx context.Context, address string, o wire.Order) (wire.OrderReply, error)
}

// Target is the backend server that an attempt is sent to.
type Target struct {
	Address string
	Host    string
	// Resumable reports whether a stream can be resumed at an offset on a new connection.
	Resumable bool
}

// Call is one attempt of a request as it is sent to a backend server.
type Call struct {
	AttemptID   ID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is the value of the caller's Idempotency-Key header, forwarded unchanged.
	IdempotencyKey string
	// ResumeOffset is the number of frames already delivered. If it is above zero, the call resumes a stream.
	ResumeOffset int
	// NewConnection forbids the use of a pooled connection.
	NewConnection bool
	// FirstByteTimeout is the longest time without a byte until the caller of Send sets an idle timeout on the stream.
	FirstByteTimeout time.Duration
}

// BackendResponse is the header of a backend server's response. Stream yields the body.
type BackendResponse struct {
	Status      int
	ContentType string
	// NotRun reports whether the backend server rejected the request before running it.
	NotRun bool
	Stream Stream
}

// Stream yields the body of a response.
type Stream interface {
	Read(p []byte) (int, error)
	// SetIdleTimeout sets the longest time without a byte for the reads that follow.
	SetIdleTimeout(d time.Duration)
	// Close closes the connection unless the response was read to its end.
	Close() error
}

// Backend sends requests to backend servers.
type Backend interface {
	// Send returns once the header of the response has been received. An error is a RequestError with
	// CodeNotRun only if no byte of the request was written to a connection.
	Send(ctx context.Context, t Target, c Call) (BackendResponse, error)
}

// Kinds of wire.Order.
const (
	// OrderLoad makes a backend server a member of a group.
	OrderLoad = "load"
	// OrderUnload makes a backend server unload its model and end its membership.
	OrderUnload = "unload"
)
