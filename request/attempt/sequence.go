package attempt

// Verdict is what to do with a frame.
type Verdict int

// Verdicts of a Sequence.
const (
	// Deliver passes the frame to the caller.
	Deliver Verdict = iota
	// Drop ignores a frame that was delivered before.
	Drop
	// Foreign closes the connection: the frame belongs to another attempt.
	Foreign
	// Gap closes the connection: frames before this one are missing.
	Gap
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"deliver", "drop", "foreign", "gap"}[v]
}

// Sequence admits every frame of one attempt exactly once and in order.
type Sequence struct {
	id string
	// next is the number of frames delivered; it never goes back.
	next int
}

// NewSequence returns the sequence of an attempt.
func NewSequence(id string) *Sequence {
	return &Sequence{id: id}
}

// Next returns the number of frames delivered, which is the offset to resume at.
func (s *Sequence) Next() int { return s.next }

// Check judges one frame and counts it if it is to be delivered.
func (s *Sequence) Check(id string, sequence int) Verdict {
	switch {
	case id != s.id:
		return Foreign
	case sequence < s.next:
		return Drop
	case sequence > s.next:
		return Gap
	}
	s.next++
	return Deliver
}
