// Command mulberryhead-standin runs a small stand-in for one of the systems that
// mulberryhead connects to: the platform, a model engine or a plain service.
//
// Usage:
//
//	mulberryhead-standin platform --listen 127.0.0.1:7000
//	mulberryhead-standin engine --listen 127.0.0.1:7100 --id e1 --model m --model-version v1 --layers 12 --first 0 --end 6
//	mulberryhead-standin service --listen 127.0.0.1:7200
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/internal/standin"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	exitFailed = 1
	exitUsage  = 2
	exitCrash  = 3

	headerTimeout = 5 * time.Second
	drainTimeout  = 30 * time.Second
)

type listenOption struct {
	Listen string `long:"listen" required:"true" description:"address to serve on, HOST:PORT; port 0 takes a free one"`
}

// serve serves handler until SIGTERM or SIGINT, then calls beforeShutdown and waits up
// to drainTimeout for requests in flight.
func (o listenOption) serve(handler http.Handler, beforeShutdown func()) error {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", o.Listen, err)
	}
	fmt.Printf("listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	beforeShutdown()
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return server.Shutdown(drain)
}

type platformCommand struct {
	listenOption
	AppendsPerSecond float64       `long:"appends-per-second" default:"400" description:"limit of the log service"`
	WeightsPerSecond float64       `long:"weights-per-second" default:"2" description:"limit of the weight store"`
	Retention        time.Duration `long:"retention" default:"24h" description:"age at which the log drops records"`
}

// Execute runs the platform stand-in.
func (c *platformCommand) Execute([]string) error {
	platform := standin.NewPlatform(standin.PlatformConfig{
		AppendsPerSecond: c.AppendsPerSecond, WeightsPerSecond: c.WeightsPerSecond, Retention: c.Retention,
	})
	return c.serve(platform.Handler(), func() {})
}

type engineCommand struct {
	listenOption
	ID        string        `long:"id" required:"true" description:"id in the instance list"`
	Model     string        `long:"model" required:"true" description:"model whose layers it holds"`
	Version   string        `long:"model-version" required:"true" description:"version of the model at start"`
	Layers    int           `long:"layers" required:"true" description:"number of layers of the whole model"`
	First     int           `long:"first" description:"first layer held"`
	End       int           `long:"end" required:"true" description:"layer after the last one held"`
	BatchCost time.Duration `long:"batch-cost" default:"1ms" description:"time for each batch"`
	TokenCost time.Duration `long:"token-cost" default:"20us" description:"time for each position of a batch"`
	LinkDelay time.Duration `long:"link-delay" description:"delay added to each reply"`
	Refuse    bool          `long:"refuse-old-fence" description:"refuse orders with an old fencing number"`
	Platform  string        `long:"platform" description:"address of the weight store, HOST:PORT"`
}

// Execute runs the engine stand-in.
func (c *engineCommand) Execute([]string) error {
	engine := standin.NewEngine(standin.EngineConfig{
		ID: runner.ID(c.ID), Model: environment.ModelName(c.Model), Version: environment.ModelVersion(c.Version),
		Layers: c.Layers, Range: runner.LayerRange{First: c.First, End: c.End},
		BatchCost: c.BatchCost, TokenCost: c.TokenCost, LinkDelay: c.LinkDelay,
		RefuseOldFence: c.Refuse, PlatformAddress: c.Platform,
		Crash: crash,
	})
	return c.serve(engine.Handler(), engine.Leave)
}

type serviceCommand struct {
	listenOption
	SupportsIdempotencyKeys bool `long:"honours-keys" description:"answer a repeated idempotency key from the ledger"`
}

// Execute runs the plain service stand-in.
func (c *serviceCommand) Execute([]string) error {
	service := standin.NewService(standin.ServiceConfig{SupportsIdempotencyKeys: c.SupportsIdempotencyKeys, Crash: crash})
	return c.serve(service.Handler(), func() {})
}

// crash exits with a code of its own, so that a simulated crash can be told from a
// failure.
func crash() {
	os.Exit(exitCrash)
}

type commands struct {
	Platform platformCommand `command:"platform" description:"log service, instance list and weight store"`
	Engine   engineCommand   `command:"engine" description:"model engine that holds a range of layers"`
	Service  serviceCommand  `command:"service" description:"plain service with a ledger of what ran"`
}

func main() {
	_, err := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash).Parse()
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "mulberryhead-standin:", err)
		os.Exit(exitFailed)
	}
}
