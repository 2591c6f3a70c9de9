package main

import (
	"context"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"mulberryhead.org/mulberryhead/internal/experiment"
	"mulberryhead.org/mulberryhead/internal/peer"
)

type experimentCommand struct {
	Capacity  capacityCommand  `command:"capacity" description:"state and processor time of each mechanism at growing sizes"`
	Batching  batchingCommand  `command:"batching" description:"calls that run at most once, with one claim for each append and with many"`
	Spread    spreadCommand    `command:"spread" description:"bytes, processor time and spread of documents in meshes of entry instances"`
	Placement placementCommand `command:"placement" description:"requests that a zone's cards carry by the model, against a bound and baselines"`
	ZoneLoad  zoneLoadCommand  `command:"zone-load" description:"streams that large zones answer in time by the model, with the deciders of route"`
	Fleet     fleetCommand     `command:"fleet" description:"throughput of a mixed fleet against its bound and baselines"`
}

type placementCommand struct{}

// Execute runs the placement experiment on the sample deployment.
func (placementCommand) Execute([]string) error {
	return experiment.Placement(os.Stdout, experiment.SamplePlacement())
}

type zoneLoadCommand struct{}

// Execute plays the zones of the grown sample deployment.
func (zoneLoadCommand) Execute([]string) error {
	return experiment.ZoneLoads(os.Stdout, experiment.GrownZoneLoads())
}

// fleetCommand runs the throughput experiment. Each of the Pools stands for one
// entry instance.
type fleetCommand struct {
	Runners   int           `long:"runners" default:"40" description:"runners of four kinds"`
	Pools     int           `long:"pools" default:"8" description:"entry instances that share the fleet, each with its own view"`
	Sessions  int           `long:"sessions" default:"4800" description:"answers that run at once; saturation takes about twice the batches of all runners"`
	MaxTokens int           `long:"max-tokens" default:"64" description:"tokens of each answer"`
	Warmup    time.Duration `long:"warmup" default:"6s" description:"time before counting"`
	Duration  time.Duration `long:"duration" default:"10s" description:"time of counting"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the fleet and the random policy"`
}

// Execute runs the throughput experiment.
func (c *fleetCommand) Execute([]string) error {
	report, err := experiment.Fleet(context.Background(), experiment.FleetOptions{
		Runners: c.Runners, Pools: max(c.Pools, 1), Sessions: c.Sessions, MaxTokens: c.MaxTokens, Warmup: c.Warmup, Duration: c.Duration, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	return report.WriteText(os.Stdout)
}

type batchingCommand struct {
	Callers     int           `long:"callers" default:"200" description:"calls under way at once"`
	Duration    time.Duration `long:"duration" default:"5s" description:"how long calls are made"`
	Appends     float64       `long:"appends-per-second" default:"400" description:"limit of the log"`
	AppendDelay time.Duration `long:"append-delay" default:"2ms" description:"time the log takes for an append"`
}

// Execute runs the batching experiment.
func (c *batchingCommand) Execute([]string) error {
	report, err := experiment.Batching(context.Background(), experiment.BatchingOptions{
		Callers: c.Callers, Duration: c.Duration, AppendsPerSecond: c.Appends, AppendDelay: c.AppendDelay,
	})
	if err != nil {
		return err
	}
	return report.WriteText(os.Stdout)
}

type spreadCommand struct {
	Instances     []int         `long:"instances" default:"10" default:"40" default:"100" description:"sizes to run"`
	Zones         int           `long:"zones" default:"8" description:"availability zones"`
	Topology      []string      `long:"topology" default:"zone-mesh" description:"zone-mesh, full-mesh or random-view; may be repeated"`
	Runners       int           `long:"runners" default:"2" description:"runners that each instance reports on"`
	Quiet         time.Duration `long:"quiet" default:"10s" description:"how long the mesh is measured at rest"`
	Versions      int           `long:"versions" default:"20" description:"documents to spread"`
	DocumentBytes int           `long:"document-bytes" default:"2000" description:"size of each document"`
}

// randomViewSize is the number of links that each instance dials in the random-view
// topology.
const randomViewSize = 5

// Execute runs the mesh experiment for each size and topology.
func (c *spreadCommand) Execute([]string) error {
	for _, name := range c.Topology {
		topology, ok := map[string]peer.Topology{
			"zone-mesh": peer.ZoneMesh{}, "full-mesh": peer.FullMesh{}, "random-view": peer.RandomView{Size: randomViewSize},
		}[name]
		if !ok {
			return &flags.Error{Type: flags.ErrInvalidChoice, Message: "unknown topology " + name}
		}
		for _, instances := range c.Instances {
			report, err := experiment.Spread(context.Background(), experiment.SpreadOptions{
				Instances: instances, Zones: c.Zones, Topology: topology, RunnersPerInstance: c.Runners,
				Quiet: c.Quiet, Versions: c.Versions, DocumentBytes: c.DocumentBytes,
			})
			if err != nil {
				return err
			}
			if err := report.WriteText(os.Stdout); err != nil {
				return err
			}
		}
	}
	return nil
}

type capacityCommand struct{}

// Execute measures how cost grows with size, the figures behind docs/CAPACITY.md.
func (capacityCommand) Execute([]string) error {
	return experiment.Capacity(context.Background()).WriteText(os.Stdout)
}
