package formation

import (
	"time"

	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/process/evacuation"
)

// quietTime is how long nothing must have been in flight at a group's head before the group is closed since its head's data centre is
// evacuated. The usage reports of entry hosts are younger than that.
const quietTime = 2 * time.Second

// observeEvacuated records which data centres are evacuated, and since when.
func (rc *Reconciler) observeEvacuated(now time.Time, s *evacuation.Set) {
	if s == rc.evacuated {
		return
	}
	old := rc.evacuatedSince
	rc.evacuated, rc.evacuatedSince = s, map[string]time.Time{}
	for _, name := range s.Names() {
		since, known := old[name]
		if !known {
			since = now
		}
		rc.evacuatedSince[name] = since
	}
}

// isEvacuated reports whether a group's head is in an evacuated data centre, so that the group gets no requests.
func (rc *Reconciler) isEvacuated(g *group) bool {
	if len(rc.evacuatedSince) == 0 {
		return false
	}
	head := rc.member(g, 0)
	return head != nil && rc.evacuated.Covers(head.Report().DataCentre)
}

// endsByEvacuation reports whether a group must end because servers of it are in an evacuated data centre. One whose head is there gets
// no requests any more, and ends when its last one has. To any other head, entry hosts would go on sending requests.
func (rc *Reconciler) endsByEvacuation(now time.Time, in Input, g *group) bool {
	if len(rc.evacuatedSince) == 0 {
		return false
	}
	if g.opened && rc.isEvacuated(g) {
		if _, busy := in.Progress[g.members[0]]; busy {
			g.busyAt = now
		}
		since := rc.evacuatedSince[rc.member(g, 0).Report().DataCentre]
		return !now.Before(clock.Latest(g.busyAt, g.knownSince, since).Add(quietTime))
	}
	for rank := range g.members {
		if s := rc.member(g, rank); s != nil && rc.evacuated.Covers(s.Report().DataCentre) {
			return true
		}
	}
	return false
}
