package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"mulberryhead.org/mulberryhead/internal/router"
	"mulberryhead.org/mulberryhead/platform"
)

type routeCommand struct {
	MetricsPort int `long:"metrics-port" default:"9464" description:"port of the metrics"`
}

// Execute runs a router instance on the users' platform until SIGTERM or SIGINT.
func (c *routeCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return router.Run(ctx, router.Options{
		SettingsPath: platform.SettingsPath(), MetricsPort: c.MetricsPort, Output: os.Stdout,
	})
}

func isSettingsError(err error) bool {
	var settings *platform.SettingsError
	return errors.As(err, &settings)
}
