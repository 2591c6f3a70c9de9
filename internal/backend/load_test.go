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
		f.SetInstanceCount(instances)
		for range rerouted {
			path, ok := pipeline.Find(engine, f.Stages(start, model), "a")
			assert.Assert(t, ok)
			request, ok := f.Begin(path)
			assert.Assert(t, ok)
			total[request.Backend.Zone]++
		}
	}
	assert.Equal(t, total["b"]+total["c"], instances*rerouted)
	assert.Assert(t, total["c"] >= instances*rerouted/4, "%v", total)
}

func TestPeerRequests(t *testing.T) {
	l := newZoneLoad()
	l.instances = 5
	l.setPeer(start, "p1", map[deployment.Zone]int{"a": 10})
	l.setPeer(start, "p2", map[deployment.Zone]int{"a": 20})
	assert.Equal(t, l.peerRequests(start, "a"), 60, "two of four peers have reported")
	l.own["a"] = 3
	assert.Equal(t, l.peerRequests(start, "a"), 72, "each peer is assumed to add as many")
	l.snapshot()
	assert.Equal(t, l.peerRequests(start, "a"), 60)
	assert.Equal(t, l.peerRequests(start.Add(2*peerLoadMaxAge), "a"), 0)
}
