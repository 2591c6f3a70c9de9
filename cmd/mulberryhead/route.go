package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"mulberryhead.org/mulberryhead/internal/router"
	"mulberryhead.org/mulberryhead/platform"
)

type routeCommand struct {
	MetricsPort      int           `long:"metrics-port" default:"9464" description:"port of the metrics"`
	ZoneShares       bool          `long:"zone-shares" description:"keep requests in their zone, and send a share of them to others where that pays, instead of the cheapest path over all zones"`
	ZoneCrossingCost time.Duration `long:"zone-crossing-cost" default:"5ms" description:"with --zone-shares, delay that a request must save for each megabyte that crosses to another zone, up to 10s"`
}

// maxZoneCrossingCost is the largest value of --zone-crossing-cost. Few requests may wait as long.
const maxZoneCrossingCost = 10 * time.Second

func (c *routeCommand) validate() error {
	if c.ZoneCrossingCost < 0 || c.ZoneCrossingCost > maxZoneCrossingCost {
		return &flags.Error{
			Type:    flags.ErrInvalidChoice,
			Message: fmt.Sprintf("invalid argument for flag `--zone-crossing-cost': %s is not between 0s and %s", c.ZoneCrossingCost, maxZoneCrossingCost),
		}
	}
	return nil
}

// Execute runs a router instance on the users' platform until SIGTERM or SIGINT.
func (c *routeCommand) Execute([]string) error {
	if err := c.validate(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return router.Run(ctx, router.Options{
		SettingsPath: platform.SettingsPath(), MetricsPort: c.MetricsPort, ZoneShares: c.ZoneShares, ZoneCrossingCost: c.ZoneCrossingCost, Output: os.Stdout,
	})
}

func isSettingsError(err error) bool {
	var settings *platform.SettingsError
	return errors.As(err, &settings)
}
