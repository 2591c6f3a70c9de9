package backend

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

var (
	plainService = deployment.Service{Name: "plain"}
	modelService = deployment.Service{Name: "model", Engine: &deployment.Engine{Layers: 80, Accelerators: map[string]deployment.Accelerator{"l4": {}}}}
)

// TestEntryOfAnotherWriterTakesTheAddress guards against sound servers that get no requests, as an entry
// of another writer names their address, and against servers of a service that comes later.
func TestEntryOfAnotherWriterTakesTheAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	sound := deployment.Backend{ID: "a", Service: "plain", Address: "1:1", Slots: 1, StartedAt: time.Unix(900, 0)}
	others := map[string]deployment.Backend{
		"service that is not named": {ID: "x", Service: "other", Address: "1:1", Slots: 1, StartedAt: time.Unix(950, 0)},
		"kind of no accelerator":    {ID: "x", Service: "model", Address: "1:1", Slots: 1, StartedAt: time.Unix(950, 0), Accelerator: "y"},
		"layers beyond the model": {
			ID: "x", Service: "model", Address: "1:1", Slots: 1, StartedAt: time.Unix(950, 0), Accelerator: "l4", Layers: deployment.LayerRange{First: 80, End: 96},
		},
	}
	for name, other := range others {
		for _, order := range [][]deployment.Backend{{sound, other}, {other, sound}} {
			t.Run(name, func(t *testing.T) {
				f := NewFleet("z")
				f.AddServices(nil)
				f.Replace(now, order)
				f.AddServices([]deployment.Service{plainService, modelService})
				f.Put(other)
				f.Put(sound)
				_, ok := f.Pick(now, &plainService, "z", nil)
				assert.Check(t, ok)
				var entryError *EntryError
				assert.Check(t, errors.As(f.Check(other), &entryError) && f.Check(sound) == nil)
				if other.Service == "other" {
					f.AddServices([]deployment.Service{plainService, {Name: "other"}})
					_, ok = f.Pick(now, &deployment.Service{Name: "other"}, "z", nil)
					assert.Check(t, ok, "its service is named now")
				}
			})
		}
	}
}

// TestReportOfLayersBeyondTheModel guards against layers that a server or a peer tells and no model has.
func TestReportOfLayersBeyondTheModel(t *testing.T) {
	f := NewFleet("z")
	f.AddServices([]deployment.Service{modelService})
	layers := deployment.LayerRange{First: 0, End: 40}
	f.Put(deployment.Backend{ID: "a", Service: "model", Address: "1:1", Slots: 1, Accelerator: "l4", Layers: layers})
	f.SetLayers("a", deployment.LayerRange{First: 70, End: 96})
	server, _ := f.ServerAt("1:1")
	assert.Equal(t, server.Layers, layers)
}
