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

// version is the version that the command prints. Release builds set it with the
// linker's -X flag.
var version = "development"

type runCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file, TOML"`
}

// Execute runs an entry instance until SIGTERM or SIGINT.
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

// printListening prints the bound address of a listener, so that the parent process
// learns the port when port 0 was configured.
func printListening(role, address string) {
	fmt.Printf("listening %s %s\n", role, address)
}

type versionCommand struct{}

// Execute prints the version.
func (versionCommand) Execute([]string) error {
	_, err := fmt.Println("mulberryhead", version, runtime.Version())
	return err
}
