package standin

import "time"

// Faults are the faults that are switched on; the zero value is a sound backend server.
type Faults struct {
	// FreezeMilliseconds stops every answer for that long from now.
	FreezeMilliseconds int `json:"freezeMilliseconds"`
	// DelayMilliseconds delays the head of every answer.
	DelayMilliseconds int `json:"delayMilliseconds"`
	// SlowFactor multiplies the time of every token.
	SlowFactor float64 `json:"slowFactor"`
	// DropAfter closes the connection after that many frames.
	DropAfter int `json:"dropAfter"`
	// SilentAfter sends nothing more on the connection after that many frames, and keeps it open.
	SilentAfter int `json:"silentAfter"`
	// TruncateAfter ends the stream cleanly after that many frames, without its end mark.
	TruncateAfter int `json:"truncateAfter"`
	// ForeignAfter sends a frame of another attempt after that many frames.
	ForeignAfter int `json:"foreign"`
	// Duplicate sends every frame twice.
	Duplicate bool `json:"duplicate"`
	// SkipAfter leaves out one frame after that many frames.
	SkipAfter int `json:"skipAfter"`
	// WrongAttempt answers with another attempt's number in the head.
	WrongAttempt bool `json:"wrongAttempt"`
	// RefuseNotRun refuses every request before running it.
	RefuseNotRun bool `json:"refuseNotRun"`
	// LoseAnswer runs a request and closes the connection without an answer.
	LoseAnswer bool `json:"loseAnswer"`
	// IgnoreFencing takes orders with any fencing number.
	IgnoreFencing bool `json:"ignoreFencing"`
	// LoseOrderAnswer carries an order out and closes the connection.
	LoseOrderAnswer bool `json:"loseOrderAnswer"`
	// Mute stops announcements and answers to polls.
	Mute bool `json:"mute"`
	// Times bounds how many requests the faults of a stream hit; 0 means all.
	Times int `json:"times"`

	frozenUntil time.Time
}
