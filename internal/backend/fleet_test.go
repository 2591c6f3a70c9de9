package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/prove"
)

var (
	start   = time.Unix(1000, 0)
	service = &deployment.Service{Name: "svc", Engine: &deployment.Engine{Layers: 80}}
)

// entry returns a backend server of a model that holds some layers, or of a plain service
// if they are none.
func entry(id deployment.BackendID, first, end int) deployment.Backend {
	slots, accelerator := 4, ""
	if end > first {
		slots, accelerator = 192, "card"
	}
	return deployment.Backend{
		ID: id, Service: "svc", Address: deployment.Address(id) + ":80", Zone: "a", Slots: slots, Accelerator: accelerator,
		Layers: deployment.LayerRange{First: first, End: end}, StartedAt: start,
	}
}

func fleetOf(entries ...deployment.Backend) *Fleet {
	f := NewFleet("")
	f.Replace(start, entries)
	return f
}

func pathOf(ids ...deployment.BackendID) pipeline.Path {
	var path pipeline.Path
	for _, id := range ids {
		path.IDs = append(path.IDs, id)
		path.Hops = append(path.Hops, deployment.Hop{Address: deployment.Address(id) + ":80"})
	}
	return path
}

// TestEntryRemovedAroundOutage checks that a backend server whose entry disappears
// around an outage of the list stays usable until two seconds after the last failed
// read of the list, and is then removed.
func TestEntryRemovedAroundOutage(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.RecordListUnavailable(start)
	f.Replace(start.Add(time.Second), nil)
	assert.Equal(t, len(f.Stages(start.Add(time.Second), service)), 1)
	f.ExpireMissing(start.Add(missingGrace - time.Millisecond))
	assert.Equal(t, len(f.Stages(start.Add(missingGrace), service)), 1)
	f.ExpireMissing(start.Add(missingGrace))
	assert.Equal(t, len(f.Stages(start.Add(missingGrace), service)), 0)
}

func TestEntryRemovedWithoutOutage(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.Remove(start.Add(time.Second), "i-1")
	assert.Equal(t, len(f.Stages(start.Add(time.Second), service)), 0)
}

// TestDrainingGetsNoNewRequests checks that the draining state takes effect at once.
func TestDrainingGetsNoNewRequests(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	draining := entry("i-1", 0, 80)
	draining.Draining = true
	f.Put(draining)
	assert.Equal(t, len(f.Stages(start, service)), 0)
	_, ok := f.Pick(start, service, "a", nil)
	assert.Assert(t, !ok)
}

// TestRestartDiscardsState checks that the suspicion and the target layers of a
// backend server do not apply to a later process with the same ID.
func TestRestartDiscardsState(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.MarkSuspect(start, "i-1:80")
	f.SetTargetLayers(start, "i-1", deployment.LayerRange{First: 0, End: 10})
	restarted := entry("i-1", 0, 80)
	restarted.StartedAt = start.Add(time.Second)
	f.Put(restarted)
	stages := f.Stages(start.Add(2*time.Second), service)
	assert.Equal(t, len(stages), 1)
	assert.DeepEqual(t, stages[0].Layers, deployment.LayerRange{First: 0, End: 80})
}

// TestReleasedLayersGetNoNewRequests checks that a stage offers only its target layers
// after a placement order, and of those only the ones it holds. The list shows
// released layers until the last request has passed through them.
func TestReleasedLayersGetNoNewRequests(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 40))
	f.SetTargetLayers(start, "i-1", deployment.LayerRange{First: 0, End: 30})
	f.Put(entry("i-1", 0, 40))
	assert.DeepEqual(t, f.Stages(start, service)[0].Layers, deployment.LayerRange{First: 0, End: 30})
	f.SetTargetLayers(start, "i-1", deployment.LayerRange{First: 0, End: 50})
	assert.DeepEqual(t, f.Stages(start, service)[0].Layers, deployment.LayerRange{First: 0, End: 40}) // not loaded yet
}

// TestFullStageGetsRequestsAgain checks that a stage at capacity keeps its requests,
// gets no new ones at first, and gets more as time passes.
func TestFullStageGetsRequestsAgain(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	for range 100 {
		_, ok := f.Begin(start, pathOf("i-1"))
		assert.Assert(t, ok)
	}
	f.MarkFull(start, "i-1:80")
	assert.Equal(t, len(f.Stages(start.Add(2*fullBackoff), service)), 0)
	assert.Equal(t, len(f.Stages(start.Add(10*time.Second), service)), 1)
}

// TestFirstStageGetsNoMoreThanItsSlots guards against requests that wait in the queue of a
// first stage, where neither their order nor their rejection is decided here.
func TestFirstStageGetsNoMoreThanItsSlots(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 40), entry("i-2", 40, 80))
	f.SetInstanceCounts(2, 2)
	f.SetPeerLoads(start, "peer", StageLoads{"i-1": 100, "i-2": 100})
	sent := 0
	for ; len(f.Stages(start, service)) == 2; sent++ {
		_, ok := f.Begin(start, pathOf("i-1", "i-2"))
		assert.Assert(t, ok)
		f.SnapshotLoads()
	}
	assert.Equal(t, sent, 92)
	all := f.StagesWithFull(start, service)
	assert.Equal(t, len(all), 2)
	for _, stage := range all {
		assert.Equal(t, stage.Full, stage.ID == "i-1", "slots limit only what a first stage receives")
	}
}

// TestConsecutiveRejectionsMakeUnavailable checks that a stage that rejects every
// request is reported as unavailable until it accepts one.
func TestConsecutiveRejectionsMakeUnavailable(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	now := start
	for range rejectingThreshold {
		f.MarkFull(now, "i-1:80")
		now = now.Add(fullBackoff)
	}
	assert.Assert(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor > 0)
	f.RecordAccepted(pathOf("i-1"))
	assert.Equal(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor, time.Duration(0))
}

// TestPickSkipsFailedAndTried checks the choice among plain backend servers: first one
// in the zone of the request, after its failure one in another zone, and never one
// that the request was sent to before.
func TestPickSkipsFailedAndTried(t *testing.T) {
	far := entry("i-far", 0, 0)
	far.Zone = "b"
	f := fleetOf(entry("i-1", 0, 0), far)
	request, ok := f.Pick(start, service, "a", nil)
	assert.Assert(t, ok)
	assert.Equal(t, request.Backend.ID, deployment.BackendID("i-1"))
	request.Done(start, Failed)
	request, _ = f.Pick(start, service, "a", nil)
	assert.Equal(t, request.Backend.ID, deployment.BackendID("i-far"), "i-1 has just failed")
	_, ok = f.Pick(start, service, "a", map[deployment.BackendID]bool{"i-1": true, "i-far": true})
	assert.Assert(t, !ok)
}

// TestInFlightCountReturnsToZero begins and ends requests at random and checks that no
// stage counts a request when all have ended.
func TestInFlightCountReturnsToZero(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		f := fleetOf(entry("i-1", 0, 40), entry("i-2", 40, 80))
		var open []*InFlightRequest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begin") || len(open) == 0 {
				request, ok := f.Begin(start, pathOf("i-1", "i-2"))
				if ok {
					open = append(open, request)
				}
				continue
			}
			open[0].Done(start, Inconclusive)
			open = open[1:]
		}
		for _, request := range open {
			request.Done(start, Inconclusive)
		}
		for _, stage := range f.Stages(start, service) {
			if stage.Requests != 0 {
				t.Fatalf("%s has %d requests", stage.ID, stage.Requests)
			}
		}
	})
}

// TestRejectedOrderKeepsLayers guards against a stage that stays out of use after two
// instances send it the same placement order and the second order is rejected. If the
// rejection set the layers from before the order as the target, the layers of the
// accepted order would get no requests for as long as an order may take.
func TestRejectedOrderKeepsLayers(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 0))
	ordered := deployment.LayerRange{First: 72, End: 75}
	f.SetTargetLayers(start, "i-1", ordered)
	f.SetTargetLayers(start, "i-1", ordered)
	f.ClearTargetLayers("i-1", ordered)
	f.Put(entry("i-1", 72, 75))
	stages := f.Stages(start.Add(time.Second), service)
	assert.Equal(t, len(stages), 1)
	assert.DeepEqual(t, stages[0].Layers, ordered)
}

// TestNewestProcessOwnsAddress guards against a path that contains the same address
// twice. This happens if a backend server has restarted under another ID, the entry of
// its earlier process is still listed, and both are used as stages.
func TestNewestProcessOwnsAddress(t *testing.T) {
	old, restarted := entry("i-1", 0, 80), entry("i-2", 0, 40)
	restarted.Address = old.Address
	restarted.StartedAt = start.Add(time.Second)
	for _, order := range [][]deployment.Backend{{old, restarted}, {restarted, old}} {
		f := fleetOf(order...)
		stages := f.Stages(start, service)
		assert.Equal(t, len(stages), 1)
		assert.Equal(t, stages[0].ID, deployment.BackendID("i-2"))
	}
}

// TestRepeatedWrongLayersMakeUnavailable guards against retrying a stage with the
// wrong layers every 0.7 s. This happens if a backend server has restarted while it is
// disconnected from the store, so that the list does not show the restart.
func TestRepeatedWrongLayersMakeUnavailable(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	now := start
	for range rejectingThreshold + 2 {
		f.MarkWrongLayers(now, "i-1:80")
		now = now.Add(wrongLayersBackoff)
	}
	assert.Assert(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor > 0)
	assert.Equal(t, len(f.Stages(now, service)), 0)
}

// TestConnectionLimitIsShared checks that the instances together open no more
// connections to a backend server than it accepts, and that a request that ends frees
// its connection.
func TestConnectionLimitIsShared(t *testing.T) {
	const instances, accepted = 3, 10
	plain := &deployment.Service{Name: "svc", MaxConnections: accepted}
	model := &deployment.Service{Name: "svc", Engine: service.Engine, MaxConnections: accepted}
	opened := 0
	var last *InFlightRequest
	for range instances {
		f := fleetOf(entry("i-1", 0, 40), entry("i-2", 40, 80))
		f.SetInstanceCounts(instances, instances)
		for len(f.Stages(start, model)) == 2 {
			request, ok := f.Begin(start, pathOf("i-1", "i-2"))
			assert.Assert(t, ok)
			opened++
			last = request
		}
		_, ok := f.Pick(start, plain, "a", map[deployment.BackendID]bool{"i-2": true})
		assert.Assert(t, !ok)
		last.Done(start, Succeeded)
		_, ok = f.Pick(start, plain, "a", map[deployment.BackendID]bool{"i-2": true})
		assert.Assert(t, ok)
	}
	assert.Equal(t, opened, instances*(accepted/instances))
}

// TestConnectionLimitIsAtLeastOne checks that an instance may open one connection even
// if the connection limit is lower than the number of instances.
func TestConnectionLimitIsAtLeastOne(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 0))
	f.SetInstanceCounts(9, 3)
	plain := &deployment.Service{Name: "svc", MaxConnections: 4}
	request, ok := f.Pick(start, plain, "a", nil)
	assert.Assert(t, ok)
	_, ok = f.Pick(start, plain, "a", nil)
	assert.Assert(t, !ok)
	request.Done(start, Succeeded)
	_, ok = f.Pick(start, plain, "a", nil)
	assert.Assert(t, ok)
}

// TestRecentlyUnlisted checks that a backend server whose entry is removed without
// notice gets no requests, counts as recently unlisted for two seconds, and no longer
// does once its entry has reappeared.
func TestRecentlyUnlisted(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 40), entry("i-2", 40, 80))
	f.Remove(start, "i-1")
	assert.Equal(t, len(f.Stages(start, service)), 1)
	assert.Equal(t, len(f.RecentlyUnlisted(start.Add(time.Second), "svc", "a")), 1)
	assert.Equal(t, len(f.RecentlyUnlisted(start.Add(time.Second), "svc", "b")), 0)
	f.Put(entry("i-1", 0, 40))
	assert.Equal(t, len(f.RecentlyUnlisted(start.Add(time.Second), "svc", "a")), 0)
	f.Remove(start, "i-1")
	assert.Equal(t, len(f.RecentlyUnlisted(start.Add(missingGrace), "svc", "a")), 0)
}

// TestDrainingOrSuspectedIsNotUnlisted checks that a removed entry does not count as
// recently unlisted if its backend server was draining or suspected.
func TestDrainingOrSuspectedIsNotUnlisted(t *testing.T) {
	draining := entry("i-1", 0, 40)
	draining.Draining = true
	f := fleetOf(draining, entry("i-2", 40, 80))
	f.MarkSuspect(start, "i-2:80")
	f.Remove(start, "i-1")
	f.Remove(start, "i-2")
	assert.Equal(t, len(f.RecentlyUnlisted(start, "svc", "a")), 0)
}

// TestRestartWithRequestInFlight checks that a request that ends after its backend
// server has restarted does not reduce the in-flight count of the new process.
func TestRestartWithRequestInFlight(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	old, ok := f.Begin(start, pathOf("i-1"))
	assert.Assert(t, ok)
	restarted := entry("i-1", 0, 80)
	restarted.StartedAt = start.Add(time.Second)
	f.Put(restarted)
	_, ok = f.Begin(start, pathOf("i-1"))
	assert.Assert(t, ok)
	old.Done(start.Add(2*time.Second), Succeeded)
	assert.Equal(t, f.Stages(start.Add(2*time.Second), service)[0].Requests, 1)
}

// TestUnlistedWithRequestInFlight checks that a request in flight at a backend server
// still counts after the entry of the server was removed and has reappeared.
func TestUnlistedWithRequestInFlight(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	request, ok := f.Begin(start, pathOf("i-1"))
	assert.Assert(t, ok)
	f.Remove(start, "i-1")
	assert.Assert(t, f.Put(entry("i-1", 0, 80)), "the entry has reappeared")
	assert.Equal(t, f.Stages(start, service)[0].Requests, 1)
	request.Done(start, Succeeded)
	assert.Equal(t, f.Stages(start, service)[0].Requests, 0)
}

// TestDrainingServerStaysSo guards against requests to a backend server that is leaving after
// the store has come back from an older copy of the list, in which it was not.
func TestDrainingServerStaysSo(t *testing.T) {
	leaving := entry("i-1", 0, 80)
	f := fleetOf(leaving)
	leaving.Draining = true
	f.Put(leaving)
	leaving.Draining = false
	f.Put(leaving)
	assert.Equal(t, len(f.Stages(start, service)), 0)
	leaving.StartedAt = start.Add(time.Second)
	f.Put(leaving)
	assert.Equal(t, len(f.Stages(start, service)), 1, "another incarnation")
}

// TestSuspicionKeepsALongerBackoff guards against a suspicion that lets requests to a stage
// earlier than the rejections before it.
func TestSuspicionKeepsALongerBackoff(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	for range rejectingThreshold + maxDoublings {
		f.MarkFull(start, "i-1:80")
	}
	f.MarkSuspect(start, "i-1:80")
	now := start.Add(suspectTimeout + time.Millisecond)
	assert.Assert(t, !f.ClearSuspect(now, "i-1"), "the rejections still keep it out")
	assert.Assert(t, f.ClearSuspect(start.Add(maxRejectionBackoff), "i-1"))
}

// TestStageThatAnsweredIsNotReplaced guards against layers that are loaded elsewhere for a stage
// that was silent for a second and answers again.
func TestStageThatAnsweredIsNotReplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet("a")
	f.Replace(now, []deployment.Backend{{ID: "i-1", Service: "svc", Address: "10.0.0.1:80", Zone: "a"}})
	f.MarkSuspect(now, "10.0.0.1:80")
	assert.Equal(t, f.ServerStatuses(now.Add(700*time.Millisecond), "svc", "a")[0].UnavailableFor, 700*time.Millisecond)
	f.RecordAnswered(now.Add(time.Second), "i-1")
	assert.Equal(t, f.ServerStatuses(now.Add(1100*time.Millisecond), "svc", "a")[0].UnavailableFor, time.Duration(0))
}

// TestEventsEndNoOtherBackoff guards against events on earlier connections that let requests go
// to a stage that rejects them, or to which no connection can be opened.
func TestEventsEndNoOtherBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	service := &deployment.Service{Name: "svc", Engine: &deployment.Engine{Layers: 80}}
	path := pipeline.Path{IDs: []deployment.BackendID{"i-1"}}
	newFleet := func() *Fleet {
		f := NewFleet("a")
		f.Replace(now, []deployment.Backend{{ID: "i-1", Service: "svc", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Layers: deployment.LayerRange{End: 80}}})
		return f
	}
	silent := newFleet()
	silent.MarkSuspect(now, "10.0.0.1:80")
	silent.RecordResponsive(path)
	assert.Equal(t, len(silent.Stages(now, service)), 1)
	replaced := newFleet()
	replaced.MarkSuspect(now, "10.0.0.1:80")
	replaced.MarkWrongLayers(now, "10.0.0.1:80")
	replaced.RecordResponsive(path)
	assert.Equal(t, len(replaced.Stages(now, service)), 0)
	unconnected := newFleet()
	unconnected.MarkLinkSuspect(now, "10.0.0.1:80")
	unconnected.RecordResponsive(path)
	assert.Equal(t, len(unconnected.Stages(now, service)), 0)
}
