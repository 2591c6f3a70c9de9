package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

var (
	start      = time.Unix(1000, 0)
	urgent     = routing.Rank{Priority: 0}
	middle     = routing.Rank{Priority: 1}
	lessUrgent = routing.Rank{Priority: 2}
)

func request(now time.Time, rank routing.Rank) *Request {
	return &Request{Rank: rank, Arrived: now, TargetLatency: target, Deadline: now.Add(2 * time.Second)}
}

func free(slots int) func() Capacity {
	return func() Capacity { return Capacity{Free: slots, InFlight: 100} }
}

// TestFreeCapacityIsLeftToMoreUrgentElsewhere guards against an instance with an empty queue that
// takes the capacity for which more urgent requests wait at other instances, and against one that
// leaves more than these can use.
func TestFreeCapacityIsLeftToMoreUrgentElsewhere(t *testing.T) {
	var q Queue
	q.SetPeerDemand(start, "peer", []PriorityDemand{{Rank: urgent, Waiting: 4}})
	for _, c := range []struct {
		name     string
		rank     routing.Rank
		age      time.Duration
		free     int
		admitted bool
	}{
		{"as many are free as wait", middle, 0, 4, false},
		{"one more is free", middle, 0, 5, true},
		{"equally urgent", urgent, 0, 1, true},
		{"half counts after a second", middle, time.Second, 3, true},
		{"half still counts after a second", middle, time.Second, 2, false},
		{"too old", middle, 2 * time.Second, 1, true},
	} {
		now := start.Add(c.age)
		q.ranks = nil // no request was held back before
		d := q.Decide(now, request(now, c.rank), free(c.free))
		assert.Equal(t, d.Admitted, c.admitted, c.name)
	}
	resumed := request(start, lessUrgent)
	resumed.Resumed = true
	assert.Assert(t, q.Decide(start, resumed, free(1)).Admitted)
}

// TestNothingIsHeldBackWhenNothingWaits guards against the cost of a decision, and against
// requests that wait, while no request of the zone does.
func TestNothingIsHeldBackWhenNothingWaits(t *testing.T) {
	var q Queue
	q.SetPeerDemand(start, "peer", []PriorityDemand{{Rank: urgent, ArrivalsPerSecond: 1000}})
	q.RecordArrival(start, request(start, urgent))
	d := q.Decide(start, request(start, lessUrgent), func() Capacity {
		t.Fatal("the capacity was asked for")
		return Capacity{}
	})
	assert.Assert(t, d.Admitted)
	assert.Equal(t, len(q.Demand(start)), 0)
}

// TestHoldBackIsBounded guards against requests that starve while a peer reports more urgent ones
// again and again.
func TestHoldBackIsBounded(t *testing.T) {
	for _, c := range []struct {
		name      string
		answer    time.Duration // 0 if none is known
		waiting   int           // of the rank, at the peer
		admitted  time.Duration // until then at most
		heldUntil time.Duration
	}{
		{"no answer is known", 0, 0, maxHoldBack, 900 * time.Millisecond},
		{"one in twenty of 100 in 2 s", 2 * time.Second, 0, 400 * time.Millisecond, 300 * time.Millisecond},
		{"half of one in twenty", 2 * time.Second, 1, 800 * time.Millisecond, 600 * time.Millisecond},
	} {
		var q Queue
		q.RecordAnswer(c.answer)
		r := request(start, lessUrgent)
		q.RecordArrival(start, r)
		q.Push(start, r)
		var held time.Duration
		for held = 0; held <= 2*time.Second; held += 20 * time.Millisecond {
			now := start.Add(held)
			q.SetPeerDemand(now, "peer", []PriorityDemand{{Rank: urgent, Waiting: 50}, {Rank: lessUrgent, Waiting: c.waiting}})
			if q.Decide(now, r, free(3)).Admitted {
				break
			}
		}
		assert.Assert(t, held <= c.admitted && held >= c.heldUntil, "%s: held for %s", c.name, held)
	}
}

// TestInvalidDemandIsIgnored guards against a faulty peer that keeps all less urgent requests of
// the zone waiting.
func TestInvalidDemandIsIgnored(t *testing.T) {
	var q Queue
	ignored := q.SetPeerDemand(start, "peer", []PriorityDemand{
		{Rank: urgent, Waiting: -1}, {Rank: urgent, Waiting: math.MaxInt}, {Rank: urgent, Waiting: 1, Work: math.NaN()},
		{Rank: urgent, Waiting: 1, ArrivalsPerSecond: math.Inf(1)}, {Rank: urgent, Waiting: 1, ArrivalsPerSecond: -1},
	})
	assert.Equal(t, ignored, 5)
	assert.Assert(t, q.Decide(start, request(start, lessUrgent), free(1)).Admitted)
	assert.Equal(t, q.SetPeerDemand(start, "peer", make([]PriorityDemand, 100)), 100-maxRanks)
}

// TestDemandCountsWhatCouldUseCapacity guards against capacity that stays free for requests which
// wait for something else, as for a retry.
func TestDemandCountsWhatCouldUseCapacity(t *testing.T) {
	var q Queue
	for i, rank := range []routing.Rank{middle, urgent, middle, middle} {
		r := request(start, rank)
		r.Work, r.Blocked = 100, i == 3
		q.RecordArrival(start, r)
		q.Push(start, r)
	}
	got := q.Demand(start)
	assert.Equal(t, len(got), 2)
	assert.DeepEqual(t, got[0], PriorityDemand{Rank: urgent, Waiting: 1, Work: 100, ArrivalsPerSecond: 1})
	assert.DeepEqual(t, got[1], PriorityDemand{Rank: middle, Waiting: 2, Work: 200, ArrivalsPerSecond: 3})
}

// TestCapacityIsReservedForArrivals guards against urgent requests that find no slot since the last
// one went to a less urgent request just before, and against a reserve that stays when there is no
// shortage, or is greater than what arrives before a slot becomes free.
func TestCapacityIsReservedForArrivals(t *testing.T) {
	var q Queue
	q.RecordAnswer(2 * time.Second) // one of 100 in flight ends each 20 ms
	now := start
	for range 1000 { // 100 a second
		now = now.Add(10 * time.Millisecond)
		q.RecordArrival(now, request(now, urgent))
	}
	assert.Assert(t, q.Decide(now, request(now, middle), free(1)).Admitted, "capacity is not short")
	waiting := request(now, urgent)
	q.Push(now, waiting)
	q.Admit(now, waiting)
	for slots, admitted := range map[int]bool{2: false, 4: true} { // 2 arrive until a slot becomes free
		d := q.Decide(now, request(now, middle), free(slots))
		assert.Equal(t, d.Admitted, admitted, "%d free, %.2f arriving", slots, d.Arriving)
		assert.Assert(t, q.Decide(now, request(now, urgent), free(slots)).Admitted)
	}
	now = now.Add(shortageAge + time.Millisecond)
	assert.Assert(t, q.Decide(now, request(now, middle), free(1)).Admitted, "no longer short")
}

// BenchmarkDecide measures a dispatch in a zone under overload: 300 waiting requests are ordered and
// decided on, with the reports of 27 instances on three ranks.
func BenchmarkDecide(b *testing.B) {
	var q Queue
	for i := range 300 {
		r := request(start, routing.Rank{Priority: 1, Route: i % 3})
		r.Team = deployment.Team(fmt.Sprint(i % 50))
		q.Push(start, r)
	}
	for i := range 27 {
		q.SetPeerDemand(start, deployment.InstanceID(fmt.Sprint(i)), q.Demand(start))
	}
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Duration(i%1000) * time.Millisecond)
		for _, r := range q.Ordered(now) {
			q.Decide(now, r, free(2))
		}
	}
}

// BenchmarkDecideUncontended measures what a request costs while nothing waits in the zone.
func BenchmarkDecideUncontended(b *testing.B) {
	var q Queue
	r := request(start, urgent)
	for range b.N {
		q.RecordArrival(start, r)
		if !q.Preceded(start, r) && q.Decide(start, r, free(2)).Admitted {
			q.Admit(start.Add(time.Hour), r)
		}
	}
}
