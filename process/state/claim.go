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
	m.expireClaims()
	k := claimKey{c.Organisation, c.Key}
	old := m.claims[k]
	if old == nil {
		if uint64(len(m.claims)) >= c.Limit {
			return rejected(ReasonClaimTableFull)
		}
		return m.startAttempt(k, c)
	}
	if old.Digest != c.Digest {
		return rejected(ReasonDigestMismatch)
	}
	if old.Attempt == c.Attempt && old.State == ClaimRunning {
		return claimResult(true, "", old)
	}
	if old.State == ClaimVoid {
		return m.startAttempt(k, c)
	}
	return claimResult(false, ReasonClaimed, old)
}

func claimResult(accepted bool, reason string, r *wire.ClaimRecord) wire.Result {
	c := *r
	return wire.Result{Accepted: accepted, Reason: reason, Claim: &c}
}

// startAttempt records an attempt as the claim's running one; its owner may then send the request.
func (m *Machine) startAttempt(k claimKey, c wire.Claim) wire.Result {
	r := &wire.ClaimRecord{
		Organisation: c.Organisation, Key: c.Key, Digest: c.Digest, State: ClaimRunning,
		Attempt: c.Attempt, Owner: c.Owner, At: m.lastCommandTime, Expires: m.lastCommandTime + c.KeepMilliseconds,
	}
	m.claims[k] = r
	m.claimOrder = append(m.claimOrder, expiry{key: k, at: r.Expires})
	return claimResult(true, "", r)
}

// expireClaims removes the claims whose retention has ended by the time of the newest command. It stops at the first entry
// of claimOrder whose time has not come.
func (m *Machine) expireClaims() {
	for len(m.claimOrder) > 0 {
		e := m.claimOrder[0]
		if e.at > m.lastCommandTime {
			return
		}
		if r := m.claims[e.key]; r != nil && r.Expires <= m.lastCommandTime {
			delete(m.claims, e.key)
		}
		m.claimOrder = m.claimOrder[1:]
	}
}

// settle records the outcome of the attempt that holds the claim.
func (m *Machine) settle(s wire.Settle) wire.Result {
	r := m.claims[claimKey{s.Organisation, s.Key}]
	if r == nil || r.Attempt != s.Attempt {
		return rejected(ReasonNoClaim)
	}
	if r.State != ClaimRunning && r.State != ClaimUnknown {
		return claimResult(r.State == settledState(s.Outcome), ReasonNoClaim, r)
	}
	r.State = settledState(s.Outcome)
	if r.State == ClaimDone {
		r.Status, r.ContentType, r.Answer = s.Status, s.ContentType, s.Answer
		r.AnswerKept = s.AnswerKept
	}
	return claimResult(true, "", r)
}

func settledState(outcome string) string {
	switch outcome {
	case OutcomeDone:
		return ClaimDone
	case OutcomeNotRun:
		return ClaimVoid
	default:
		return ClaimUnknown
	}
}
