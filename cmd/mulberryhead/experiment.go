package main

import (
	"context"
	"os"
	"time"

	"mulberryhead.org/mulberryhead/internal/experiment"
)

type experimentCommand struct {
	Fleet fleetCommand `command:"fleet" description:"throughput of a mixed fleet against its bound and baselines"`
}

type fleetCommand struct {
	Runners   int           `long:"runners" default:"40" description:"runners of four kinds"`
	Sessions  int           `long:"sessions" default:"2400" description:"answers that run at once"`
	MaxTokens int           `long:"max-tokens" default:"64" description:"tokens of each answer"`
	Warmup    time.Duration `long:"warmup" default:"6s" description:"time before counting"`
	Duration  time.Duration `long:"duration" default:"10s" description:"time of counting"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the fleet and the random policy"`
}

// Execute runs the throughput experiment.
func (c *fleetCommand) Execute([]string) error {
	report, err := experiment.Fleet(context.Background(), experiment.FleetOptions{
		Runners: c.Runners, Sessions: c.Sessions, MaxTokens: c.MaxTokens, Warmup: c.Warmup, Duration: c.Duration, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	return report.WriteText(os.Stdout)
}
