package admission

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/routing"
)

// maxHoldBack bounds how long the requests of a rank are held back while capacity is free, also
// where the rate of admissions is not known.
const maxHoldBack = time.Second

// Capacity is the capacity of a service as an instance sees it.
type Capacity struct {
	Free     int // more requests that can begin
	InFlight int // requests of all instances
}

// Decision is whether a request may take capacity that is free, and why.
type Decision struct {
	Admitted bool
	// Capacity is set if it was needed for the decision.
	Capacity Capacity
	// Elsewhere is how many more urgent requests wait at other instances of the zone, weighted by
	// the age of their reports.
	Elsewhere float64
	// Arriving is how many more urgent requests are expected to arrive before a request in flight
	// ends.
	Arriving  float64
	OldestAge time.Duration // of the reports that were used
}

// Decide decides whether a request may take free capacity now, or leaves it to more urgent
// requests of the zone. capacity is called only if there are such. The caller must have made sure
// that the request is not preceded by one in this queue.
func (q *Queue) Decide(now time.Time, r *Request, capacity func() Capacity) Decision {
	if r.Resumed || !now.Before(q.contendedUntil) {
		return Decision{Admitted: true}
	}
	var d Decision
	rank := q.effectiveRank(now, r)
	d.Elsewhere, d.OldestAge = q.waitingElsewhere(now, rank)
	arrivals := q.urgentArrivals(now, rank)
	if d.Elsewhere == 0 && arrivals == 0 {
		return Decision{Admitted: true}
	}
	d.Capacity = capacity()
	d.Arriving = arrivals * q.untilNextEnd(d.Capacity).Seconds()
	left := float64(d.Capacity.Free) - d.Elsewhere - d.Arriving
	// Without free capacity the search for a path fails, and nothing is held back.
	if left >= 1 || d.Capacity.Free < 1 {
		d.Admitted = true
		return d
	}
	state := q.stateOf(now, r.Rank)
	if state.waiting > 0 && q.newShares().due() == state {
		d.Admitted = true
		return d
	}
	if state.heldSince.IsZero() {
		state.heldSince = now
	}
	d.Admitted = now.Sub(state.heldSince) >= q.longestHoldBack(now, state, d.Capacity)
	return d
}

// waitingElsewhere returns how many requests that are more urgent than a rank wait at other
// instances, weighted by the age of the reports, and the age of the oldest of these.
func (q *Queue) waitingElsewhere(now time.Time, rank routing.Rank) (requests float64, oldest time.Duration) {
	for _, report := range q.reports {
		weight := report.weight(now)
		for i := range report.demand {
			d := &report.demand[i]
			if weight == 0 || d.Waiting == 0 || d.Rank.Compare(rank) >= 0 {
				continue
			}
			requests += weight * float64(d.Waiting)
			oldest = max(oldest, now.Sub(report.at))
		}
	}
	return requests, oldest
}

// urgentArrivals returns how many requests a second arrive in the zone of those ranks that are more
// urgent than another one and for which capacity is short.
func (q *Queue) urgentArrivals(now time.Time, rank routing.Rank) float64 {
	arrivals := 0.0
	for _, state := range q.ranks {
		if state.rank.Compare(rank) < 0 && q.short(now, state.rank) {
			arrivals += state.arrivalsPerSecond(now)
		}
	}
	for _, report := range q.reports {
		for i := range report.demand {
			if d := &report.demand[i]; d.Rank.Compare(rank) < 0 && q.short(now, d.Rank) {
				arrivals += report.weight(now) * d.ArrivalsPerSecond
			}
		}
	}
	return arrivals
}

// short reports whether requests of a rank have waited lately in the zone.
func (q *Queue) short(now time.Time, rank routing.Rank) bool {
	if index, ok := q.search(rank); ok && q.ranks[index].short(now) {
		return true
	}
	for _, report := range q.reports {
		if now.Sub(report.at) > shortageAge {
			continue
		}
		for i := range report.demand {
			if report.demand[i].Waiting > 0 && report.demand[i].Rank == rank {
				return true
			}
		}
	}
	return false
}

// untilNextEnd returns the mean time until one of the requests in flight ends, 0 if it is not
// known.
func (q *Queue) untilNextEnd(capacity Capacity) time.Duration {
	if capacity.InFlight == 0 {
		return 0
	}
	return q.answerTime / time.Duration(capacity.InFlight)
}

// longestHoldBack returns how long the requests of a rank may be held back so that the rank gets
// one in guaranteedShare of the admissions of the service, of which this instance has the part
// that it has of the waiting requests of the rank.
func (q *Queue) longestHoldBack(now time.Time, state *rankState, capacity Capacity) time.Duration {
	interval := guaranteedShare * q.untilNextEnd(capacity).Seconds()
	if interval == 0 {
		return maxHoldBack
	}
	own := float64(max(1, state.waiting))
	all := own
	for _, report := range q.reports {
		for i := range report.demand {
			if report.demand[i].Rank == state.rank {
				all += report.weight(now) * float64(report.demand[i].Waiting)
			}
		}
	}
	return min(maxHoldBack, time.Duration(interval*all/own*float64(time.Second)))
}

// answerTimeWeight is the weight of one answer in the mean time of an answer.
const answerTimeWeight = 0.05

// RecordAnswer records how long an answer took from its admission to its end.
func (q *Queue) RecordAnswer(took time.Duration) {
	if took <= 0 {
		return
	}
	if q.answerTime == 0 {
		q.answerTime = took
		return
	}
	q.answerTime += time.Duration(answerTimeWeight * float64(took-q.answerTime))
}
