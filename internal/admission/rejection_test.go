package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/routing"
)

// loadedQueue returns a queue that has admitted 20 requests a second for a second, half of them
// urgent ones, while a less urgent request waited.
func loadedQueue() (*Queue, time.Time) {
	var q Queue
	first := request(start, lessUrgent)
	first.Deadline = start.Add(time.Minute)
	q.Push(start, first)
	now := start
	for i := range 20 {
		now = now.Add(50 * time.Millisecond)
		r := request(now, urgent)
		if i%2 == 0 {
			q.RecordArrival(now, r)
		} else {
			r.Rank = middle
		}
		q.Admit(now, r)
	}
	return &q, now
}

// TestLessUrgentRequestIsRejectedAtOnce guards against a request that waits until its deadline,
// because its wait is predicted without the more urgent requests that will arrive.
func TestLessUrgentRequestIsRejectedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		rank     routing.Rank
		waiting  int
		rejected bool
	}{
		{"30 before at 20 a second", urgent, 30, false},
		{"30 before at 20 a second less those that arrive", middle, 30, true},
		{"10 before at 20 a second less those that arrive", middle, 10, false},
	} {
		q, now := loadedQueue()
		for range c.waiting {
			before := request(now, c.rank)
			before.Deadline = now.Add(time.Minute)
			q.Push(now, before)
		}
		last := request(now, c.rank)
		q.Push(now, last)
		rejections := q.Shed(now)
		assert.Equal(t, len(rejections) > 0, c.rejected, c.name)
		for _, rejection := range rejections {
			assert.Assert(t, rejection.Request == last)
		}
	}
}

// TestRetryAfterFollowsTheBacklogOfTheRank guards against urgent clients that are told to wait for
// the backlog of less urgent ones, and against retries that come too late to be served.
func TestRetryAfterFollowsTheBacklogOfTheRank(t *testing.T) {
	retryAfter := func(rank routing.Rank, left time.Duration) time.Duration {
		q, now := loadedQueue()
		for range 40 {
			before := request(now, middle)
			before.Deadline = now.Add(time.Minute)
			q.Push(now, before)
		}
		r := request(now, rank)
		r.Deadline = now.Add(left)
		q.Push(now, r)
		q.Ordered(now)
		rate, known := q.rate(now)
		return q.retryAfter(now, r, q.rateOf(now, r, rate, known))
	}
	assert.Equal(t, retryAfter(urgent, time.Minute), minRetryAfter)
	assert.Assert(t, retryAfter(middle, time.Minute) > 2*time.Second)
	assert.Assert(t, retryAfter(lessUrgent, time.Minute) > 2*time.Second)
	assert.Equal(t, retryAfter(middle, 3*time.Second), time.Second)
	assert.Equal(t, retryAfter(urgent, 600*time.Millisecond), 200*time.Millisecond)
}

// TestRetriesArriveAtTheRateOfAdmissions guards against clients that are rejected in several
// dispatches and all told to return at the same time.
func TestRetriesArriveAtTheRateOfAdmissions(t *testing.T) {
	q, now := loadedQueue()
	var returns []time.Time
	for range 20 { // one a dispatch
		now = now.Add(20 * time.Millisecond)
		r := request(now, middle)
		r.Arrived, r.Deadline = now.Add(-time.Second), now
		q.Push(now, r)
		rejections := q.Shed(now)
		assert.Equal(t, len(rejections), 1)
		returns = append(returns, now.Add(rejections[0].RetryAfter))
	}
	between := returns[len(returns)-1].Sub(returns[0])
	assert.Assert(t, between >= time.Duration(len(returns)-1)*50*time.Millisecond, "all return within %s", between)
}
