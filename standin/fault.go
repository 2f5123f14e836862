package standin

import "time"

// Faults are the faults that are switched on. The zero value is a backend server without faults.
type Faults struct {
	// FreezeMilliseconds suspends all responses and announcements for that long, counted from SetFaults.
	FreezeMilliseconds int `json:"freezeMilliseconds"`
	// DelayMilliseconds delays the header of every response.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// SlowFactor multiplies the time of every token; 0 means no change.
	SlowFactor float64 `json:"slowFactor"`
	// DropAfter closes the connection after that many frames; here and below, 0 means never.
	DropAfter int `json:"dropAfter"`
	// SilentAfter sends nothing more after that many frames and keeps the connection open.
	SilentAfter int `json:"silentAfter"`
	// TruncateAfter ends the stream cleanly after that many frames, without its end mark.
	TruncateAfter int `json:"truncateAfter"`
	// WrongAttemptAfter sends a frame of another attempt after that many frames.
	WrongAttemptAfter int `json:"foreign"`
	// Duplicate sends every frame twice.
	Duplicate bool `json:"duplicate"`
	// SkipAfter omits one frame after that many frames.
	SkipAfter int `json:"skipAfter"`
	// WrongAttempt sends another attempt's ID in the response header.
	WrongAttempt bool `json:"wrongAttempt"`
	// RejectNotRun rejects every request before running it.
	RejectNotRun bool `json:"refuseNotRun"`
	// LoseResponse runs a request and closes the connection without a response.
	LoseResponse bool `json:"loseAnswer"`
	// IgnoreFencing accepts orders with any fencing token.
	IgnoreFencing bool `json:"ignoreFencing"`
	// LoseOrderReply executes an order and closes the connection without a reply.
	LoseOrderReply bool `json:"loseOrderAnswer"`
	// Mute sends no announcements and closes the connections of polls.
	Mute bool `json:"mute"`
	// Times is the number of requests and orders after which all faults are switched off; 0 means that they stay on.
	Times int `json:"times"`

	frozenUntil time.Time
}
