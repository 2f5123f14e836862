package savorywing

import (
	"time"

	"savorywing.example/savorywing/version/deadline"
)

// Request is a validated request of a caller.
type Request struct {
	ID           ID
	Organisation string
	Class        string
	// Model or Service is the name of the model or service requested; exactly one is set.
	Model       string
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Stream asks for server-sent events.
	Stream bool
	// Chat reports whether the request is a chat completion rather than a plain one.
	Chat bool
	// IdempotencyKey is the value of the caller's Idempotency-Key header. A request with a key runs at most once.
	IdempotencyKey string
	// Idempotent reports whether the request may be retried after a failure.
	Idempotent bool
	// PrefixDigest is the digest of the first part of the prompt.
	PrefixDigest uint64
	Arrival      time.Time
	Timeouts     deadline.Timeouts
	// Hold lets the request hold n bytes more until it ends, such as for its response, and reports whether the host has room.
	// It is nil without a bound.
	Hold func(n int) bool
}

// Queue returns the name of the queue in which the request waits.
func (r *Request) Queue() string {
	if r.Service != "" {
		return "service:" + r.Service
	}
	return "model:" + r.Model
}

// FirstTokenDeadline returns the time by which the caller must have received the first token.
func (r *Request) FirstTokenDeadline() time.Time { return r.Arrival.Add(r.Timeouts.FirstToken) }

// ResponseDeadline returns the time by which the caller must have received the complete response.
func (r *Request) ResponseDeadline() time.Time { return r.Arrival.Add(r.Timeouts.CompleteResponse) }

// Response is what a caller receives: a complete body, or events as they arrive.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Events      EventStream
}

// EventStream yields the events of a streamed response.
type EventStream interface {
	// Next returns the next bytes, io.EOF at the explicit end of the stream, and any other error if the
	// response can't be completed.
	Next() ([]byte, error)
	// Close ends the stream; the caller takes no more events.
	Close()
}
