package settings

import "time"

// Defaults of values that the files leave out.
const (
	defaultLease          = 2 * time.Second
	defaultPoll           = 500 * time.Millisecond
	defaultFreshness      = 5 * time.Second
	defaultConfirm        = 500 * time.Millisecond
	defaultElection       = 1 * time.Second
	defaultLongestOrder   = 2 * time.Second
	defaultBalancerNotice = 2 * time.Second
	defaultClaimKept      = 24 * time.Hour
	defaultBody           = 1 * MiB
	defaultRequests       = 1024
	defaultGroupRequests  = 64
	defaultClaims         = 100_000
	defaultAnswerKept     = 16 * KiB
	defaultRetryShare     = 0.1
	defaultLoadsAtOnce    = 2
	defaultHoldDown       = 30 * time.Second
	defaultHoldDownMax    = 30 * time.Minute
	defaultDomainReturn   = 5 * time.Minute
	defaultShare          = 1.0
	defaultWeight         = 1.0
	defaultLogLevel       = "info"
)

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Defaults fills in what the files leave out.
func (s *Settings) Defaults() {
	s.Timing.defaults()
	s.Limits.defaults()
	s.Planning.defaults()
	orDefault(&s.Daemon.LogLevel, defaultLogLevel)
	for name, o := range s.Organisations {
		orDefault(&o.Weight, defaultShare)
		s.Organisations[name] = o
	}
	for name, m := range s.Models {
		orDefault(&m.HostsPerReplica, 1)
		orDefault(&m.Replicas, 1)
		orDefault(&m.Accelerators, 1)
		s.Models[name] = m
	}
}

func (t *Timing) defaults() {
	orDefault(&t.Lease, defaultLease)
	orDefault(&t.PollInterval, defaultPoll)
	orDefault(&t.Freshness, defaultFreshness)
	orDefault(&t.ConfirmInterval, defaultConfirm)
	orDefault(&t.ElectionTimeout, defaultElection)
	orDefault(&t.MaxOrderDelay, defaultLongestOrder)
	orDefault(&t.BalancerDetectionTime, defaultBalancerNotice)
	orDefault(&t.ClaimRetention, defaultClaimKept)
}

func (l *Limits) defaults() {
	orDefault(&l.Body, defaultBody)
	orDefault(&l.MaxRequests, defaultRequests)
	orDefault(&l.MaxGroupRequests, defaultGroupRequests)
	orDefault(&l.MaxClaims, defaultClaims)
	orDefault(&l.MaxRecordedResponse, defaultAnswerKept)
	orDefault(&l.RetryRatio, defaultRetryShare)
}

func (p *Planning) defaults() {
	orDefault(&p.DowntimeWeight, defaultWeight)
	orDefault(&p.StrandedWeight, defaultWeight)
	orDefault(&p.MaxConcurrentLoads, defaultLoadsAtOnce)
	orDefault(&p.HoldDown, defaultHoldDown)
	orDefault(&p.MaxHoldDown, defaultHoldDownMax)
	orDefault(&p.DomainReturnTimeout, defaultDomainReturn)
}
