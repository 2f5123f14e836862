package savorywing

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrorResponse is a response that the system itself generates.
type ErrorResponse struct {
	Status     int
	Reason     string
	RetryAfter time.Duration
	// SetHeaders adds headers of the dialect; it may be nil.
	SetHeaders func(*fasthttp.ResponseHeader)
}

// status returns the status, or 500 without one, which fasthttp would write as 200.
func (r ErrorResponse) status() int {
	if r.Status == 0 {
		return fasthttp.StatusInternalServerError
	}
	return r.Status
}

// Encode sets the header of the response and returns its body.
func (r ErrorResponse) Encode(h *fasthttp.ResponseHeader) []byte {
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(r.status())
	h.SetContentType("text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if r.SetHeaders != nil {
		r.SetHeaders(h)
	}
	return []byte(r.Reason + "\n")
}

// Exchange is one request and its response. Its methods must not be called at the same time. Methods that send something
// return an error if the caller is gone.
type Exchange interface {
	// HTTPRequest returns the request, which must not be changed.
	HTTPRequest() *fasthttp.Request
	// Arrival returns when the first byte of the request was received.
	Arrival() time.Time
	// Started reports whether a response was started.
	Started() bool
	// WriteError sends a complete response that the system itself generates.
	WriteError(r ErrorResponse)
	// Start sends the header of a response and the first bytes of its body. With a negative length, Finish marks the end of
	// the body.
	Start(h *fasthttp.ResponseHeader, length int, first []byte) error
	// Write sends the next bytes of the body.
	Write(p []byte) error
	// Finish sends the last bytes of the body and marks its end.
	Finish(last []byte) error
	// Abort ends the response so that the caller can't take it for complete.
	Abort()
}
