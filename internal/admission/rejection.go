package admission

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a rejected client
	// should retry.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryFraction is the most of the time left until its deadline after which a client should
	// retry, so that the retry has time to be served.
	retryFraction = 1.0 / 3
)

// Rejection is a rejected request, with the time after which its client should retry.
type Rejection struct {
	Request    *Request
	RetryAfter time.Duration
	Before     int     // waiting requests that went before it
	Rate       float64 // admissions per second that it could expect, 0 if unknown
}

// Shed removes and returns the requests whose clients would give up before their turn,
// or have reached their deadline.
func (q *Queue) Shed(now time.Time) []Rejection {
	rate, known := q.rate(now)
	var rejections []Rejection
	kept := q.waiting[:0]
	for position, r := range q.Ordered(now) {
		own := q.rateOf(now, r, rate, known)
		wait := time.Duration(0)
		if known && !r.Resumed { // a resumed one waits to its deadline: its client has a part of the response
			wait = atRate(position, own)
		}
		if now.Add(wait).Before(r.Deadline) {
			kept = append(kept, r)
			continue
		}
		r.state.waiting--
		rejection := Rejection{Request: r, Before: position}
		if known {
			rejection.Rate = own
		}
		rejections = append(rejections, rejection)
	}
	q.waiting = kept
	for i := range rejections {
		r := rejections[i].Request
		rejections[i].RetryAfter = q.retryAfter(now, r, q.rateOf(now, r, rate, known))
	}
	return rejections
}

// atRate returns how long a number of admissions takes.
func atRate(admissions int, rate float64) time.Duration {
	return time.Duration(float64(admissions) / rate * float64(time.Second))
}

// rateOf returns the admissions per second that are left to a request by the more urgent ones that
// arrive, and at least the guaranteed share of all.
func (q *Queue) rateOf(now time.Time, r *Request, rate float64, known bool) float64 {
	if !known {
		return rate
	}
	rest := rate
	for _, state := range q.ranks {
		if state.rank.Compare(r.effective) < 0 {
			rest -= state.arrivalsPerSecond(now)
		}
	}
	return max(rest, rate/guaranteedShare)
}

// retryAfter returns when the client of a rejected request should retry: once the requests that go
// before it are admitted, and one after the other with the clients that were rejected before.
func (q *Queue) retryAfter(now time.Time, r *Request, rate float64) time.Duration {
	at := now.Add(max(minRetryAfter, atRate(q.backlog(r.effective), rate)))
	if next := r.state.retryAt.Add(atRate(1, rate)); next.After(at) {
		at = next
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	r.state.retryAt = at
	wait := at.Sub(now)
	if left := r.Deadline.Sub(now); left > 0 {
		wait = min(wait, time.Duration(retryFraction*float64(left)))
	}
	return wait
}

// backlog returns how many waiting requests are as urgent as a rank or more urgent.
func (q *Queue) backlog(rank routing.Rank) int {
	backlog := 0
	for _, r := range q.waiting {
		if r.Resumed || r.effective.Compare(rank) <= 0 {
			backlog++
		}
	}
	return backlog
}
