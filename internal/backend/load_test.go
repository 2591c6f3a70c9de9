package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// TestFailedZoneLoadIsSpread simulates the failure of a zone: six instances reroute 120
// requests to two other zones at the same moment, before any instance has received the
// loads of another. The fuller of the two zones limits what callers get. Without an
// estimate of what the other instances add, all requests go to the zone that was best
// before.
func TestFailedZoneLoadIsSpread(t *testing.T) {
	const instances, rerouted = 6, 20
	engine := &deployment.Engine{
		Layers: 80, LayerSize: 1750, KVBytesPerToken: 590000, TypicalPromptTokens: 770, TypicalOutputTokens: 170,
		StepTime: 850 * time.Microsecond, StepPerRequest: 4 * time.Microsecond, StepPerKContext: 5 * time.Microsecond,
		Accelerators: map[string]deployment.Accelerator{"fast": {Memory: 220000, StepFactor: 10}, "slow": {Memory: 220000, StepFactor: 11}},
	}
	model := &deployment.Service{Name: "svc", Engine: engine}
	total := map[deployment.Zone]int{}
	for range instances {
		fast, slow := entry("i-fast", 0, 80), entry("i-slow", 0, 80)
		fast.Zone, fast.Accelerator = "b", "fast"
		slow.Zone, slow.Accelerator = "c", "slow"
		f := fleetOf(fast, slow)
		f.SetInstanceCounts(instances, instances)
		for range rerouted {
			path, ok := pipeline.Find(engine, f.Stages(start, model), "a")
			assert.Assert(t, ok)
			request, ok := f.Begin(start, path)
			assert.Assert(t, ok)
			total[request.Backend.Zone]++
		}
	}
	assert.Equal(t, total["b"]+total["c"], instances*rerouted)
	assert.Assert(t, total["c"] >= instances*rerouted/4, "%v", total)
}

// TestLoadThatRoseIsReportedEarly guards against instances that all choose one stage within the regular
// interval of reports, and against early reports of a load that falls or rises by one.
func TestLoadThatRoseIsReportedEarly(t *testing.T) {
	f := fleetOf(entry("s", 0, 80))
	begin := func() *InFlightRequest {
		request, ok := f.Begin(start, pipeline.Path{IDs: []deployment.BackendID{"s"}})
		assert.Assert(t, ok)
		return request
	}
	begin()
	assert.Assert(t, !f.LoadsRoseMuch())
	second := begin()
	assert.Assert(t, f.LoadsRoseMuch())
	f.SnapshotLoads()
	assert.Assert(t, !f.LoadsRoseMuch(), "told")
	second.Done(start, Succeeded)
	begin()
	assert.Assert(t, !f.LoadsRoseMuch(), "one ended and one began")
}

func TestOthersOnStage(t *testing.T) {
	l := newSharedLoad()
	l.instances, l.instancesInZone = 9, 5
	l.setPeer(start, "p1", StageLoads{"a": 10, "b": 1})
	l.setPeer(start, "p2", StageLoads{"a": 20})
	assert.Equal(t, l.othersOn("a", 0), 60, "two of four peers have reported")
	assert.Equal(t, l.othersOn("b", 0), 2, "each stage by itself")
	assert.Equal(t, l.othersOn("a", 1), 60, "one more is a steady load")
	assert.Equal(t, l.othersOn("a", 3), 68, "each peer is assumed to add as many")
	l.reported = StageLoads{"a": 3}
	assert.Equal(t, l.othersOn("a", 3), 60)
	l.setZone(start, "other", StageLoads{"a": 7})
	assert.Equal(t, l.othersOn("a", 3), 67, "other zones report a sum, which is not extrapolated")
	l.setPeer(start, "p1", StageLoads{"a": 0})
	assert.Equal(t, l.othersOn("a", 3), 47, "a report replaces the one before")
	l.expire(start.Add(2 * peerLoadMaxAge))
	assert.Equal(t, l.othersOn("a", 3), 0)
}
