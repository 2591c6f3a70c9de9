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

func entry(id deployment.BackendID, first, end int) deployment.Backend {
	return deployment.Backend{
		ID: id, Service: "svc", Address: deployment.Address(id) + ":80", Zone: "a", Slots: 4,
		Layers: deployment.LayerRange{First: first, End: end}, StartedAt: start,
	}
}

func fleetOf(entries ...deployment.Backend) *Fleet {
	f := NewFleet()
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

// TestVanishedAroundAnOutage: an entry that goes while the list can't be read may
// come back within two seconds; after that it is gone.
func TestVanishedAroundAnOutage(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.RecordListUnavailable(start)
	f.Replace(start.Add(time.Second), nil)
	assert.Equal(t, len(f.Stages(start.Add(time.Second), service)), 1)
	f.ExpireMissing(start.Add(missingGrace - time.Millisecond))
	assert.Equal(t, len(f.Stages(start.Add(missingGrace), service)), 1)
	f.ExpireMissing(start.Add(missingGrace))
	assert.Equal(t, len(f.Stages(start.Add(missingGrace), service)), 0)
}

func TestVanishedWithoutAnOutage(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.Remove(start.Add(time.Second), "i-1")
	assert.Equal(t, len(f.Stages(start.Add(time.Second), service)), 0)
}

// TestDrainingTakesNothingNew holds at once, whatever else is known.
func TestDrainingTakesNothingNew(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	leaving := entry("i-1", 0, 80)
	leaving.Draining = true
	f.Put(leaving)
	assert.Equal(t, len(f.Stages(start, service)), 0)
	_, ok := f.Pick(start, service, "a", nil)
	assert.Assert(t, !ok)
}

// TestBornAgain: a backend server that starts again under its id holds and knows
// nothing of before, and what was believed of it is void.
func TestBornAgain(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.MarkSuspect(start, "i-1:80")
	f.SetTargetLayers(start, "i-1", deployment.LayerRange{First: 0, End: 10})
	again := entry("i-1", 0, 80)
	again.StartedAt = start.Add(time.Second)
	f.Put(again)
	stages := f.Stages(start.Add(2*time.Second), service)
	assert.Equal(t, len(stages), 1)
	assert.DeepEqual(t, stages[0].Layers, deployment.LayerRange{First: 0, End: 80})
}

// TestGivenUpLayersTakeNothingNew: the list names all layers until the last request
// has passed through those that were given up.
func TestGivenUpLayersTakeNothingNew(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 40))
	f.SetTargetLayers(start, "i-1", deployment.LayerRange{First: 0, End: 30})
	f.Put(entry("i-1", 0, 40))
	assert.DeepEqual(t, f.Stages(start, service)[0].Layers, deployment.LayerRange{First: 0, End: 30})
	f.SetTargetLayers(start, "i-1", deployment.LayerRange{First: 0, End: 50})
	assert.DeepEqual(t, f.Stages(start, service)[0].Layers, deployment.LayerRange{First: 0, End: 40}) // not loaded yet
}

// TestFullStageKeepsItsRequests: a stage without room keeps what it has and gets
// more of them with time.
func TestFullStageKeepsItsRequests(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	for range 100 {
		_, ok := f.Begin(pathOf("i-1"))
		assert.Assert(t, ok)
	}
	f.MarkFull(start, "i-1:80")
	assert.Equal(t, len(f.Stages(start.Add(2*fullPause), service)), 0)
	assert.Equal(t, len(f.Stages(start.Add(10*time.Second), service)), 1)
}

// TestRefusalsInARowCountAsLost: a stage that refuses everything is a lost one for
// the plan, until it takes a request again.
func TestRefusalsInARowCountAsLost(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	now := start
	for range refusalsInRow {
		f.MarkFull(now, "i-1:80")
		now = now.Add(fullPause)
	}
	assert.Assert(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor > 0)
	f.RecordAccepted(pathOf("i-1"))
	assert.Equal(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor, time.Duration(0))
}

// TestPickPrefersSoundThenFree checks the choice among plain backend servers.
func TestPickPrefersSoundThenFree(t *testing.T) {
	far := entry("i-far", 0, 0)
	far.Zone = "b"
	f := fleetOf(entry("i-1", 0, 0), far)
	work, ok := f.Pick(start, service, "a", nil)
	assert.Assert(t, ok)
	assert.Equal(t, work.Backend.ID, deployment.BackendID("i-1"))
	work.Done(start, Failed)
	work, _ = f.Pick(start, service, "a", nil)
	assert.Equal(t, work.Backend.ID, deployment.BackendID("i-far"), "i-1 has just failed")
	_, ok = f.Pick(start, service, "a", map[deployment.BackendID]bool{"i-1": true, "i-far": true})
	assert.Assert(t, !ok)
}

// TestWorkIsBalanced begins and ends work at random; when all has ended, nothing is
// counted any more.
func TestWorkIsBalanced(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		f := fleetOf(entry("i-1", 0, 40), entry("i-2", 40, 80))
		var open []*InFlightRequest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begin") || len(open) == 0 {
				work, ok := f.Begin(pathOf("i-1", "i-2"))
				if ok {
					open = append(open, work)
				}
				continue
			}
			open[0].Done(start, Inconclusive)
			open = open[1:]
		}
		for _, work := range open {
			work.Done(start, Inconclusive)
		}
		for _, stage := range f.Stages(start, service) {
			if stage.Requests != 0 {
				t.Fatalf("%s has %d requests", stage.ID, stage.Requests)
			}
		}
	})
}

// TestRefusedOrderChangesNothing: two instances order the same for a moment, and the
// second is refused. That failed before: the refused one told everybody to take the
// backend server as it was before the order, for as long as an order may take.
func TestRefusedOrderChangesNothing(t *testing.T) {
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

// TestAddressOfTheNewest: a backend server has started again under another id, and
// the entry of the one before it is still listed. That failed before: both were taken
// for stages, so that one address came twice on a path.
func TestAddressOfTheNewest(t *testing.T) {
	old, again := entry("i-1", 0, 80), entry("i-2", 0, 40)
	again.Address = old.Address
	again.StartedAt = start.Add(time.Second)
	for _, order := range [][]deployment.Backend{{old, again}, {again, old}} {
		f := fleetOf(order...)
		stages := f.Stages(start, service)
		assert.Equal(t, len(stages), 1)
		assert.Equal(t, stages[0].ID, deployment.BackendID("i-2"))
	}
}

// TestWrongLayersInARowCountAsLost: the list can't tell that a backend server has
// started anew, as it is cut off from the store. That failed before: it was tried
// again each 0.7 s.
func TestWrongLayersInARowCountAsLost(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	now := start
	for range refusalsInRow + 2 {
		f.MarkWrongLayers(now, "i-1:80")
		now = now.Add(misplacedTime)
	}
	assert.Assert(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor > 0)
	assert.Equal(t, len(f.Stages(now, service)), 0)
}

// TestConnectionsAreShared: the instances together open no more connections to a
// backend server than it accepts, and a request that has ended makes room.
func TestConnectionsAreShared(t *testing.T) {
	const instances, accepted = 3, 10
	plain := &deployment.Service{Name: "svc", MaxConnections: accepted}
	model := &deployment.Service{Name: "svc", Engine: service.Engine, MaxConnections: accepted}
	opened := 0
	var last *InFlightRequest
	for range instances {
		f := fleetOf(entry("i-1", 0, 40), entry("i-2", 40, 80))
		f.SetInstanceCount(instances)
		for len(f.Stages(start, model)) == 2 {
			work, ok := f.Begin(pathOf("i-1", "i-2"))
			assert.Assert(t, ok)
			opened++
			last = work
		}
		_, ok := f.Pick(start, plain, "a", map[deployment.BackendID]bool{"i-2": true})
		assert.Assert(t, !ok)
		last.Done(start, Succeeded)
		_, ok = f.Pick(start, plain, "a", map[deployment.BackendID]bool{"i-2": true})
		assert.Assert(t, ok)
	}
	assert.Equal(t, opened, instances*(accepted/instances))
}

// TestFewConnections: an instance may open one connection at least.
func TestFewConnections(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 0))
	f.SetInstanceCount(9)
	plain := &deployment.Service{Name: "svc", MaxConnections: 4}
	work, ok := f.Pick(start, plain, "a", nil)
	assert.Assert(t, ok)
	_, ok = f.Pick(start, plain, "a", nil)
	assert.Assert(t, !ok)
	work.Done(start, Succeeded)
	_, ok = f.Pick(start, plain, "a", nil)
	assert.Assert(t, ok)
}

// TestDeparted: what loses its entry unannounced may come back for two seconds, gets no
// work meanwhile, and is no longer departed once it is back.
func TestDeparted(t *testing.T) {
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

// TestLeftOrLost: what has announced that it leaves, or was suspected, has not lapsed.
func TestLeftOrLost(t *testing.T) {
	leaving := entry("i-1", 0, 40)
	leaving.Draining = true
	f := fleetOf(leaving, entry("i-2", 40, 80))
	f.MarkSuspect(start, "i-2:80")
	f.Remove(start, "i-1")
	f.Remove(start, "i-2")
	assert.Equal(t, len(f.RecentlyUnlisted(start, "svc", "a")), 0)
}

// TestBornAgainUnderWork: a request that ends after its backend server has started again
// takes nothing off what the new start has under way.
func TestBornAgainUnderWork(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	old, ok := f.Begin(pathOf("i-1"))
	assert.Assert(t, ok)
	again := entry("i-1", 0, 80)
	again.StartedAt = start.Add(time.Second)
	f.Put(again)
	_, ok = f.Begin(pathOf("i-1"))
	assert.Assert(t, ok)
	old.Done(start.Add(2*time.Second), Succeeded)
	assert.Equal(t, f.Stages(start.Add(2*time.Second), service)[0].Requests, 1)
}

// TestLapsedUnderWork: what is under way at a backend server counts on when its entry is
// back.
func TestLapsedUnderWork(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	work, ok := f.Begin(pathOf("i-1"))
	assert.Assert(t, ok)
	f.Remove(start, "i-1")
	assert.Assert(t, f.Put(entry("i-1", 0, 80)), "the entry is back")
	assert.Equal(t, f.Stages(start, service)[0].Requests, 1)
	work.Done(start, Succeeded)
	assert.Equal(t, f.Stages(start, service)[0].Requests, 0)
}
