package state

import "savorywing.example/savorywing/wire"

// States of a claim.
const (
	ClaimRunning = "running"
	ClaimDone    = "done"
	ClaimUnknown = "unknown"
	ClaimVoid    = "void"
)

// Outcomes of a claimed attempt.
const (
	OutcomeDone    = "done"
	OutcomeUnknown = "unknown"
	OutcomeNotRun  = "notRun"
)

func (m *Machine) claim(c wire.Claim) wire.Result {
	m.expire()
	k := claimKey{c.Organisation, c.Key}
	old := m.claims[k]
	if old == nil {
		if uint64(len(m.claims)) >= c.Limit {
			return refused(ReasonLedgerFull)
		}
		return m.run(k, c)
	}
	if old.Digest != c.Digest {
		return refused(ReasonDigest)
	}
	if old.Attempt == c.Attempt && old.State == ClaimRunning {
		return claimResult(true, "", old)
	}
	if old.State == ClaimVoid {
		return m.run(k, c)
	}
	return claimResult(false, ReasonClaimed, old)
}

func claimResult(accepted bool, reason string, r *wire.ClaimRecord) wire.Result {
	c := *r
	return wire.Result{Accepted: accepted, Reason: reason, Claim: &c}
}

// run records an attempt that may now be sent.
func (m *Machine) run(k claimKey, c wire.Claim) wire.Result {
	r := &wire.ClaimRecord{
		Organisation: c.Organisation, Key: c.Key, Digest: c.Digest, State: ClaimRunning,
		Attempt: c.Attempt, Owner: c.Owner, At: m.at, Expires: m.at + c.KeepMilliseconds,
	}
	m.claims[k] = r
	m.claimOrder = append(m.claimOrder, expiry{key: k, at: r.Expires})
	return claimResult(true, "", r)
}

// expire forgets the oldest claims whose time is over.
func (m *Machine) expire() {
	for len(m.claimOrder) > 0 {
		e := m.claimOrder[0]
		if e.at > m.at {
			return
		}
		if r := m.claims[e.key]; r != nil && r.Expires <= m.at {
			delete(m.claims, e.key)
		}
		m.claimOrder = m.claimOrder[1:]
	}
}

// settle records how the attempt that holds the claim ended.
func (m *Machine) settle(s wire.Settle) wire.Result {
	r := m.claims[claimKey{s.Organisation, s.Key}]
	if r == nil || r.Attempt != s.Attempt {
		return refused(ReasonNoClaim)
	}
	if r.State != ClaimRunning && r.State != ClaimUnknown {
		return claimResult(r.State == settled(s.Outcome), ReasonNoClaim, r)
	}
	r.State = settled(s.Outcome)
	if r.State == ClaimDone {
		r.Status, r.ContentType, r.Answer = s.Status, s.ContentType, s.Answer
		r.AnswerKept = s.AnswerKept
	}
	return claimResult(true, "", r)
}

func settled(outcome string) string {
	switch outcome {
	case OutcomeDone:
		return ClaimDone
	case OutcomeNotRun:
		return ClaimVoid
	default:
		return ClaimUnknown
	}
}
