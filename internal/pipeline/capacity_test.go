package pipeline

import (
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// TestCapacityOfZone guards against a zone that offers more than the layer with the least room can
// take, or offers anything without all layers or without a first stage within reach.
func TestCapacityOfZone(t *testing.T) {
	first := Stage{ID: "a1", Layers: deployment.LayerRange{End: 40}, Slots: 100, Requests: 30}
	second := Stage{ID: "a2", Layers: deployment.LayerRange{First: 40, End: 80}, Accelerator: accelerators["h100"], Requests: 2}
	engine := testEngine()
	memory := 0.92*(72000-40*1750)/(engine.TypicalTokens()*590000/2/1e6) - 2 // by hand
	for name, c := range map[string]struct {
		stages []Stage
		limit  float64
		want   Capacity
	}{
		"slots":         {[]Stage{first, {ID: "a2", Layers: second.Layers}}, 1, Capacity{Complete: true, Room: 70, Running: 30}},
		"part of slots": {[]Stage{first, {ID: "a2", Layers: second.Layers}}, 0.9, Capacity{Complete: true, Room: 60, Running: 30}},
		"memory":        {[]Stage{first, second}, 1, Capacity{Complete: true, Room: memory, Running: 30}},
		"full":          {[]Stage{first, {ID: "a2", Layers: second.Layers, Full: true}}, 1, Capacity{Complete: true, Running: 30}},
		"missing":       {[]Stage{first}, 1, Capacity{Running: 30}},
		"out of reach":  {[]Stage{{Layers: first.Layers, Requests: 30, Unreachable: true}, second}, 1, Capacity{Running: 30}},
	} {
		assert.DeepEqual(t, CapacityOf(engine, c.stages, c.limit), c.want)
		t.Log(name)
	}
}
