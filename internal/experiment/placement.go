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

// PlacementConfig lists the accelerators of a deployment by zone.
type PlacementConfig struct {
	Zones []ZoneAccelerators
}

// ZoneAccelerators is the number of accelerators of each kind in a zone.
type ZoneAccelerators struct {
	Zone         deployment.Zone
	Accelerators map[string]int
}

// The model of the sample deployment and its traffic.
const (
	sampleLayers                 = 80
	sampleLayerMegabytes         = 1750
	sampleKVBytesPerToken        = 590000   // per token, over all layers
	sampleActivationBytes        = 29500    // bytes per token and zone crossing
	sampleZoneLinkBytesPerSecond = 11e9 / 8 // 11 Gbit/s
	samplePromptTokens           = 772
	sampleOutputTokens           = 174
	// maxTokenTime is the time per token at which the gap between two events reaches
	// 200 ms, as each event carries two tokens.
	maxTokenTime = 100 * time.Millisecond
)

func sampleEngine() *deployment.Engine {
	return &deployment.Engine{
		Layers: sampleLayers, LayerSize: sampleLayerMegabytes, KVBytesPerToken: sampleKVBytesPerToken, Stride: 2,
		StepTime: 850 * time.Microsecond, StepPerRequest: 3820 * time.Nanosecond, StepPerKContext: 5120 * time.Nanosecond,
		TypicalPromptTokens: samplePromptTokens, TypicalOutputTokens: sampleOutputTokens,
		Accelerators: map[string]deployment.Accelerator{
			"h100":  {Memory: 72000, StepFactor: 1.4, ReadFactor: 1},
			"a100s": {Memory: 36000, StepFactor: 3.1, ReadFactor: 3.2},
			"l4":    {Memory: 21600, StepFactor: 16, ReadFactor: 8.2},
			"t4":    {Memory: 14400, StepFactor: 15, ReadFactor: 15},
		},
	}
}

// SamplePlacement returns the deployment of docs/CAPACITY.md: three zones with
// accelerators of four kinds.
func SamplePlacement() PlacementConfig {
	return PlacementConfig{Zones: []ZoneAccelerators{
		{Zone: "first", Accelerators: map[string]int{"h100": 1, "a100s": 1, "l4": 5, "t4": 7}},
		{Zone: "second", Accelerators: map[string]int{"a100s": 1, "l4": 8, "t4": 3}},
		{Zone: "third", Accelerators: map[string]int{"a100s": 2, "l4": 4, "t4": 7}},
	}}
}

// Placement prints, for each zone, the load that the plan of package placement
// carries according to the cost model, next to an upper bound and the baseline of
// equal ranges. A last line gives the second baseline: one replica placed without
// regard to zones, limited by the link between them.
func Placement(out io.Writer, config PlacementConfig) error {
	engine := sampleEngine()
	for _, zone := range config.Zones {
		servers := serversOf(engine, zone)
		planned := stagesOf(engine, placement.Plan(engine, servers))
		equal := stagesOf(engine, equalLayers(engine, servers))
		if err := printRows(out, zone.Zone, engine, planned, equal, servers); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "blind to zones: one replica over all zones, %d borders in a path: the pipe carries %.1f requests/s in all\n",
		len(config.Zones)-1, sampleZoneLinkBytesPerSecond/(samplePromptTokens+sampleOutputTokens)/sampleActivationBytes/float64(len(config.Zones)-1))
	return err
}

func printRows(out io.Writer, zone deployment.Zone, engine *deployment.Engine, planned, equal []pipeline.Stage, servers []placement.Server) error {
	for _, row := range []struct {
		name string
		load replicaLoad
	}{
		{"bound: all memory in proportion, no waste", loadBound(engine, servers)},
		{"this plan", maxLoad(engine, planned)},
		{"equal layers for each card", maxLoad(engine, equal)},
	} {
		if _, err := fmt.Fprintf(out, "%-8s %-42s %5.1f requests/s, %4d at once, token %s\n", zone, row.name,
			row.load.requestsPerSecond, row.load.requests, row.load.token.Round(100*time.Microsecond)); err != nil {
			return err
		}
	}
	return nil
}

// serversOf returns one backend server per accelerator of a zone, sorted by kind and
// without layers.
func serversOf(engine *deployment.Engine, zone ZoneAccelerators) []placement.Server {
	var kinds []string
	for kind := range zone.Accelerators {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	var servers []placement.Server
	for _, kind := range kinds {
		for i := range zone.Accelerators[kind] {
			servers = append(servers, placement.Server{
				ID: deployment.BackendID(fmt.Sprintf("%s-%d", kind, i)), Memory: engine.Accelerators[kind].Memory,
				StepFactor: engine.Accelerators[kind].StepFactor,
			})
		}
	}
	return servers
}

// accelerator returns the accelerator of a backend server by the kind that its ID
// starts with.
func accelerator(engine *deployment.Engine, id deployment.BackendID) deployment.Accelerator {
	return engine.Accelerators[cardName(id)]
}

func cardName(id deployment.BackendID) string {
	kind, _, _ := strings.Cut(string(id), "-")
	return kind
}

// stagesOf returns the pipeline stages of a placement.
func stagesOf(engine *deployment.Engine, assignments []placement.Assignment) []pipeline.Stage {
	var stages []pipeline.Stage
	for _, assignment := range assignments {
		stages = append(stages, pipeline.Stage{
			ID: assignment.ID, Address: deployment.Address(assignment.ID), Layers: assignment.Layers, Accelerator: accelerator(engine, assignment.ID),
		})
	}
	return stages
}

// equalLayers divides the layers into ranges of the same length, at most one per
// backend server, without regard to memory. The last range may be shorter, and the last
// servers may get none.
func equalLayers(engine *deployment.Engine, servers []placement.Server) []placement.Assignment {
	var assignments []placement.Assignment
	layersPerServer := (engine.Layers + len(servers) - 1) / len(servers)
	for first := 0; first < engine.Layers; first += layersPerServer {
		assignments = append(assignments, placement.Assignment{
			ID: servers[len(assignments)].ID, Layers: deployment.LayerRange{First: first, End: min(first+layersPerServer, engine.Layers)},
		})
	}
	return assignments
}

// replicaLoad is the load that a replica carries according to the cost model.
type replicaLoad struct {
	requestsPerSecond float64
	requests          int           // concurrent
	token             time.Duration // time per token
}

// maxLoad returns the load at the largest number of concurrent requests that memory
// and maxTokenTime allow, or the zero value if not even one request fits.
func maxLoad(engine *deployment.Engine, stages []pipeline.Stage) replicaLoad {
	requests := math.MaxInt
	for _, stage := range stages {
		requests = min(requests, maxConcurrentRequests(engine, stage.Accelerator.Memory, stage.Layers.Len()))
	}
	for ; requests > 0; requests-- {
		if token := tokenTime(engine, stages, requests); token <= maxTokenTime {
			return replicaLoad{requestsPerSecond: float64(requests) / (sampleOutputTokens * token.Seconds()), requests: requests, token: token}
		}
	}
	return replicaLoad{}
}

// maxConcurrentRequests returns how many requests of average length, with half of
// their output generated, fit into the memory that the layers leave free.
func maxConcurrentRequests(engine *deployment.Engine, memory deployment.Megabytes, layers int) int {
	free := (float64(memory) - float64(layers)*float64(engine.LayerSize)) * 1e6
	perRequest := engine.KVBytesPerToken * float64(layers) / float64(engine.Layers) * (samplePromptTokens + sampleOutputTokens/2)
	return max(0, int(free/perRequest))
}

// tokenTime returns the time per token through all stages, each processing the given
// number of concurrent requests.
func tokenTime(engine *deployment.Engine, stages []pipeline.Stage, requests int) time.Duration {
	total := time.Duration(len(stages)) * pipeline.HopTime
	for _, stage := range stages {
		stage.Requests = requests
		total += pipeline.PredictedStepTime(engine, stage, stage.Layers.Len())
	}
	return total
}

// loadBound returns the load of a single stage that has the memory of all backend
// servers and their step factors averaged by memory. It includes the network
// time of one hop.
func loadBound(engine *deployment.Engine, servers []placement.Server) replicaLoad {
	memory, factor := deployment.Megabytes(0), 0.0
	for _, server := range servers {
		memory += server.Memory
		factor += accelerator(engine, server.ID).StepFactor * float64(server.Memory)
	}
	combined := pipeline.Stage{
		Accelerator: deployment.Accelerator{Memory: memory, StepFactor: factor / float64(memory)},
		Layers:      deployment.LayerRange{First: 0, End: engine.Layers},
	}
	bound := maxLoad(engine, []pipeline.Stage{combined})
	return bound
}
