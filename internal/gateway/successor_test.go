package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

// seekingMonitor returns a monitor whose search for another path ends with acquire, and a
// stalled stream on a fleet of one stage.
func seekingMonitor(t *testing.T, acquire func(ctx context.Context) (reservation, error)) (*streamMonitor, *monitoredStream, *backend.Fleet) {
	now := time.Now()
	fleet, service := testFleet(now)
	config := Config{Fleet: fleet, Logger: zap.NewNop(), OnObservation: func(deployment.BackendID, backend.Observation) {}}
	m := newStreamMonitor(config, newEndWatch(&config, nil))
	m.successor = func(ctx context.Context, _ *pathRequest) (pathSuccessor, error) {
		next, err := acquire(ctx)
		return &next, err
	}
	c := &call{service: service, started: now}
	c.decision.Route = &deployment.Route{Resumable: true, MaxAttempts: 2}
	stream := m.add(c, testReservation(t, fleet, now), false, func() {})
	fleet.MarkSuspect(now, "10.0.0.1:80")
	stream.setSource(&stalledSource{call: c, now: now})
	return m, stream, fleet
}

// stalledSource is a stream that may be sent again.
type stalledSource struct {
	call *call
	now  time.Time
}

func (s *stalledSource) nextPath() (pathRequest, bool) {
	return pathRequest{call: s.call, lastEventAt: s.now}, true
}

func testReservation(t *testing.T, fleet *backend.Fleet, now time.Time) reservation {
	path := pipeline.Path{Hops: []deployment.Hop{{Address: "10.0.0.1:80"}}, IDs: []deployment.BackendID{"i-1"}}
	inFlight, ok := fleet.Begin(now, path)
	assert.Assert(t, ok)
	return reservation{path: path, inFlight: inFlight}
}

// TestStalledStreamWithoutOtherPathStays guards against a stream that is cut although its
// servers were only silent for a while.
func TestStalledStreamWithoutOtherPathStays(t *testing.T) {
	m, stream, _ := seekingMonitor(t, func(context.Context) (reservation, error) { return reservation{}, errors.New("no path") })
	m.seekSuccessor(context.Background(), stream, stream.lastEvent.Load())
	assert.Assert(t, !stream.interrupted.Load())
	assert.Assert(t, stream.takeSuccessor() == nil)
}

// TestStalledStreamLeavesForReservedPath guards against a path that is left before the next
// one is reserved, or kept after.
func TestStalledStreamLeavesForReservedPath(t *testing.T) {
	var next reservation
	m, stream, fleet := seekingMonitor(t, func(context.Context) (reservation, error) { return next, nil })
	next = testReservation(t, fleet, time.Now())
	m.seekSuccessor(context.Background(), stream, stream.lastEvent.Load())
	assert.Assert(t, stream.interrupted.Load())
	assert.Equal(t, stream.takeSuccessor().(*reservation).inFlight, next.inFlight)
}

// TestStreamThatGoesOnKeepsItsPath guards against a path that is left although its events come
// again, and against a reservation or a retry that is never given back.
func TestStreamThatGoesOnKeepsItsPath(t *testing.T) {
	now := time.Now()
	var stream *monitoredStream
	var next reservation
	m, stream, fleet := seekingMonitor(t, func(ctx context.Context) (reservation, error) {
		stream.recordEvent(time.Now().Add(time.Millisecond))
		assert.Check(t, ctx.Err() != nil)
		return next, nil
	})
	budget := retrybudget.NewWindowBudget(now.Add(-time.Hour), retrybudget.Bounds{Reserve: 2, Window: time.Second}, 1)
	next = testReservation(t, fleet, now)
	next.budget = budget
	assert.Assert(t, budget.Take(now, true))
	stream.rerouting.Store(true)
	m.seekSuccessor(context.Background(), stream, stream.lastEvent.Load())
	assert.Assert(t, !stream.interrupted.Load())
	assert.Equal(t, budget.Report(now).Spent, 0.0)
	assert.Equal(t, fleet.ZoneLoads(now)["i-1"], 1)
}
