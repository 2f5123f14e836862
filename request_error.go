package savorywing

import (
	"errors"
	"fmt"
	"time"
)

// ErrorCode tells a caller whether a refused request may have run.
type ErrorCode string

const (
	// CodeNotRun says that the request did not run.
	CodeNotRun ErrorCode = "notRun"
	// CodeUnknown says that the request may have run.
	CodeUnknown ErrorCode = "unknown"
)

// RequestError is the typed error behind every request that gets no whole answer.
type RequestError struct {
	code       ErrorCode
	status     int
	reason     string
	retryAfter time.Duration
	cause      error
}

// RequestErrorOption sets an optional part of a RequestError.
type RequestErrorOption func(*RequestError)

// WithRetryAfter states when coming back helps.
func WithRetryAfter(d time.Duration) RequestErrorOption {
	return func(r *RequestError) { r.retryAfter = d }
}

// WithCause keeps the error that led to the refusal.
func WithCause(err error) RequestErrorOption {
	return func(r *RequestError) { r.cause = err }
}

// NewRequestError returns a refusal with an HTTP status and a reason.
func NewRequestError(code ErrorCode, status int, reason string, opts ...RequestErrorOption) *RequestError {
	r := &RequestError{code: code, status: status, reason: reason}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Code returns whether the request may have run.
func (r *RequestError) Code() ErrorCode { return r.code }

// Status returns the HTTP status of the refusal.
func (r *RequestError) Status() int { return r.status }

// Reason returns the reason in words for the caller.
func (r *RequestError) Reason() string { return r.reason }

// RetryAfter returns when coming back helps; zero means that the refusal doesn't know.
func (r *RequestError) RetryAfter() time.Duration { return r.retryAfter }

// Error implements error.
func (r *RequestError) Error() string {
	if r.cause != nil {
		return fmt.Sprintf("%s: %s: %v", r.code, r.reason, r.cause)
	}
	return fmt.Sprintf("%s: %s", r.code, r.reason)
}

// Unwrap returns the cause.
func (r *RequestError) Unwrap() error { return r.cause }

// AsRequestError finds the refusal in an error chain; any other error becomes an unknown outcome.
func AsRequestError(err error) *RequestError {
	var r *RequestError
	if errors.As(err, &r) {
		return r
	}
	return NewRequestError(CodeUnknown, 502, "the backend server gave no whole answer", WithCause(err))
}
