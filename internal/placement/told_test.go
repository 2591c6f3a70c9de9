package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// TestToldLayersEndThePlanner guards against a process that ends on layers or memory that no server has,
// whoever told them.
func TestToldLayersEndThePlanner(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		engine := testEngine()
		var servers []Server
		for i := range rapid.IntRange(0, 30).Draw(t, "servers") {
			server := Server{
				ID: deployment.BackendID(fmt.Sprint("s", i)), Memory: deployment.Megabytes(rapid.SampledFrom([]float64{-1, 0, 14400, 21600, 72000, 1e12}).Draw(t, "memory")),
				Slots: rapid.IntRange(0, 200).Draw(t, "slots"), StepFactor: rapid.SampledFrom([]float64{0, 1, 16}).Draw(t, "factor"),
			}
			server.Layers.First = rapid.IntRange(-5, 100).Draw(t, "first")
			server.Layers.End = rapid.IntRange(-5, 100).Draw(t, "end")
			servers = append(servers, server)
		}
		for _, change := range Plan(engine, servers) {
			if change.Layers.First < 0 || change.Layers.End > engine.Layers {
				t.Fatalf("%s is to hold %v", change.ID, change.Layers)
			}
		}
	})
}
