package forwarding

import "time"

// Capacity is what a host may use in all, but for Descriptors, which are those for the requests of other hosts. A field that is 0 or
// less sets no bound.
type Capacity struct {
	MemoryBytes, Descriptors int
	// CPUShare is the fraction of a core, and LinkMbps the bandwidth in Mbit/s.
	CPUShare, LinkMbps float64
}

// Intake admits other hosts' requests within a part of a host's capacity, so that its own callers are served as before.
type Intake struct {
	// inFlight and bytes are the admitted requests that are not released, and what they hold. Neither is ever negative.
	inFlight, bytes int
	// maxInFlight and maxBytes are 0 without a bound.
	maxInFlight, maxBytes int
	requests, link        bucket
}

// NewIntake returns an intake for a host's capacity.
func NewIntake(c Capacity) *Intake {
	in := &Intake{maxBytes: int(memoryFraction * float64(c.MemoryBytes)), maxInFlight: c.Descriptors / descriptorsPerRequest}
	in.requests.perSecond = cpuFraction * c.CPUShare * requestsPerCore
	in.link.perSecond = linkFraction * c.LinkMbps * 1e6 / 8 / transfers
	return in
}

// InFlight returns the number of requests that are admitted and not released.
func (in *Intake) InFlight() int { return in.inFlight }

// Admit reports whether a request of a size is taken, and counts it until Release.
func (in *Intake) Admit(now time.Time, size int) bool {
	held := size + bytesPerRequest
	if (in.maxInFlight > 0 && in.inFlight >= in.maxInFlight) || (in.maxBytes > 0 && in.bytes+held > in.maxBytes) {
		return false
	}
	if !in.requests.has(now) || !in.link.has(now) {
		return false
	}
	in.requests.take(1)
	in.link.take(float64(size))
	in.inFlight++
	in.bytes += held
	return true
}

// Release ends an admitted request of a size.
func (in *Intake) Release(size int) {
	in.inFlight = max(0, in.inFlight-1)
	in.bytes = max(0, in.bytes-size-bytesPerRequest)
}

// bucket is a token bucket that may be overdrawn by one request, however large.
type bucket struct {
	// perSecond is 0 without a bound.
	perSecond, tokens float64
	at                time.Time
}

func (b *bucket) has(now time.Time) bool {
	if b.perSecond <= 0 {
		return true
	}
	capacity := max(1, b.perSecond*burstTime.Seconds())
	if b.at.IsZero() {
		b.tokens = capacity
	} else {
		b.tokens = min(capacity, b.tokens+b.perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	return b.tokens > 0
}

func (b *bucket) take(n float64) {
	if b.perSecond > 0 {
		b.tokens -= n
	}
}
