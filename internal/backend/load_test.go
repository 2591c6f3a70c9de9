package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// TestLostZoneIsSpread plays the load of a zone that is lost: six instances move a
// hundred and twenty requests to two other zones at the same moment, in which none
// hears of the others. What callers get of it is bounded by the fuller of the two.
// Without an estimate of what the others add, all went to the zone that was best
// before.
func TestLostZoneIsSpread(t *testing.T) {
	const instances, moved = 6, 20
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
		for range moved {
			path, ok := pipeline.Find(engine, f.Stages(start, model), "a")
			assert.Assert(t, ok)
			work, ok := f.Begin(path)
			assert.Assert(t, ok)
			total[work.Backend.Zone]++
		}
	}
	assert.Equal(t, total["b"]+total["c"], instances*moved)
	assert.Assert(t, total["c"] >= instances*moved/4, "%v", total)
}

func TestOthersLoad(t *testing.T) {
	l := newZoneLoad()
	l.instances = 5
	l.setPeer(start, "p1", map[deployment.Zone]int{"a": 10})
	l.setPeer(start, "p2", map[deployment.Zone]int{"a": 20})
	assert.Equal(t, l.others(start, "a"), 60, "two of four have told")
	l.own["a"] = 3
	assert.Equal(t, l.others(start, "a"), 72, "each of the others adds as many")
	l.tell()
	assert.Equal(t, l.others(start, "a"), 60)
	assert.Equal(t, l.others(start.Add(2*loadTime), "a"), 0)
}
