// Package admission decides in which order requests for a model service get the
// capacity that becomes free, and which of them are rejected early.
//
// Usage: keep the waiting requests in a Queue, and dispatch them while there is
// capacity:
//
//	queue.RecordArrival(now, request)
//	queue.Push(now, request)
//	for _, request := range queue.Ordered(now) {
//		if queue.Decide(now, request, capacity).Admitted { ... queue.Admit(now, request) }
//	}
//	for _, rejection := range queue.Shed(now) { ... }
//
// The queue handles overload: more requests than the backend servers can serve, for
// seconds at a time. More urgent requests go first. Among equally urgent ones, a request that can
// still meet its target latency goes before one that can't, since serving the late one first would
// make both late. A stream that has
// lost its path midway goes before all others, because its client already has a part
// of the response, and one that may still go on after those that can't. A request that is predicted to wait beyond its deadline is rejected
// early, unless it is a resumed stream or the admission rate is not known. The rejection
// has a Retry-After by which the backlog should be gone.
package admission

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// onTimeFraction is the fraction of its target latency for which a request may
	// wait and is still expected to meet the target.
	onTimeFraction = 0.7
	// rateWindow is the time over which admissions are counted.
	rateWindow = 2 * time.Second
	// minRate is the lower bound of the admission rate, in requests per second. It
	// also applies when there were no admissions.
	minRate = 0.5
	// minRateSample is how long admissions must have been observed, while requests
	// wait, before their rate is used to predict waiting times.
	minRateSample = 500 * time.Millisecond
)

// Request is a request that waits for capacity.
type Request struct {
	Resumed       bool // its client has a part of the response
	HasPath       bool // it still waits on an earlier path, which may go on
	Rank          routing.Rank
	Team          deployment.Team // empty without one
	Arrived       time.Time
	TargetLatency time.Duration // latency within which the response should begin
	Deadline      time.Time     // when its client is assumed to give up
	// Work is the time that a server needs for the request, in milliseconds. Other values than
	// positive, finite ones count as unknown, and the request as a typical one.
	Work float64
	// Blocked is set while the request could not use capacity that becomes free.
	Blocked bool

	state     *rankState   // nil until it waits
	effective routing.Rank // by which it is ordered, as of the last call of Ordered
	start     float64      // virtual time of its team, as of the last call of Ordered
	charged   float64      // work for which its team was charged, 0 before
}

// onTime reports whether a request can still meet its target latency.
func (r *Request) onTime(now time.Time) bool {
	return now.Sub(r.Arrived) < time.Duration(onTimeFraction*float64(r.TargetLatency))
}

// before reports whether a goes before b.
func before(now time.Time, a, b *Request) bool {
	switch {
	case a.Resumed != b.Resumed:
		return a.Resumed
	case a.HasPath != b.HasPath:
		return b.HasPath
	case a.effective != b.effective:
		return a.effective.Compare(b.effective) < 0
	case a.onTime(now) != b.onTime(now):
		return a.onTime(now)
	case a.start != b.start:
		return a.start < b.start
	}
	return a.Arrived.Before(b.Arrived)
}

// Queue holds the waiting requests. It is not safe for concurrent use.
type Queue struct {
	waiting      []*Request
	admitted     []time.Time  // within rateWindow
	waitingSince time.Time    // when a request was last added to the empty queue
	ranks        []*rankState // from the most urgent
	reports      map[deployment.InstanceID]*report
	// contendedUntil is until when more urgent requests may have to be considered.
	contendedUntil time.Time
	answerTime     time.Duration // mean, 0 if unknown
	typicalWork    float64       // mean of the known ones, in milliseconds, 0 if none was known
	fairness       fairness
	view           *zoneView // nil if it must be computed anew
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Push adds a request.
func (q *Queue) Push(now time.Time, r *Request) {
	if len(q.waiting) == 0 {
		q.waitingSince = now
	}
	r.state, r.effective = q.stateOf(now, r.Rank), r.Rank
	if r.state.waiting++; r.state.waiting == 1 {
		r.state.passedOver = 0
	}
	r.state.queuedAt = now
	q.extendContention(now.Add(shortageAge))
	q.waiting = append(q.waiting, r)
	q.view = nil
}

// Preceded reports whether a waiting request goes before a new one, which then may not take
// capacity at once.
func (q *Queue) Preceded(now time.Time, r *Request) bool {
	if r.Resumed || len(q.waiting) == 0 {
		return false
	}
	for _, waiting := range q.waiting {
		if waiting.Resumed || r.HasPath || q.effectiveRank(now, waiting).Compare(r.Rank) <= 0 {
			return true
		}
	}
	return q.newShares().due() != nil
}

// Remove removes a request. It does nothing if the request is not waiting.
func (q *Queue) Remove(r *Request) {
	for i, waiting := range q.waiting {
		if waiting == r {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			r.state.waiting--
			return
		}
	}
}

// Admit removes a request that has got capacity and counts it in the admission rate. It
// must also be called for a request that got capacity without waiting.
func (q *Queue) Admit(now time.Time, r *Request) {
	q.Remove(r)
	q.recordAdmission(now, r)
	q.recordWork(r)
	q.chargeTeam(now, r)
	q.admitted = append(q.admitted, now)
	q.expireAdmitted(now)
}

func (q *Queue) expireAdmitted(now time.Time) {
	expired := 0
	for expired < len(q.admitted) && now.Sub(q.admitted[expired]) > rateWindow {
		expired++
	}
	q.admitted = q.admitted[expired:]
}

// Ordered returns the waiting requests in the order in which they should be admitted.
func (q *Queue) Ordered(now time.Time) []*Request {
	for _, state := range q.ranks {
		if state.waiting > 0 {
			state.queuedAt = now
			q.extendContention(now.Add(shortageAge))
		}
	}
	q.order(now)
	return q.share(append([]*Request(nil), q.waiting...))
}

// rate returns the recent admissions per second. It returns false if admissions have
// been observed for too short a time for a reliable rate, or if there were none within
// rateWindow. Only requests that have reached their deadline are rejected then.
func (q *Queue) rate(now time.Time) (float64, bool) {
	q.expireAdmitted(now)
	if len(q.admitted) == 0 || now.Sub(q.waitingSince) < minRateSample {
		return minRate, false
	}
	first := q.admitted[0]
	if first.Before(q.waitingSince) {
		first = q.waitingSince
	}
	elapsed := now.Sub(first)
	return max(minRate, float64(len(q.admitted))/elapsed.Seconds()), elapsed >= minRateSample
}
