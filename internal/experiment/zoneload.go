package experiment

import (
	"fmt"
	"io"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// ZoneLoadConfig is an availability zone under a steady load of streams.
type ZoneLoadConfig struct {
	Name           string
	Engine         *deployment.Engine
	Zone           ZoneAccelerators
	Instances      int
	Slots          int     // of each backend server, as the first stage
	QueueLength    int     // of each backend server, beyond its slots
	ReadTokens     float64 // prompt tokens that a read factor of 1 reads in a second
	Requests       float64 // per second
	TargetLatency  time.Duration
	TargetEventGap time.Duration
	Duration       time.Duration
	Seed           uint64
}

// ZoneLoadResult counts the requests of a ZoneLoad by how they ended. Requests of the last
// seconds, which had no time to end, are left out.
type ZoneLoadResult struct {
	Requests    int
	InTime      int // complete, with the first event and all later ones within their targets
	Late        int
	Rejected    int
	FirstStages int           // that ran requests
	MedianHops  int           // of the paths
	FirstEvent  time.Duration // median time to the first event
	Rejections  int           // by backend servers
}

// InTimeShare is the share of the requests that were answered within their targets.
func (r ZoneLoadResult) InTimeShare() float64 {
	return float64(r.InTime) / float64(max(1, r.Requests))
}

// The grown sample deployment: a model that needs less memory for a token than that of the
// small one, more cards in each zone, and more requests.
const (
	grownKVBytesPerToken = 393000
	grownSlots           = 192
	grownQueueLength     = 96
	grownReadTokens      = 294000
	grownPromptTokens    = 776
	grownOutputTokens    = 171
)

func grownEngine() *deployment.Engine {
	engine := sampleEngine()
	engine.KVBytesPerToken = grownKVBytesPerToken
	engine.Stride = 3
	engine.StepPerRequest = 2550 * time.Nanosecond
	engine.StepPerKContext = 3410 * time.Nanosecond
	engine.TypicalPromptTokens = grownPromptTokens
	engine.TypicalOutputTokens = grownOutputTokens
	return engine
}

// GrownZoneLoads returns the zones of the grown sample deployment, each with its share of
// the streams.
func GrownZoneLoads() []ZoneLoadConfig {
	var configs []ZoneLoadConfig
	for _, zone := range []struct {
		name         string
		accelerators map[string]int
		requests     float64
		instances    int
	}{
		{name: "first", accelerators: map[string]int{"h100": 1, "a100s": 2, "l4": 13, "t4": 18}, requests: 66, instances: 32},
		{name: "second", accelerators: map[string]int{"h100": 1, "a100s": 2, "l4": 20, "t4": 9}, requests: 70, instances: 28},
		{name: "third", accelerators: map[string]int{"a100s": 4, "l4": 11, "t4": 17}, requests: 89, instances: 28},
	} {
		configs = append(configs, ZoneLoadConfig{
			Name: zone.name, Engine: grownEngine(), Zone: ZoneAccelerators{Zone: deployment.Zone(zone.name), Accelerators: zone.accelerators},
			Instances: zone.instances, Slots: grownSlots, QueueLength: grownQueueLength, ReadTokens: grownReadTokens, Requests: zone.requests,
			TargetLatency: 500 * time.Millisecond, TargetEventGap: 250 * time.Millisecond, Duration: 20 * time.Second, Seed: 1,
		})
	}
	return configs
}

// ZoneLoads prints the result of each configuration.
func ZoneLoads(out io.Writer, configs []ZoneLoadConfig) error {
	for _, config := range configs {
		r := ZoneLoad(config)
		if _, err := fmt.Fprintf(out, "%-8s %5.1f requests/s: %4.1f %% in time, %d late, %d rejected; %d first stages, %d hops, first event %s, %d rejections by backend servers\n",
			config.Name, config.Requests, 100*r.InTimeShare(), r.Late, r.Rejected, r.FirstStages, r.MedianHops, r.FirstEvent.Round(time.Millisecond), r.Rejections); err != nil {
			return err
		}
	}
	return nil
}

const (
	zoneLoadTick     = 5 * time.Millisecond
	zoneLoadDispatch = 20 * time.Millisecond  // between checks for capacity
	zoneLoadReport   = 400 * time.Millisecond // between loads that instances tell one another
	// zoneLoadTail is the last part of the run, whose requests have no time to end.
	zoneLoadTail = 5 * time.Second
	// clientPatience is how long a request may wait at its instance.
	clientPatience = 1800 * time.Millisecond
)

// ZoneLoad plays requests on one zone: backend servers by a model of tokens, memory and
// slots, and instances that decide by placement, backend, pipeline and admission. The
// network takes no time beyond that of a hop. Reading a prompt does not delay the tokens of
// other requests in the model. The result depends on the configuration only.
func ZoneLoad(config ZoneLoadConfig) ZoneLoadResult {
	s := newZoneSimulation(config)
	for elapsed := time.Duration(0); elapsed < config.Duration; elapsed += zoneLoadTick {
		s.now = s.start.Add(elapsed)
		s.arrive()
		s.advance()
		if elapsed%zoneLoadDispatch == 0 {
			s.dispatch()
		}
		if elapsed%zoneLoadReport == 0 {
			s.report()
		}
	}
	return s.result()
}
