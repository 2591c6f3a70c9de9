package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// TestFreeCapacityIsThatOfTheScarcestLayers guards against capacity that is taken for free because
// some stages are, while no path has room.
func TestFreeCapacityIsThatOfTheScarcestLayers(t *testing.T) {
	now := time.Unix(1000, 0)
	stage := func(id deployment.BackendID, slots, first, end int) deployment.Backend {
		return deployment.Backend{
			ID: id, Address: deployment.Address(id), Service: "svc", Slots: slots, Accelerator: "h", Layers: deployment.LayerRange{First: first, End: end},
		}
	}
	// The memory for requests of a later stage is 100, of which a request takes 10 (5 for half of the layers).
	service := &deployment.Service{Name: "svc", Engine: &deployment.Engine{
		Layers: 4, KVBytesPerToken: 1e6, TypicalPromptTokens: 10, Accelerators: map[string]deployment.Accelerator{"h": {Memory: 100, StepFactor: 1}},
	}}
	f := NewFleet("")
	f.Replace(now, []deployment.Backend{stage("a", 9, 0, 2), stage("b", 3, 0, 2), stage("c", 0, 2, 4)})
	f.SetPeerLoads(now, "peer", StageLoads{"a": 3, "b": 3, "c": 6})
	free, inFlight := f.FreeCapacity(now, service)
	assert.Equal(t, free, 6) // of 9 + 3 slots
	assert.Equal(t, inFlight, 6)
	f.SetPeerLoads(now, "peer", StageLoads{"a": 6, "b": 3, "c": 18})
	free, _ = f.FreeCapacity(now, service)
	assert.Equal(t, free, 1) // of the memory of c, of which 0.92 is used at most
	f.SetPeerLoads(now, "peer", StageLoads{"a": 6, "b": 3, "c": 19})
	free, _ = f.FreeCapacity(now, service)
	assert.Equal(t, free, 0)
	f.MarkSuspect(now, "c")
	f.SetPeerLoads(now, "peer", StageLoads{})
	free, _ = f.FreeCapacity(now, service)
	assert.Equal(t, free, 0)
}
