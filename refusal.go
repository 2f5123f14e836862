package savorywing

import (
	"errors"
	"fmt"
	"time"
)

// Code tells a caller whether a refused request may have run.
type Code string

const (
	// CodeNotRun says that the request did not run.
	CodeNotRun Code = "notRun"
	// CodeUnknown says that the request may have run.
	CodeUnknown Code = "unknown"
)

// Refusal is the typed error behind every request that gets no whole answer.
type Refusal struct {
	code       Code
	status     int
	reason     string
	retryAfter time.Duration
	cause      error
}

// RefusalOption sets an optional part of a Refusal.
type RefusalOption func(*Refusal)

// WithRetryAfter states when coming back helps.
func WithRetryAfter(d time.Duration) RefusalOption {
	return func(r *Refusal) { r.retryAfter = d }
}

// WithCause keeps the error that led to the refusal.
func WithCause(err error) RefusalOption {
	return func(r *Refusal) { r.cause = err }
}

// NewRefusal returns a refusal with an HTTP status and a reason.
func NewRefusal(code Code, status int, reason string, opts ...RefusalOption) *Refusal {
	r := &Refusal{code: code, status: status, reason: reason}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Code returns whether the request may have run.
func (r *Refusal) Code() Code { return r.code }

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int { return r.status }

// Reason returns the reason in words for the caller.
func (r *Refusal) Reason() string { return r.reason }

// RetryAfter returns when coming back helps; zero means that the refusal doesn't know.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error implements error.
func (r *Refusal) Error() string {
	if r.cause != nil {
		return fmt.Sprintf("%s: %s: %v", r.code, r.reason, r.cause)
	}
	return fmt.Sprintf("%s: %s", r.code, r.reason)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.cause }

// AsRefusal finds the refusal in an error chain; any other error becomes an unknown outcome.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewRefusal(CodeUnknown, 502, "the backend server gave no whole answer", WithCause(err))
}
