package admission

import (
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// teamMaxAge is how long the state of a team without an admission is kept.
	teamMaxAge = 10 * time.Second
	// maxTeams bounds the teams of which state is kept. Where there are more, those without lead
	// over the others go first, of which the state tells nothing.
	maxTeams = 1024
)

// fairness is weighted fair queueing among teams with equal weights, for each rank by itself. A
// team's next request starts at the virtual time at which the work of its admitted ones ends, and
// not before the virtual time of the rank: a team that has sent nothing gets no credit for it.
// A team is charged for what is admitted only, so that requests which are rejected cost nothing.
type fairness struct {
	teams map[teamKey]*teamClock
	now   map[routing.Rank]float64 // the start of the request that was admitted last, in milliseconds of work
}

type teamKey struct {
	rank routing.Rank
	team deployment.Team
}

type teamClock struct {
	end    float64 // virtual time at which the team's admitted work ends
	usedAt time.Time
}

// start returns the virtual time at which the next request of a team starts.
func (f *fairness) start(now time.Time, key teamKey) float64 {
	virtual := f.now[key.rank]
	if clock, ok := f.teams[key]; ok && now.Sub(clock.usedAt) <= teamMaxAge {
		return max(virtual, clock.end)
	}
	return virtual
}

// charge adds admitted work to a team.
func (f *fairness) charge(now time.Time, key teamKey, work float64) {
	if f.teams == nil {
		f.teams, f.now = map[teamKey]*teamClock{}, map[routing.Rank]float64{}
	}
	start := f.start(now, key)
	clock, ok := f.teams[key]
	if !ok {
		if len(f.teams) >= maxTeams {
			f.evict(now)
		}
		clock = &teamClock{}
		f.teams[key] = clock
	}
	f.now[key.rank] = start
	clock.end, clock.usedAt = start+work, now
}

// correct adds work to a team, or takes it back, after a request has used another amount than it was
// charged for.
func (f *fairness) correct(key teamKey, work float64) {
	if clock, ok := f.teams[key]; ok {
		clock.end += work
	}
}

// evict removes the teams that were not active lately or have no lead over the others, and one more
// if that removes none: the one with the smallest lead.
func (f *fairness) evict(now time.Time) {
	var least teamKey
	lead := -1.0
	for key, clock := range f.teams {
		ahead := clock.end - f.now[key.rank]
		if ahead <= 0 || now.Sub(clock.usedAt) > teamMaxAge {
			delete(f.teams, key)
			continue
		}
		if lead < 0 || ahead < lead {
			least, lead = key, ahead
		}
	}
	if len(f.teams) >= maxTeams {
		delete(f.teams, least)
	}
	f.evictRanks()
}

// evictRanks removes the virtual time of ranks without a team.
func (f *fairness) evictRanks() {
	used := map[routing.Rank]bool{}
	for key := range f.teams {
		used[key.rank] = true
	}
	for rank := range f.now {
		if !used[rank] {
			delete(f.now, rank)
		}
	}
}

func (r *Request) teamKey() teamKey { return teamKey{rank: r.effective, team: r.Team} }

// assignStarts sets the virtual start of each waiting request, which are sorted by before except
// that all starts are equal. It returns false without two teams: the starts stay equal then.
func (q *Queue) assignStarts(now time.Time) bool {
	several := false
	for _, r := range q.waiting {
		several = several || r.Team != q.waiting[0].Team
	}
	if !several {
		return false
	}
	next := map[teamKey]float64{}
	for _, r := range q.waiting {
		key := r.teamKey()
		start, ok := next[key]
		if !ok {
			start = q.fairness.start(now, key)
		}
		r.start = start
		next[key] = start + q.workOf(r)
	}
	return true
}

// order sorts the waiting requests.
func (q *Queue) order(now time.Time) {
	for _, r := range q.waiting {
		r.effective, r.start = q.effectiveRank(now, r), 0
	}
	less := func(i, j int) bool { return before(now, q.waiting[i], q.waiting[j]) }
	sort.SliceStable(q.waiting, less)
	if q.assignStarts(now) {
		sort.SliceStable(q.waiting, less)
	}
}

// chargeTeam charges the team of an admitted request for its work. Nothing is charged while there is
// no queue in the zone: what a team uses then, it takes from nobody.
func (q *Queue) chargeTeam(now time.Time, r *Request) {
	if !now.Before(q.contendedUntil) {
		return
	}
	if r.state == nil {
		r.effective = r.Rank
	}
	r.charged = q.workOf(r)
	q.fairness.charge(now, r.teamKey(), r.charged)
}

// RecordUse records the work that an admitted request has taken, in milliseconds of a server's
// time. Its team is charged for the difference to what was expected. Values that are not positive
// and finite are ignored.
func (q *Queue) RecordUse(r *Request, work float64) {
	if r.charged > 0 && work > 0 && work <= maxWork {
		q.fairness.correct(r.teamKey(), work-r.charged)
		r.charged = work
	}
}
