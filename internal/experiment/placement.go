package experiment

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/placement"
)

// PlacementConfig describes the cards of a deployment by zone.
type PlacementConfig struct {
	Zones []ZoneCards
}

// ZoneCards is how many cards of each kind a zone has.
type ZoneCards struct {
	Zone  deployment.Zone
	Cards map[string]int
}

// The model of the sample deployment.
const (
	sampleLayers     = 80
	sampleLayerSize  = 1750   // megabytes
	sampleKVBytes    = 590000 // for each token over all layers
	sampleActivation = 29500  // bytes for each token and border
	samplePipe       = 11e9 / 8
	samplePrompt     = 772 // tokens
	sampleAnswer     = 174 // tokens
	// longestToken is the time of a token at which a pause of 200 ms between events
	// of two tokens is reached.
	longestToken = 100 * time.Millisecond
)

func sampleEngine() *deployment.Engine {
	return &deployment.Engine{
		Layers: sampleLayers, LayerSize: sampleLayerSize, KVBytesPerToken: sampleKVBytes, Stride: 2,
		StepTime: 850 * time.Microsecond, StepPerRequest: 3820 * time.Nanosecond, StepPerKContext: 5120 * time.Nanosecond,
		TypicalPromptTokens: samplePrompt, TypicalOutputTokens: sampleAnswer,
		Accelerators: map[string]deployment.Accelerator{
			"h100":  {Memory: 72000, StepFactor: 1.4, ReadFactor: 1},
			"a100s": {Memory: 36000, StepFactor: 3.1, ReadFactor: 3.2},
			"l4":    {Memory: 21600, StepFactor: 16, ReadFactor: 8.2},
			"t4":    {Memory: 14400, StepFactor: 15, ReadFactor: 15},
		},
	}
}

// SamplePlacement is the deployment of docs/CAPACITY.md: three zones with cards of
// four kinds.
func SamplePlacement() PlacementConfig {
	return PlacementConfig{Zones: []ZoneCards{
		{Zone: "first", Cards: map[string]int{"h100": 1, "a100s": 1, "l4": 5, "t4": 7}},
		{Zone: "second", Cards: map[string]int{"a100s": 1, "l4": 8, "t4": 3}},
		{Zone: "third", Cards: map[string]int{"a100s": 2, "l4": 4, "t4": 7}},
	}}
}

// Placement prints, for each zone, what the plan of package placement carries by the
// model, beside a bound and two baselines.
func Placement(out io.Writer, config PlacementConfig) error {
	engine := sampleEngine()
	for _, zone := range config.Zones {
		servers := cards(engine, zone)
		planned := stagesOf(engine, placement.Plan(engine, servers))
		equal := stagesOf(engine, equalLayers(engine, servers))
		if err := printRows(out, zone.Zone, engine, planned, equal, servers); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "blind to zones: one replica over all zones, %d borders in a path: the pipe carries %.1f requests/s in all\n",
		len(config.Zones)-1, samplePipe/(samplePrompt+sampleAnswer)/sampleActivation/float64(len(config.Zones)-1))
	return err
}

func printRows(out io.Writer, zone deployment.Zone, engine *deployment.Engine, planned, equal []pipeline.Stage, servers []placement.Server) error {
	for _, row := range []struct {
		name string
		load carried
	}{
		{"bound: all memory in proportion, no waste", boundOf(engine, servers)},
		{"this plan", carries(engine, planned)},
		{"equal layers for each card", carries(engine, equal)},
	} {
		if _, err := fmt.Fprintf(out, "%-8s %-42s %5.1f requests/s, %4d at once, token %s\n", zone, row.name,
			row.load.rate, row.load.requests, row.load.token.Round(100*time.Microsecond)); err != nil {
			return err
		}
	}
	return nil
}

// cards returns a zone's cards, none of which holds layers.
func cards(engine *deployment.Engine, zone ZoneCards) []placement.Server {
	var kinds []string
	for kind := range zone.Cards {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	var servers []placement.Server
	for _, kind := range kinds {
		for i := range zone.Cards[kind] {
			servers = append(servers, placement.Server{
				ID: deployment.BackendID(fmt.Sprintf("%s-%d", kind, i)), Memory: engine.Accelerators[kind].Memory,
			})
		}
	}
	return servers
}

func accelerator(engine *deployment.Engine, id deployment.BackendID) deployment.Accelerator {
	kind, _, _ := strings.Cut(string(id), "-")
	return engine.Accelerators[kind]
}

// stagesOf returns the stages of a placement.
func stagesOf(engine *deployment.Engine, changes []placement.Assignment) []pipeline.Stage {
	var stages []pipeline.Stage
	for _, change := range changes {
		stages = append(stages, pipeline.Stage{
			ID: change.ID, Address: deployment.Address(change.ID), Layers: change.Layers, Accelerator: accelerator(engine, change.ID),
		})
	}
	return stages
}

// equalLayers gives each card the same number of layers, as far as they fit.
func equalLayers(engine *deployment.Engine, servers []placement.Server) []placement.Assignment {
	var changes []placement.Assignment
	each := (engine.Layers + len(servers) - 1) / len(servers)
	for first := 0; first < engine.Layers; first += each {
		changes = append(changes, placement.Assignment{
			ID: servers[len(changes)].ID, Layers: deployment.LayerRange{First: first, End: min(first+each, engine.Layers)},
		})
	}
	return changes
}

// carried is the load that a replica bears by the model.
type carried struct {
	rate     float64 // requests per second
	requests int     // at once
	token    time.Duration
}

// hop is the time of a token from one card to the next, within a zone.
const hop = 150 * time.Microsecond

// carries returns the load with as many requests at once as memory and the longest
// time of a token allow.
func carries(engine *deployment.Engine, stages []pipeline.Stage) carried {
	requests := math.MaxInt
	for _, stage := range stages {
		requests = min(requests, atOnce(engine, stage.Accelerator.Memory, stage.Layers.Len()))
	}
	for ; requests > 0; requests-- {
		if token := tokenTime(engine, stages, requests); token <= longestToken {
			return carried{rate: float64(requests) / (sampleAnswer * token.Seconds()), requests: requests, token: token}
		}
	}
	return carried{}
}

// atOnce is how many requests the memory beside some layers holds.
func atOnce(engine *deployment.Engine, memory deployment.Megabytes, layers int) int {
	free := (float64(memory) - float64(layers)*float64(engine.LayerSize)) * 1e6
	perRequest := engine.KVBytesPerToken * float64(layers) / float64(engine.Layers) * (samplePrompt + sampleAnswer/2)
	return max(0, int(free/perRequest))
}

func tokenTime(engine *deployment.Engine, stages []pipeline.Stage, requests int) time.Duration {
	total := time.Duration(len(stages)) * hop
	for _, stage := range stages {
		stage.Requests = requests
		total += pipeline.PredictedStepTime(engine, stage, stage.Layers.Len())
	}
	return total
}

// boundOf takes the memory of all cards as one, and the time of the layers in
// proportion to it without any hop.
func boundOf(engine *deployment.Engine, servers []placement.Server) carried {
	memory, factor := deployment.Megabytes(0), 0.0
	for _, server := range servers {
		memory += server.Memory
		factor += accelerator(engine, server.ID).StepFactor * float64(server.Memory)
	}
	whole := pipeline.Stage{
		Accelerator: deployment.Accelerator{Memory: memory, StepFactor: factor / float64(memory)},
		Layers:      deployment.LayerRange{First: 0, End: engine.Layers},
	}
	bound := carries(engine, []pipeline.Stage{whole})
	return bound
}
