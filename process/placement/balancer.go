package placement

import (
	"math/rand/v2"
	"sort"
	"time"

	"savorywing.example/savorywing/process/evacuation"
	"savorywing.example/savorywing/process/fleet"
	"savorywing.example/savorywing/process/quota"
	"savorywing.example/savorywing/wire"
)

// Config holds the thresholds of placement.
type Config struct {
	// DataCentre is this host's data centre; among equals, servers there are preferred.
	DataCentre string
	// StallTimeout is how long an engine with requests in flight may make no progress; 0 means 450 ms.
	StallTimeout time.Duration
	// Seed makes random choices reproducible.
	Seed uint64
}

const (
	// defaultStallTimeout is longer than the longest pauses between events of full groups of the slowest model.
	defaultStallTimeout = 450 * time.Millisecond
	// defaultOccupancy is the assumed time that a request occupies its slot until samples are available.
	defaultOccupancy = 1500 * time.Millisecond
	// localBonus is how many more requests a server in this data centre may have than one in another.
	localBonus = 0.5
	// objectiveFraction is the fraction of the objective that the predicted time to the first event may take.
	objectiveFraction = 0.9
	// largePromptFraction is the fraction of the objective that is added to the time on an idle group, so that large
	// prompts that take long anywhere are not rejected.
	largePromptFraction = 0.4
	// lateFraction is the fraction of the objective that a request may still wait after its objective has passed. It
	// gets only the capacity that requests that can be in time leave free.
	lateFraction = 0.5
	// slowFactor is the ratio of event times to those of the fastest peer from which a server counts as slow.
	slowFactor = 2.0
	// minRetryAfter is the shortest time after which a rejected caller is asked to retry.
	minRetryAfter = 250 * time.Millisecond
)

// Balancer is the load-balancing state of one entry host.
type Balancer struct {
	cfg Config
	// random draws from source.
	random *rand.Rand
	source *rand.PCG
	byID   map[string]*endpoint
	// pools holds the endpoints of each service and model, sorted by ID, other than those in evacuated data centres, of which
	// evacuatedPools has the keys.
	pools          map[endpointKey][]*endpoint
	evacuated      *evacuation.Set
	evacuatedPools map[endpointKey]bool
	// byHandle holds the endpoints by the handles that the leader assigned.
	byHandle map[uint64]*endpoint
	// entryHosts is the number of entry hosts; fewerSince is since when the leader has reported fewer, zero if it doesn't.
	entryHosts int
	fewerSince time.Time
	// overhead is the part of the time to the first event that the engine's performance model doesn't explain.
	overhead map[endpointKey]time.Duration
	// gaps is the moving average of the time between two events, by key.
	gaps map[endpointKey]time.Duration
	// occupancies is the moving average of the time that a request occupies its slot, by key.
	occupancies map[endpointKey]time.Duration
	// shares holds this host's part of the capacity of each pool, and of its servers in each area.
	shares map[shareKey]*poolShare
	// permits holds servers' request limits and the permits for requests to them.
	permits *quota.Holder
	// notices holds what servers have stated about themselves, by ID.
	notices map[string]serverNotice
	// interval is the moving average of the time between two updates of the leader, and updatedAt when the last one
	// arrived.
	interval  time.Duration
	updatedAt time.Time
	// largeUntil is until when large requests are expected, by key.
	largeUntil map[endpointKey]time.Time
	// isLevelled reports whether the other hosts' loads have been levelled since the last update.
	isLevelled bool
	// isPartial reports whether the last sums lacked hosts.
	isPartial bool
}

// endpointKey identifies a pool: the endpoints that serve a model of a service.
type endpointKey struct{ service, model string }

// New returns a Balancer without endpoints.
func New(cfg Config) *Balancer {
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = defaultStallTimeout
	}
	source := rand.NewPCG(cfg.Seed, cfg.Seed)
	return &Balancer{
		cfg: cfg, random: rand.New(source), source: source, byID: map[string]*endpoint{}, pools: map[endpointKey][]*endpoint{},
		overhead: map[endpointKey]time.Duration{}, gaps: map[endpointKey]time.Duration{}, occupancies: map[endpointKey]time.Duration{}, shares: map[shareKey]*poolShare{},
		notices: map[string]serverNotice{}, permits: quota.NewHolder(cfg.Seed), largeUntil: map[endpointKey]time.Time{},
	}
}

// UpdateEndpoints adds or replaces the changed endpoints and deletes the removed ones. If full is set, changed is the
// complete list, and all others are deleted. Requests in flight are kept when an endpoint restarts.
func (b *Balancer) UpdateEndpoints(full bool, changed []wire.Endpoint, removed []string) {
	if full {
		keep := map[string]bool{}
		for _, e := range changed {
			keep[e.ID] = true
		}
		for id := range b.byID {
			if !keep[id] {
				delete(b.byID, id)
			}
		}
	}
	for _, id := range removed {
		delete(b.byID, id)
	}
	for _, e := range changed {
		old := b.byID[e.ID]
		if old == nil || old.Born != e.Born || old.Epoch != e.Epoch {
			next := &endpoint{Endpoint: e, entryHosts: b.EntryHosts()}
			if old != nil {
				next.localInFlight, next.localWaiting, next.localExtra, next.started = old.localInFlight, old.localWaiting, old.localExtra, old.started
			}
			b.byID[e.ID] = next
			continue
		}
		old.Endpoint = e
	}
	b.rebuildIndex()
}

// rebuildIndex rebuilds pools and byHandle from byID.
func (b *Balancer) rebuildIndex() {
	b.pools, b.byHandle, b.evacuatedPools = map[endpointKey][]*endpoint{}, map[uint64]*endpoint{}, map[endpointKey]bool{}
	for _, e := range b.byID {
		b.byHandle[e.Handle] = e
		k := endpointKey{e.Service, e.Model}
		if b.evacuated.Covers(e.DataCentre) {
			b.evacuatedPools[k] = true
			continue
		}
		b.pools[k] = append(b.pools[k], e)
	}
	for _, list := range b.pools {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// Len returns the number of endpoints.
func (b *Balancer) Len() int { return len(b.byID) }

// stallTimeout returns how long an endpoint with requests in flight may make no progress: a multiple of the mean time
// between events, which differs by model.
func (b *Balancer) stallTimeout(e *endpoint) time.Duration {
	gap := b.gaps[endpointKey{e.Service, e.Model}]
	if gap == 0 {
		return b.cfg.StallTimeout
	}
	return min(b.cfg.StallTimeout, max(minStallTimeout, stallGaps*gap))
}

const (
	// stallGaps is the stall timeout in mean gaps: several times the ratio of the longest to the mean gap in a full batch.
	stallGaps = 6
	// minStallTimeout is longer than the delay that a busy entry host and a lost packet add.
	minStallTimeout = 220 * time.Millisecond
)

// Usage returns this host's load of each endpoint with requests in flight, sorted by ID, for the report to the leader.
// It also records the reported counts, which SetLoads subtracts from the leader's sums.
func (b *Balancer) Usage(now time.Time) []wire.EndpointLoad {
	var out []wire.EndpointLoad
	for _, e := range b.byID {
		e.reported, e.reportedExtra, e.reportedWaiting = e.localInFlight, e.localExtra, e.localWaiting
		if e.localInFlight > 0 || e.pace != (paceSample{}) {
			l := wire.EndpointLoad{ID: e.ID, InFlight: e.localInFlight + e.localExtra, WaitingTokens: e.localWaiting, Stalled: e.isStalled(now, b.stallTimeout(e)), Moved: e.progressed}
			e.takePace(&l)
			out = append(out, l)
		}
		e.progressed = false
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// SetLoads applies the leader's sums over all entry hosts, which include what Usage last returned here.
// entryHosts is the number of hosts in the sums, this one included.
func (b *Balancer) SetLoads(now time.Time, loads []fleet.Load, entryHosts int) {
	b.setEntryHosts(now, max(1, entryHosts))
	if !b.updatedAt.IsZero() {
		updateMean(&b.interval, min(now.Sub(b.updatedAt), maxInterval))
	}
	b.updatedAt, b.isLevelled = now, false
	b.expireNotices(now)
	missing := b.recordCoverage(max(1, entryHosts))
	for _, e := range b.byID {
		e.remoteInFlight, e.remoteWaiting = e.assumed(missing)
		e.remoteStalled, e.entryHosts = false, b.entryHosts
		e.remoteProgressed, e.remoteUpdatedAt = false, now
	}
	for _, load := range loads {
		if e := b.byHandle[load.Handle]; e != nil {
			e.remoteInFlight += max(0, load.InFlight-e.reported-e.reportedExtra)
			e.remoteWaiting += max(0, load.WaitingTokens-e.reportedWaiting)
			e.remoteStalled, e.remoteProgressed = load.Stalled, load.Progressed
		}
	}
}

// fewerHostsAfter is how long the leader must report fewer hosts until these count: longer than all take to report to a new leader.
const fewerHostsAfter = time.Second

func (b *Balancer) setEntryHosts(now time.Time, n int) {
	switch {
	case n >= b.entryHosts:
		b.entryHosts, b.fewerSince = n, time.Time{}
	case b.fewerSince.IsZero():
		b.fewerSince = now
	case now.Sub(b.fewerSince) >= fewerHostsAfter:
		b.entryHosts, b.fewerSince = n, time.Time{}
	}
}

// EntryHosts returns the number of entry hosts that share the endpoints.
func (b *Balancer) EntryHosts() int { return max(1, b.entryHosts) }

// Reservation is one request counted at an endpoint.
type Reservation struct {
	ID     string
	tokens int
	// extra is what the request needs of the endpoint's memory beyond a slot's part, in slots' parts.
	extra int
	sent  time.Time
	// engineTime is the predicted time to the first event without the wait for a slot and the pool's fixed overhead.
	engineTime time.Duration
	// predicted is the predicted time to the first event, and passTime the engine's time of a pass at the load when the request was
	// counted; 0 if there is no engine.
	predicted, passTime time.Duration
	key                 endpointKey
	started             bool
	// permitExpiry is when the permit that the request has used up expires; zero if it needed none.
	permitExpiry time.Time
	born         int64
}

// SentAt returns when the request was counted, just before it was sent.
func (r *Reservation) SentAt() time.Time { return r.sent }

// Start counts a request that is sent to the endpoint of a decision.
func (b *Balancer) Start(now time.Time, d Decision, req Request) *Reservation {
	res := &Reservation{ID: d.ID, tokens: req.PromptTokens, sent: now, engineTime: d.engineTime, predicted: d.Predicted, key: req.key()}
	e := b.byID[d.ID]
	if e == nil {
		return res
	}
	b.recordSent(now, e, req)
	if req.Engine != nil {
		res.passTime = req.Engine.PassTime(0, min(e.load()+1, e.slots()))
	}
	res.born, res.permitExpiry = e.Born, b.permits.Use(now, e.ID, e.Born)
	if e.localInFlight == 0 {
		e.progressAt, e.longestPredicted = now, 0
	}
	e.localInFlight++
	e.localWaiting += res.tokens
	res.extra = b.holdMemory(now, e, req)
	e.longestPredicted = max(e.longestPredicted, d.Predicted)
	return res
}

// RecordProgress records an event of a response; gap is the time since its previous event, or 0 at the first.
func (b *Balancer) RecordProgress(now time.Time, res *Reservation, gap time.Duration) {
	e := b.byID[res.ID]
	if e == nil {
		return
	}
	e.progressAt, e.progressed = now, true
	if gap > 0 {
		e.observe(gap, b.expectedGap(res))
		updateMean(&e.gap, gap)
		mean := b.gaps[res.key]
		updateMean(&mean, gap)
		b.gaps[res.key] = mean
	}
	if !res.started {
		res.started = true
		e.started++
		e.observe(now.Sub(res.sent), res.predicted)
		e.localWaiting = max(0, e.localWaiting-res.tokens)
		b.recordFirstEvent(res, now.Sub(res.sent))
	}
}

// recordFirstEvent updates the pool's fixed overhead with the observed time to the first event.
func (b *Balancer) recordFirstEvent(res *Reservation, elapsed time.Duration) {
	if res.engineTime <= 0 {
		return
	}
	overhead := min(maxOverhead, max(0, elapsed-res.engineTime))
	if old, known := b.overhead[res.key]; known {
		weight := overheadRiseWeight
		if overhead < old {
			weight = overheadFallWeight
		}
		overhead = old + time.Duration(weight*float64(overhead-old))
	}
	b.overhead[res.key] = overhead
}

const (
	// overheadRiseWeight and overheadFallWeight are the weights of a new sample above and below the estimate. They
	// differ so that the estimate follows the fast responses: the time that slower ones waited for a slot is not part
	// of the fixed overhead.
	overheadRiseWeight = 0.01
	overheadFallWeight = 0.1
	// maxOverhead bounds a sample, which may come from a server that stalled.
	maxOverhead = 400 * time.Millisecond
)

// Result is how a request ended at an endpoint.
type Result int

// Results of requests.
const (
	// Served means that the complete response was received.
	Served Result = iota
	// CallerGone means that the caller disconnected; the statistics don't change.
	CallerGone
	// Shed means that the endpoint rejected the request because it had no free slot.
	Shed
	// Failed means that the response was an error, was truncated or did not arrive.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// WrongServer means that another server answers at the address, or that it no longer serves.
	WrongServer
)

// Finish releases the reservation and updates the endpoint's statistics with the result.
func (b *Balancer) Finish(now time.Time, res *Reservation, r Result) {
	if r == Unreachable {
		b.permits.Return(res.ID, res.born, res.permitExpiry)
	}
	e := b.byID[res.ID]
	if e == nil {
		return
	}
	e.localInFlight = max(0, e.localInFlight-1)
	e.localExtra = max(0, e.localExtra-res.extra)
	if res.started {
		e.started = max(0, e.started-1)
	} else {
		e.localWaiting = max(0, e.localWaiting-res.tokens)
	}
	e.observeEnd(r)
	switch r {
	case Served:
		if res.passTime == 0 {
			e.observe(now.Sub(res.sent), b.occupancies[res.key])
		}
		e.recordOutcome(now, false)
		updateMean(&e.occupancy, now.Sub(res.sent))
		occupancy := b.occupancies[res.key]
		updateMean(&occupancy, now.Sub(res.sent))
		b.occupancies[res.key] = occupancy
	case Failed:
		e.recordOutcome(now, true)
	case Unreachable, WrongServer:
		e.eject(now)
	case Shed, CallerGone:
	}
}

// IsStalled reports whether requests are in flight at an endpoint and none makes progress, as far as this host knows,
// or whether the endpoint is unknown.
func (b *Balancer) IsStalled(now time.Time, id string) bool {
	e := b.byID[id]
	return e == nil || e.isStalled(now, b.stallTimeout(e))
}
