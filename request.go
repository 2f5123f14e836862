package savorywing

import (
	"time"

	"savorywing.example/savorywing/version/deadline"
)

// Request is one caller's request after its checks.
type Request struct {
	ID           ID
	Organisation string
	Class        string
	// Model or Service names what the request is for; exactly one is set.
	Model       string
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Stream asks for server-sent events.
	Stream bool
	// Chat tells a chat completion from a plain one.
	Chat bool
	// IdempotencyKey is the caller's Idempotency-IdempotencyKey; a request with a key runs at most once.
	IdempotencyKey string
	// Idempotent requests may be sent again after a failure.
	Idempotent bool
	// PrefixDigest is the digest of the prompt's beginning.
	PrefixDigest uint64
	Arrival      time.Time
	Timeouts     deadline.Timeouts
}

// Queue names the queue that the request waits in.
func (r *Request) Queue() string {
	if r.Service != "" {
		return "service:" + r.Service
	}
	return "model:" + r.Model
}

// FirstTokenDeadline returns when the first token must be there.
func (r *Request) FirstTokenDeadline() time.Time { return r.Arrival.Add(r.Timeouts.FirstToken) }

// ResponseDeadline returns when the whole answer must be there.
func (r *Request) ResponseDeadline() time.Time { return r.Arrival.Add(r.Timeouts.CompleteResponse) }

// Response is what a caller gets: a whole body, or events as they come.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Events      EventStream
}

// EventStream yields the events of a streamed answer.
type EventStream interface {
	// Next returns the next bytes, io.EOF at the explicit end, and any other error if the answer
	// can't be finished.
	Next() ([]byte, error)
	// Close tells that the caller takes no more.
	Close()
}
