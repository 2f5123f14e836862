package attempt

// Verdict states how a frame is handled.
type Verdict int

// Verdicts of a SequenceChecker.
const (
	// Deliver passes the frame to the caller.
	Deliver Verdict = iota
	// Drop ignores a frame that was delivered before.
	Drop
	// WrongAttempt closes the connection: the frame belongs to another attempt.
	WrongAttempt
	// MissingFrames closes the connection: frames before this one are missing.
	MissingFrames
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"deliver", "drop", "foreign", "gap"}[v]
}

// SequenceChecker accepts every frame of one attempt exactly once and in order.
type SequenceChecker struct {
	id string
	// next is the number of frames delivered; it never decreases.
	next int
}

// NewSequenceChecker returns the checker for the attempt with the given ID.
func NewSequenceChecker(id string) *SequenceChecker {
	return &SequenceChecker{id: id}
}

// NextOffset returns the number of frames delivered, which is the offset to resume at.
func (s *SequenceChecker) NextOffset() int { return s.next }

// Check returns the verdict on one frame, and counts the frame if it is to be delivered.
func (s *SequenceChecker) Check(id string, sequence int) Verdict {
	switch {
	case id != s.id:
		return WrongAttempt
	case sequence < s.next:
		return Drop
	case sequence > s.next:
		return MissingFrames
	}
	s.next++
	return Deliver
}
