package settings

import "time"

// Defaults of values that the files don't set or set to zero.
const (
	defaultLease                 = 2 * time.Second
	defaultPollInterval          = 500 * time.Millisecond
	defaultFreshness             = 5 * time.Second
	defaultConfirmInterval       = 500 * time.Millisecond
	defaultElectionTimeout       = 1 * time.Second
	defaultMaxOrderDelay         = 2 * time.Second
	defaultBalancerDetectionTime = 2 * time.Second
	defaultClaimRetention        = 24 * time.Hour
	defaultMaxBody               = 1 * MiB
	defaultMaxRequests           = 1024
	defaultMaxGroupRequests      = 64
	defaultMaxClaims             = 100_000
	defaultMaxRecordedResponse   = 16 * KiB
	defaultRetryRatio            = 0.1
	defaultMaxConcurrentLoads    = 2
	defaultHoldDown              = 30 * time.Second
	defaultMaxHoldDown           = 30 * time.Minute
	defaultDomainReturnTimeout   = 5 * time.Minute
	defaultOrganisationWeight    = 1.0
	defaultPlanningWeight        = 1.0
	defaultLogLevel              = "info"
)

// setDefault sets *v to d if it is zero.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Defaults sets the values that the files don't set or set to zero.
func (s *Settings) Defaults() {
	s.Timing.defaults()
	s.Limits.defaults()
	s.Planning.defaults()
	setDefault(&s.Daemon.LogLevel, defaultLogLevel)
	for name, o := range s.Organisations {
		setDefault(&o.Weight, defaultOrganisationWeight)
		s.Organisations[name] = o
	}
	for name, m := range s.Models {
		setDefault(&m.HostsPerReplica, 1)
		setDefault(&m.Replicas, 1)
		setDefault(&m.Accelerators, 1)
		s.Models[name] = m
	}
}

func (t *Timing) defaults() {
	setDefault(&t.Lease, defaultLease)
	setDefault(&t.PollInterval, defaultPollInterval)
	setDefault(&t.Freshness, defaultFreshness)
	setDefault(&t.ConfirmInterval, defaultConfirmInterval)
	setDefault(&t.ElectionTimeout, defaultElectionTimeout)
	setDefault(&t.MaxOrderDelay, defaultMaxOrderDelay)
	setDefault(&t.BalancerDetectionTime, defaultBalancerDetectionTime)
	setDefault(&t.ClaimRetention, defaultClaimRetention)
}

func (l *Limits) defaults() {
	setDefault(&l.MaxBody, defaultMaxBody)
	setDefault(&l.MaxRequests, defaultMaxRequests)
	setDefault(&l.MaxGroupRequests, defaultMaxGroupRequests)
	setDefault(&l.MaxClaims, defaultMaxClaims)
	setDefault(&l.MaxRecordedResponse, defaultMaxRecordedResponse)
	setDefault(&l.RetryRatio, defaultRetryRatio)
}

func (p *Planning) defaults() {
	setDefault(&p.DowntimeWeight, defaultPlanningWeight)
	setDefault(&p.StrandedAcceleratorWeight, defaultPlanningWeight)
	setDefault(&p.MaxConcurrentLoads, defaultMaxConcurrentLoads)
	setDefault(&p.HoldDown, defaultHoldDown)
	setDefault(&p.MaxHoldDown, defaultMaxHoldDown)
	setDefault(&p.DomainReturnTimeout, defaultDomainReturnTimeout)
}
