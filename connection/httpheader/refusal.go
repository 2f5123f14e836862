package httpheader

import (
	"errors"
	"net"
)

// Refusal is the error of bytes that aren't taken for a response, or not for a whole one.
type Refusal struct{ reason, text string }

// NewRefusal returns a Refusal with a reason that logs and metrics show, and the text of the error.
func NewRefusal(reason, text string) *Refusal { return &Refusal{reason, text} }

// Error implements error.
func (r *Refusal) Error() string { return r.text }

// Refused describes a response that was refused. The attempt ID is empty if the request has none.
type Refused struct {
	Address, AttemptID, Reason string
	Err                        error
}

// AsRefused returns the description of a response to a request that ended with an error, and whether it was refused. It wasn't if
// this side has closed the connection, or has waited for long enough.
func AsRefused(address, attemptID string, err error) (Refused, bool) {
	var r *Refusal
	var n net.Error
	if !errors.As(err, &r) || errors.Is(err, net.ErrClosed) || (errors.As(err, &n) && n.Timeout()) {
		return Refused{}, false
	}
	return Refused{Address: address, AttemptID: attemptID, Reason: r.reason, Err: err}, true
}
