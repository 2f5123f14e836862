package savorywing

import (
	"time"

	"savorywing.example/savorywing/version/patience"
)

// Request is one caller's request after its checks.
type Request struct {
	Number       Number
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
	// Key is the caller's Idempotency-Key; a request with a key runs at most once.
	Key string
	// Idempotent requests may be sent again after a failure.
	Idempotent bool
	// Prefix is the digest of the prompt's beginning.
	Prefix   uint64
	Arrival  time.Time
	Patience patience.Patience
}

// Lane names the queue that the request waits in.
func (r *Request) Lane() string {
	if r.Service != "" {
		return "service:" + r.Service
	}
	return "model:" + r.Model
}

// FirstTokenBy returns when the first token must be there.
func (r *Request) FirstTokenBy() time.Time { return r.Arrival.Add(r.Patience.FirstToken) }

// WholeBy returns when the whole answer must be there.
func (r *Request) WholeBy() time.Time { return r.Arrival.Add(r.Patience.WholeAnswer) }

// Answer is what a caller gets: a whole body, or events as they come.
type Answer struct {
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
