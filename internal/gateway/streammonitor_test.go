package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// TestRerouteAfterStreamEnd guards against reservations that are released twice or
// never: if a stream ends while its reroute is in flight, the old reservation must be
// released once, and the new one too.
func TestRerouteAfterStreamEnd(t *testing.T) {
	now := time.Now()
	fleet, service := testFleet(now)
	fleet.Put(deployment.Backend{
		ID: "i-2", Service: "svc", Address: "10.0.0.2:80", Zone: "a", Slots: 4, Accelerator: "h100",
		Layers: deployment.LayerRange{First: 0, End: 80},
	})
	reserve := func(id deployment.BackendID) reservation {
		path := pipeline.Path{Hops: []deployment.Hop{{Address: "10.0.0.1:80"}}, IDs: []deployment.BackendID{id}}
		inFlight, ok := fleet.Begin(now, path)
		assert.Assert(t, ok)
		return reservation{path: path, inFlight: inFlight}
	}
	assertIdle := func() {
		t.Helper()
		for _, stage := range fleet.Stages(now, service) {
			assert.Equal(t, stage.Requests, 0, "%s", stage.ID)
		}
	}
	stream := &monitoredStream{current: reserve("i-1")}
	to := reserve("i-2")
	stream.end(now)
	stream.switchTo(now, to)
	assertIdle()

	stream = &monitoredStream{current: reserve("i-1")}
	stream.switchTo(now, reserve("i-2"))
	stream.end(now)
	assertIdle()
}

// TestStalledStreamIsDetectedInTime simulates a stage that fails in the middle of a
// stream. The platform ends a stalled stream after 2.5 s, and the stream must be rerouted
// before. So scan must return it before, even if the first probe of its first stage does
// not report the failed stage and the report of the second one takes the maximum time.
func TestStalledStreamIsDetectedInTime(t *testing.T) {
	const (
		platformStallTimeout = 2500 * time.Millisecond
		maxReportTime        = 500 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	fleet, _ := testFleet(start)
	config := Config{Fleet: fleet, OnObservation: func(deployment.BackendID, backend.Observation) {}}
	m := newStreamMonitor(config, newEndWatch(&config, nil))
	path := pipeline.Path{Hops: []deployment.Hop{{Address: "10.0.0.1:80"}}, IDs: []deployment.BackendID{"i-1"}}
	inFlight, ok := fleet.Begin(start, path)
	assert.Assert(t, ok)
	stream := m.add(&call{}, reservation{path: path, inFlight: inFlight}, false, func() {})
	stream.lastEvent.Store(start.UnixNano())
	stream.hasEvents.Store(true)
	probes := 0
	reportedAt := time.Time{} // when the report that names the failed stage arrives
	for now := start; now.Sub(start) < platformStallTimeout; now = now.Add(monitorInterval) {
		if !reportedAt.IsZero() && !now.Before(reportedAt) {
			fleet.MarkSuspect(now, "10.0.0.1:80")
		}
		stalled, toProbe := m.scan(now)
		if len(stalled) > 0 {
			assert.Assert(t, probes >= 2)
			return
		}
		probes += len(toProbe)
		if probes == 2 && reportedAt.IsZero() {
			reportedAt = now.Add(maxReportTime)
		}
	}
	t.Fatalf("not detected within %s", platformStallTimeout)
}
