package admission

import (
	"time"
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
	others := q.zone(now).moreUrgent(q.effectiveRank(now, r))
	if others.elsewhere == 0 && others.arrivals == 0 {
		return Decision{Admitted: true}
	}
	d.Elsewhere, d.OldestAge = others.elsewhere, others.oldest
	d.Capacity = capacity()
	d.Arriving = others.arrivals * q.untilNextEnd(d.Capacity).Seconds()
	left := float64(d.Capacity.Free) - d.Elsewhere - d.Arriving
	// Without free capacity the search for a path fails, and nothing is held back.
	if left >= 1 || d.Capacity.Free < 1 {
		d.Admitted = true
		return d
	}
	state := q.stateOf(now, r.Rank)
	if q.isDue(state) {
		d.Admitted = true
		return d
	}
	if state.heldSince.IsZero() {
		state.heldSince = now
	}
	d.Admitted = now.Sub(state.heldSince) >= q.longestHoldBack(now, state, d.Capacity)
	return d
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
	all := own + q.zone(now).of(state.rank).elsewhere
	return min(maxHoldBack, time.Duration(interval*all/own*float64(time.Second)))
}

// answerTimeWeight is the weight of one answer in the mean time of an answer.
const answerTimeWeight = 0.05

// AnswerTime returns the mean time from the admission of a request to the end of its answer, 0 if
// it is unknown.
func (q *Queue) AnswerTime() time.Duration { return q.answerTime }

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
