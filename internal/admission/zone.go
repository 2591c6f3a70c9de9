package admission

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/routing"
)

// zoneView is what is known at one moment of the requests of the zone. It is computed once for all
// decisions of that moment: with hundreds of waiting requests and dozens of reports, computing it
// for each request would take longer than the interval between dispatches.
type zoneView struct {
	at    time.Time
	ranks map[routing.Rank]*zoneRank
}

// zoneRank is what is known of the requests of one rank, with reports weighted by their age.
type zoneRank struct {
	elsewhere float64       // requests that wait at other instances
	oldest    time.Duration // age of the oldest report that tells of them
	arrivals  float64       // per second, of all instances
	short     bool          // requests have waited lately
}

func (v *zoneView) of(rank routing.Rank) *zoneRank {
	known, ok := v.ranks[rank]
	if !ok {
		known = &zoneRank{}
		v.ranks[rank] = known
	}
	return known
}

// zone returns the view at a time.
func (q *Queue) zone(now time.Time) *zoneView {
	if q.view != nil && q.view.at.Equal(now) {
		return q.view
	}
	view := &zoneView{at: now, ranks: map[routing.Rank]*zoneRank{}}
	for _, state := range q.ranks {
		own := view.of(state.rank)
		own.arrivals, own.short = state.arrivalsPerSecond(now), state.short(now)
	}
	for _, report := range q.reports {
		weight := report.weight(now)
		if weight == 0 {
			continue
		}
		for i := range report.demand {
			view.of(report.demand[i].Rank).add(&report.demand[i], weight, now.Sub(report.at))
		}
	}
	q.view = view
	return view
}

func (r *zoneRank) add(d *PriorityDemand, weight float64, age time.Duration) {
	r.arrivals += weight * d.ArrivalsPerSecond
	if d.Waiting == 0 {
		return
	}
	r.elsewhere += weight * float64(d.Waiting)
	r.oldest = max(r.oldest, age)
	r.short = r.short || age <= shortageAge
}

// moreUrgent returns what is known of all ranks that are more urgent than another one. The arrivals
// are those of ranks for which capacity is short.
func (v *zoneView) moreUrgent(than routing.Rank) zoneRank {
	var sum zoneRank
	for rank, known := range v.ranks {
		if rank.Compare(than) >= 0 {
			continue
		}
		sum.elsewhere += known.elsewhere
		sum.oldest = max(sum.oldest, known.oldest)
		if known.short {
			sum.arrivals += known.arrivals
		}
	}
	return sum
}
