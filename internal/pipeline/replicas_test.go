package pipeline

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// replicaStages returns replicas of a zone, each of some stages with equal ranges.
func replicaStages(zone deployment.Zone, accelerator string, replicas, length int) []Stage {
	var stages []Stage
	for replica := range replicas {
		for i := range length {
			name := fmt.Sprintf("%s-%s-%d-%d", zone, accelerator, replica, i)
			stages = append(stages, Stage{
				ID: deployment.BackendID(name), Address: deployment.Address(name), Zone: zone, Accelerator: accelerators[accelerator],
				Layers: deployment.LayerRange{First: 80 * i / length, End: 80 * (i + 1) / length}, Slowdown: 1,
			})
		}
	}
	return stages
}

// TestLoadedReplicaIsAvoided guards against requests that crowd on the fast replica while
// another one is free.
func TestLoadedReplicaIsAvoided(t *testing.T) {
	engine := testEngine()
	stages := append(replicaStages("a", "a100s", 1, 5), replicaStages("a", "l4", 1, 10)...)
	path, ok := Find(engine, stages, "a")
	assert.Assert(t, ok)
	assert.Equal(t, len(path.Hops), 5)
	for i := range stages[:5] {
		stages[i].Requests = 150
	}
	path, ok = Find(engine, stages, "a")
	assert.Assert(t, ok)
	assert.Equal(t, len(path.Hops), 10, "the fast replica's memory is used up")
}

// TestFullZoneIsWaitedFor guards against paths over zones while a zone holds all layers and
// only lacks capacity for now.
func TestFullZoneIsWaitedFor(t *testing.T) {
	engine := testEngine()
	stages := append(replicaStages("a", "l4", 1, 10), replicaStages("b", "l4", 1, 8)[4:]...)
	stages[3].Full = true
	_, ok := Find(engine, stages, "a")
	assert.Assert(t, !ok)
	stages[3].Layers = deployment.LayerRange{}
	stages = append(stages, Stage{ID: "x", Address: "x", Zone: "b", Layers: deployment.LayerRange{First: 24, End: 40}, Accelerator: accelerators["l4"]})
	path, ok := Find(engine, stages, "a")
	assert.Assert(t, ok, "no zone holds all layers")
	assert.Equal(t, Check(engine, path.Hops), "")
	assert.Assert(t, ZoneCrossings(path, stages) > 0)
}

// TestStageIsUsedOnce guards against a request without a path because the cheapest sequence
// of stages returns to one.
func TestStageIsUsedOnce(t *testing.T) {
	engine := testEngine()
	stages := []Stage{
		{ID: "slow", Address: "slow", Zone: "a", Layers: deployment.LayerRange{First: 0, End: 80}, Accelerator: accelerators["l4"], Slowdown: 8},
		{ID: "fast", Address: "fast", Zone: "a", Layers: deployment.LayerRange{First: 20, End: 60}, Accelerator: accelerators["h100"], Slowdown: 1},
	}
	path, ok := Find(engine, stages, "a")
	assert.Assert(t, ok)
	assert.Equal(t, Check(engine, path.Hops), "")
}

// BenchmarkFind chooses a path among the stages of three zones.
func BenchmarkFind(b *testing.B) {
	engine := testEngine()
	for _, replicas := range []int{3, 20} {
		var stages []Stage
		for _, zone := range []deployment.Zone{"a", "b", "c"} {
			stages = append(stages, replicaStages(zone, "l4", replicas, 11)...)
		}
		b.Run(fmt.Sprint(len(stages)), func(b *testing.B) {
			for b.Loop() {
				Find(engine, stages, "a")
			}
		})
	}
}
