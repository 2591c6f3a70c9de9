package main

import (
	"context"
	"fmt"
	"os/signal"
	"runtime"
	"syscall"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/daemon"
)

// version is set by the linker for a release.
var version = "development"

type runCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file, TOML"`
}

// Execute runs an entry instance.
func (c *runCommand) Execute([]string) error {
	settings, err := daemon.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(settings.LogLevel)
	config.Sampling = nil
	logger, err := config.Build()
	if err != nil {
		return fmt.Errorf("set up logging: %w", err)
	}
	defer func() { _ = logger.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return daemon.New(settings, logger, printListening).Run(ctx)
}

// printListening tells whoever started the process which ports it took.
func printListening(role, address string) {
	fmt.Printf("listening %s %s\n", role, address)
}

type versionCommand struct{}

// Execute prints the version.
func (versionCommand) Execute([]string) error {
	_, err := fmt.Println("mulberryhead", version, runtime.Version())
	return err
}
