// Package admission decides in which order requests for a model get the capacity
// that becomes free, and which of them are refused at once.
//
// Usage: keep the waiting requests in a Queue, and take them from it whenever there
// is room:
//
//	queue.Push(now, request)
//	for request := range queue.Ordered(now) { ... queue.Admit(now, request) }
//	for _, refused := range queue.Shed(now) { ... }
//
// The load it answers is more requests than the backend servers can hold, for
// seconds at a time. A request that can still meet its target goes before one that
// can't, since serving the late one first would make both late. A stream that has
// lost its path midway goes before all others, as its client already has a part of
// the answer. A request that would wait longer than its client does is refused at
// once, with the time after which the backlog should be gone.
package admission

import (
	"sort"
	"time"
)

const (
	// freshShare is the part of its target latency up to which a waiting request
	// can still meet it.
	freshShare = 0.7
	// rateWindow is the time over which admissions are counted.
	rateWindow = 2 * time.Second
	// leastRate stands for the admissions in a second where there were none.
	leastRate = 0.5
	// rateAfter is how long admissions must be seen, while requests wait, before
	// they tell how long others will.
	rateAfter = 500 * time.Millisecond
	// shortestPause and longestPause bound the time after which a refused client
	// should come back.
	shortestPause = 500 * time.Millisecond
	longestPause  = 5 * time.Second
)

// Request is a request that waits for capacity.
type Request struct {
	Resumed       bool // its client has a part of the answer
	Priority      int  // 0 is the most urgent
	Arrived       time.Time
	TargetLatency time.Duration // latency within which the answer should begin
	Deadline      time.Time     // when its client is taken to leave
}

// fresh tells whether a request can still meet its target.
func (r *Request) fresh(now time.Time) bool {
	return now.Sub(r.Arrived) < time.Duration(freshShare*float64(r.TargetLatency))
}

// Before tells whether a goes before b.
func Before(now time.Time, a, b *Request) bool {
	switch {
	case a.Resumed != b.Resumed:
		return a.Resumed
	case a.fresh(now) != b.fresh(now):
		return a.fresh(now)
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// Rejection is a request that is refused, with the pause before its client should
// come back.
type Rejection struct {
	Request    *Request
	RetryAfter time.Duration
}

// Queue is the requests that wait. It is not safe for concurrent use.
type Queue struct {
	waiting  []*Request
	admitted []time.Time // within rateWindow
	since    time.Time   // when the line was empty last
}

// Len is the number of requests that wait.
func (l *Queue) Len() int { return len(l.waiting) }

// Push adds a request.
func (l *Queue) Push(now time.Time, r *Request) {
	if len(l.waiting) == 0 {
		l.since = now
	}
	l.waiting = append(l.waiting, r)
}

// Remove takes a request out.
func (l *Queue) Remove(r *Request) {
	for i, waiting := range l.waiting {
		if waiting == r {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

// Admit takes a request out that has got capacity. A request that did not wait
// counts as well.
func (l *Queue) Admit(now time.Time, r *Request) {
	l.Remove(r)
	l.admitted = append(l.admitted, now)
	l.forget(now)
}

func (l *Queue) forget(now time.Time) {
	old := 0
	for old < len(l.admitted) && now.Sub(l.admitted[old]) > rateWindow {
		old++
	}
	l.admitted = l.admitted[old:]
}

// Ordered returns the waiting requests, those that should go first in front.
func (l *Queue) Ordered(now time.Time) []*Request {
	sort.SliceStable(l.waiting, func(i, j int) bool { return Before(now, l.waiting[i], l.waiting[j]) })
	return append([]*Request(nil), l.waiting...)
}

// rate is the admissions in a second of late, false where too little time has
// passed since the first one to tell.
func (l *Queue) rate(now time.Time) (float64, bool) {
	l.forget(now)
	if len(l.admitted) == 0 || now.Sub(l.since) < rateAfter {
		return leastRate, false
	}
	first := l.admitted[0]
	if first.Before(l.since) {
		first = l.since
	}
	over := now.Sub(first)
	return max(leastRate, float64(len(l.admitted))/over.Seconds()), over >= rateAfter
}

// Shed takes out the requests whose clients would leave before their turn, or
// whose time is up.
func (l *Queue) Shed(now time.Time) []Rejection {
	rate, known := l.rate(now)
	var refusals []Rejection
	kept := l.waiting[:0]
	for position, r := range l.Ordered(now) {
		wait := time.Duration(0)
		if known && !r.Resumed { // a client that has a part of its answer waits while there is hope
			wait = time.Duration(float64(position) / rate * float64(time.Second))
		}
		if now.Add(wait).Before(r.Deadline) {
			kept = append(kept, r)
			continue
		}
		refusals = append(refusals, Rejection{Request: r})
	}
	l.waiting = kept
	pause := time.Duration(float64(len(kept)) / rate * float64(time.Second))
	for i := range refusals {
		// Each refused client comes back one turn after the other.
		turn := time.Duration(float64(i) / rate * float64(time.Second))
		refusals[i].RetryAfter = min(max(pause+turn, shortestPause), longestPause)
	}
	return refusals
}
