package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// slots is a service with some free slots, which all its reservers share.
type slots struct{ free int }

func (s *slots) ready(time.Time) error { return nil }

func (s *slots) reserve(time.Time) (reservation, error) {
	if s.free == 0 {
		return reservation{}, errNoPath
	}
	s.free--
	return reservation{}, nil
}

func (s *slots) capacity(time.Time) admission.Capacity {
	return admission.Capacity{Free: s.free, InFlight: 10}
}

func (s *slots) restricted() bool { return false }

func queuedRequest(now time.Time, rank routing.Rank) *admission.Request {
	return &admission.Request{Rank: rank, Arrived: now, TargetLatency: time.Second, Deadline: now.Add(time.Minute)}
}

// TestQueueLeavesCapacityToMoreUrgentPeers guards against a queue that gives a less urgent request
// the slot for which more urgent ones wait at another instance, and against one that holds it back
// when these no longer wait.
func TestQueueLeavesCapacityToMoreUrgentPeers(t *testing.T) {
	q, service := newQueue(queueObserver{}), &slots{free: 1}
	now := time.Now()
	q.setPeerDemand(now, "peer", []admission.PriorityDemand{{Rank: routing.Rank{}, Waiting: 2}})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := q.acquire(ctx, queuedRequest(now, routing.Rank{Priority: 1}), service)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	q.setPeerDemand(time.Now(), "peer", nil)
	_, err = q.acquire(context.Background(), queuedRequest(now, routing.Rank{Priority: 1}), service)
	assert.NilError(t, err)
}

// TestUrgentRequestPassesWaitingOnes guards against an urgent request that waits for the next
// dispatch, because less urgent ones wait for capacity that is left to other instances.
func TestUrgentRequestPassesWaitingOnes(t *testing.T) {
	q, service := newQueue(queueObserver{}), &slots{free: 1}
	now := time.Now()
	q.running = true // no dispatch during the test
	q.admission.Push(now, queuedRequest(now, routing.Rank{Priority: 1}))
	_, _, ok := q.reserveOrEnqueue(now, queuedRequest(now, routing.Rank{Priority: 0}), service)
	assert.Assert(t, ok)
	service.free = 1
	_, _, ok = q.reserveOrEnqueue(now, queuedRequest(now, routing.Rank{Priority: 1}), service)
	assert.Assert(t, !ok, "an equally urgent one must wait its turn")
}

// gatewaySlots is a service whose reservations need the gateway's state, as those of streams do.
type gatewaySlots struct {
	slots
	gateway   *Gateway
	readyCall chan struct{}
}

func (s *gatewaySlots) ready(now time.Time) error {
	close(s.readyCall)
	time.Sleep(10 * time.Millisecond) // a report is made meanwhile
	s.gateway.budget("svc").CanTake(now, false)
	return nil
}

// TestReportsDoNotBlockDispatch guards against a queue that waits for the gateway's state while a
// report waits for the queue with that state locked: no request is served from then on.
func TestReportsDoNotBlockDispatch(t *testing.T) {
	g := New(Config{Settings: deployment.Settings{RetryWindow: time.Second}})
	q := g.queue("svc")
	service := &gatewaySlots{slots: slots{free: 1}, gateway: g, readyCall: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		now := time.Now()
		_, _, _ = q.reserveOrEnqueue(now, queuedRequest(now, routing.Rank{}), service)
	}()
	<-service.readyCall
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		g.Demand(time.Now())
		g.SetPeerDemand(time.Now(), "peer", nil)
	}()
	// If they wait for one another, the time limit of go test ends this.
	<-done
	<-reported
}

// TestQueueIsMeasuredByRank guards against waiting requests that are counted twice or never when they
// leave the queue, and against labels without bound.
func TestQueueIsMeasuredByRank(t *testing.T) {
	registry := prometheus.NewRegistry()
	metrics := NewMetrics(registry)
	q, service := newQueue(newQueueObserver(&Config{Metrics: metrics, Logger: zap.NewNop()}, "svc")), &slots{free: 1}
	now := time.Now()
	rank := routing.Rank{Priority: 1, Route: 2}
	value := func(name string) float64 {
		families, err := registry.Gather()
		assert.NilError(t, err)
		for _, family := range families {
			if family.GetName() == "mulberryhead_queue_"+name {
				assert.Equal(t, family.GetMetric()[0].GetLabel()[0].GetValue(), "1.2")
				return family.GetMetric()[0].GetGauge().GetValue() + family.GetMetric()[0].GetCounter().GetValue()
			}
		}
		return 0
	}
	q.running = true // no dispatch but those of the test
	enqueue := func(deadline time.Time) *waiter {
		r := queuedRequest(now, rank)
		r.Deadline = deadline
		w, _, ok := q.reserveOrEnqueue(now, r, service)
		assert.Assert(t, !ok)
		return w
	}
	q.setPeerDemand(now, "peer", []admission.PriorityDemand{{Waiting: 3}})
	enqueue(now.Add(time.Minute))
	abandoned := enqueue(now.Add(time.Minute))
	enqueue(now)
	assert.Equal(t, value("waiting"), 3.0)
	assert.Equal(t, value("held_back_total"), 1.0) // the others wait behind it
	q.abandon(abandoned)
	q.abandon(abandoned)
	q.dispatch(now)
	assert.Equal(t, value("waiting"), 1.0)
	assert.Equal(t, value("rejected_total"), 1.0)
	q.setPeerDemand(now, "peer", nil)
	q.dispatch(now)
	assert.Equal(t, value("waiting"), 0.0)
	assert.Equal(t, value("admitted_total"), 1.0)
	assert.Equal(t, value("held_back_total"), 2.0)
	for i := range 100 {
		metrics.admission.label(routing.Rank{Priority: i})
	}
	assert.Equal(t, metrics.admission.label(routing.Rank{Priority: 99}), otherRanks)
}
