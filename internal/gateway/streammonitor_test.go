package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// TestMovedAfterItsEnd: a stream ends while the order that moves it is on its way.
// That failed before: the work on the old path was ended twice, and that on the new
// one never.
func TestMovedAfterItsEnd(t *testing.T) {
	now := time.Now()
	fleet, service := testFleet(now)
	fleet.Put(deployment.Backend{
		ID: "i-2", Service: "svc", Address: "10.0.0.2:80", Zone: "a", Slots: 4, Accelerator: "h100",
		Layers: deployment.LayerRange{First: 0, End: 80},
	})
	begin := func(id deployment.BackendID) place {
		path := pipeline.Path{Hops: []deployment.Hop{{Address: "10.0.0.1:80"}}, IDs: []deployment.BackendID{id}}
		work, ok := fleet.Begin(path)
		assert.Assert(t, ok)
		return place{path: path, work: work}
	}
	idle := func() {
		t.Helper()
		for _, stage := range fleet.Stages(now, service) {
			assert.Equal(t, stage.Requests, 0, "%s", stage.ID)
		}
	}
	stream := &watched{on: begin("i-1")}
	to := begin("i-2")
	stream.end(now)
	stream.moved(now, to)
	idle()

	stream = &watched{on: begin("i-1")}
	stream.moved(now, begin("i-2"))
	stream.end(now)
	idle()
}

// TestStalledStreamIsMovedInTime: a stage is lost in the middle of a stream. The platform
// ends the stream 2.5 s after that, so it is to be moved before, though the first
// question to its first stage comes back without a word of it and each answer takes as
// long as it may.
func TestStalledStreamIsMovedInTime(t *testing.T) {
	const (
		platformStall = 2500 * time.Millisecond
		slowestAnswer = 500 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	fleet, _ := testFleet(start)
	w := newWatch(Config{Fleet: fleet})
	path := pipeline.Path{Hops: []deployment.Hop{{Address: "10.0.0.1:80"}}, IDs: []deployment.BackendID{"i-1"}}
	stream := w.add(&call{}, place{path: path}, func() {})
	stream.last.Store(start.UnixNano())
	stream.begun.Store(true)
	questions := 0
	told := time.Time{} // when the answer that names the lost stage comes
	for now := start; now.Sub(start) < platformStall; now = now.Add(watchEvery) {
		if !told.IsZero() && !now.Before(told) {
			fleet.MarkSuspect(now, "10.0.0.1:80")
		}
		silent, ask := w.look(now)
		if len(silent) > 0 {
			assert.Assert(t, questions >= 2)
			return
		}
		questions += len(ask)
		if questions == 2 && told.IsZero() {
			told = now.Add(slowestAnswer)
		}
	}
	t.Fatalf("not moved within %s", platformStall)
}
