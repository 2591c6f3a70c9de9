package reachability

import (
	"cmp"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Probes returns the servers to which a probe is due, and takes them for asked.
func (t *Tracker) Probes(now time.Time) []deployment.Address {
	t.advance(now)
	var probed []deployment.Address
	for _, s := range t.due(now) {
		s.askedAt = now
		probed = append(probed, s.Address)
	}
	return probed
}

func (t *Tracker) due(now time.Time) []*server {
	switch t.verdict {
	case Doubtful:
		return t.dueInDoubt(now)
	case CutOff:
		return t.dueCutOff(now)
	default:
		return t.dueLinks(now)
	}
}

func (t *Tracker) dueInDoubt(now time.Time) []*server {
	if now.Before(t.doubtAt.Add(doubtInterval)) {
		return nil
	}
	picked := spread(t.doubtCandidates(), doubtProbes, t.evidenceByZone())
	if len(picked) > 0 {
		t.doubtAt = now
	}
	return picked
}

// doubtCandidates returns the servers whose failure would add to the evidence.
func (t *Tracker) doubtCandidates() []*server {
	var candidates []*server
	for _, s := range t.ordered() {
		if len(t.servers) == 1 && !t.pendingSince(s, t.doubt.from) {
			return []*server{s}
		}
		if s.evidence == 0 && !t.pendingSince(s, t.doubt.from) && !t.initiatorPending(s) {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

func (t *Tracker) evidenceByZone() map[deployment.Zone]int {
	inZone := map[deployment.Zone]int{}
	for _, s := range t.servers {
		if s.evidence > 0 && !s.downAtDoubt {
			inZone[s.Zone]++
		}
	}
	return inZone
}

func (t *Tracker) pendingSince(s *server, from AttemptID) bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool {
		return a.server == s && a.id >= from && !a.settled
	})
}

func (t *Tracker) initiatorPending(s *server) bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool {
		return a.server == s && a.id == t.doubt.initiator && !a.settled
	})
}

func (t *Tracker) dueCutOff(now time.Time) []*server {
	if t.proof != nil {
		return t.dueProof()
	}
	if now.Before(t.cutOffProbeAt.Add(cutOffInterval)) {
		return nil
	}
	t.cutOffProbeAt = now
	return []*server{t.nextInTurn()}
}

func (t *Tracker) dueProof() []*server {
	if t.proof.asked {
		return nil
	}
	t.proof.asked = true
	return t.proof.others
}

// nextInTurn returns the server asked least recently, of the zone asked least recently.
// Those whose links were down before come last.
func (t *Tracker) nextInTurn() *server {
	zoneAskedAt := map[deployment.Zone]time.Time{}
	for _, s := range t.servers {
		if s.askedAt.After(zoneAskedAt[s.Zone]) {
			zoneAskedAt[s.Zone] = s.askedAt
		}
	}
	return slices.MinFunc(t.ordered(), func(a, b *server) int {
		return cmp.Or(
			compareBool(a.downAtDoubt, b.downAtDoubt),
			zoneAskedAt[a.Zone].Compare(zoneAskedAt[b.Zone]),
			a.askedAt.Compare(b.askedAt),
		)
	})
}

// dueLinks returns the servers whose links are down and that are due to be probed.
func (t *Tracker) dueLinks(now time.Time) []*server {
	if now.Sub(t.linkWindowAt) >= linkInterval {
		t.linkWindowAt = now
		t.linkProbes = 0
	}
	var due []*server
	for _, s := range t.downLinks() {
		if now.Before(s.linkDueAt()) || t.linkProbes >= maxLinkProbes {
			break
		}
		t.linkProbes++
		due = append(due, s)
	}
	return due
}

// downLinks returns the servers whose links are down, the one that is due first in front.
func (t *Tracker) downLinks() []*server {
	var down []*server
	for _, s := range t.servers {
		if t.link(s) == LinkDown {
			down = append(down, s)
		}
	}
	slices.SortFunc(down, func(a, b *server) int {
		return cmp.Or(a.linkDueAt().Compare(b.linkDueAt()), cmp.Compare(a.Address, b.Address))
	})
	return down
}

// linkDueAt returns when a link that is down is due to be probed.
func (s *server) linkDueAt() time.Time {
	if s.askedAt.After(s.failedAt) {
		return s.askedAt.Add(linkInterval)
	}
	return s.failedAt.Add(linkInterval)
}

// pickOthers returns servers to be probed after one has connected: half of them in its
// zone, as a heal may be of that zone only. Links that were down before prove nothing.
func (t *Tracker) pickOthers(first *server, count int) []*server {
	var same, other []*server
	for _, s := range t.ordered() {
		switch {
		case s == first || s.downAtDoubt:
		case s.Zone == first.Zone:
			same = append(same, s)
		default:
			other = append(other, s)
		}
	}
	picked := same[:min(count/2, len(same))]
	picked = append(slices.Clone(picked), spread(other, count-len(picked), map[deployment.Zone]int{})...)
	left := same[min(count/2, len(same)):]
	return append(picked, left[:min(count-len(picked), len(left))]...)
}

// ordered returns the servers, those whose links were up last in front.
func (t *Tracker) ordered() []*server {
	var servers []*server
	for _, s := range t.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int {
		return cmp.Or(
			compareBool(t.link(a) == LinkDown, t.link(b) == LinkDown),
			cmp.Compare(b.connected, a.connected),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return servers
}

// spread picks some of the candidates, the first ones in as many zones as possible. Those
// whose links were down before come last. inZone counts those that need no more in a zone.
func spread(candidates []*server, count int, inZone map[deployment.Zone]int) []*server {
	var picked []*server
	for len(picked) < count && len(candidates) > 0 {
		best := 0
		for i, s := range candidates {
			other := candidates[best]
			if cmp.Or(compareBool(s.downAtDoubt, other.downAtDoubt), cmp.Compare(inZone[s.Zone], inZone[other.Zone])) < 0 {
				best = i
			}
		}
		s := candidates[best]
		inZone[s.Zone]++
		picked = append(picked, s)
		candidates = slices.Delete(slices.Clone(candidates), best, best+1)
	}
	return picked
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Next returns when the verdict or the probes may change with no further call, and false if
// they can't.
func (t *Tracker) Next(now time.Time) (time.Time, bool) {
	t.advance(now)
	times := t.attemptTimes(now)
	switch t.verdict {
	case Doubtful:
		if len(t.doubtCandidates()) > 0 {
			times = append(times, t.doubtAt.Add(doubtInterval))
		}
	case CutOff:
		times = append(times, t.nextCutOff(now))
	case Sound:
		if down := t.downLinks(); len(down) > 0 {
			times = append(times, t.nextLinkProbe(down[0]))
		}
	}
	if len(times) == 0 {
		return time.Time{}, false
	}
	next := slices.MinFunc(times, time.Time.Compare)
	if next.Before(now) {
		return now, true
	}
	return next, true
}

// attemptTimes returns when pending attempts may be late, or must be looked at in between.
func (t *Tracker) attemptTimes(now time.Time) []time.Time {
	var times []time.Time
	for _, a := range t.attempts {
		if a.settled {
			continue
		}
		limit := lateAfter
		if a.late {
			limit = ProbeTimeout
		}
		left := limit - (t.clock - a.begun)
		times = append(times, now.Add(min(left, pollInterval)))
	}
	return times
}

func (t *Tracker) nextCutOff(now time.Time) time.Time {
	switch {
	case t.proof == nil:
		return t.cutOffProbeAt.Add(cutOffInterval)
	case t.proof.asked:
		return t.proofAt.Add(proofTimeout)
	default:
		return now
	}
}

func (t *Tracker) nextLinkProbe(first *server) time.Time {
	due := first.linkDueAt()
	windowEnd := t.linkWindowAt.Add(linkInterval)
	if t.linkProbes >= maxLinkProbes && windowEnd.After(due) {
		return windowEnd
	}
	return due
}
