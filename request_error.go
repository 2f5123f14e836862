package savorywing

import (
	"errors"
	"fmt"
	"time"
)

// ErrorCode states whether a failed request may have run.
type ErrorCode string

const (
	// CodeNotRun means that the request did not run.
	CodeNotRun ErrorCode = "notRun"
	// CodeUnknown means that the request may have run.
	CodeUnknown ErrorCode = "unknown"
)

// RequestError is the typed error of every request that gets no complete response.
type RequestError struct {
	code       ErrorCode
	status     int
	reason     string
	retryAfter time.Duration
	cause      error
}

// RequestErrorOption sets an optional part of a RequestError.
type RequestErrorOption func(*RequestError)

// WithRetryAfter sets the time after which a retry may succeed.
func WithRetryAfter(d time.Duration) RequestErrorOption {
	return func(r *RequestError) { r.retryAfter = d }
}

// WithCause sets the underlying error.
func WithCause(err error) RequestErrorOption {
	return func(r *RequestError) { r.cause = err }
}

// NewRequestError returns an error with an HTTP status and a reason for the caller.
func NewRequestError(code ErrorCode, status int, reason string, opts ...RequestErrorOption) *RequestError {
	r := &RequestError{code: code, status: status, reason: reason}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Code states whether the request may have run.
func (r *RequestError) Code() ErrorCode { return r.code }

// AsUnknown returns the same error with CodeUnknown.
func (r *RequestError) AsUnknown() *RequestError {
	unknown := *r
	unknown.code = CodeUnknown
	return &unknown
}

// Status returns the HTTP status to respond with.
func (r *RequestError) Status() int { return r.status }

// Reason returns the text that explains the error to the caller.
func (r *RequestError) Reason() string { return r.reason }

// RetryAfter returns the time after which a retry may succeed; zero if it isn't known.
func (r *RequestError) RetryAfter() time.Duration { return r.retryAfter }

// Error implements error.
func (r *RequestError) Error() string {
	if r.cause != nil {
		return fmt.Sprintf("%s: %s: %v", r.code, r.reason, r.cause)
	}
	return fmt.Sprintf("%s: %s", r.code, r.reason)
}

// Unwrap returns the underlying error, or nil.
func (r *RequestError) Unwrap() error { return r.cause }

// AsRequestError returns the RequestError in an error chain. Any other error is wrapped in one with CodeUnknown.
func AsRequestError(err error) *RequestError {
	var r *RequestError
	if errors.As(err, &r) {
		return r
	}
	return NewRequestError(CodeUnknown, 502, "the backend server gave no whole answer", WithCause(err))
}
