// Command mulberryhead-demo runs two small deployments on loopback, one after the
// other: two instances of the router with model and plain backend servers, then
// three entry instances with engines and plain services. In each it shows one
// verified streamed answer and one booking, and then stops the processes that it
// started.
//
// Usage:
//
//	mulberryhead-demo --binaries bin
//	mulberryhead-demo --binaries bin --overhead --documents 20
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"mulberryhead.org/mulberryhead/internal/load"
	"mulberryhead.org/mulberryhead/internal/localcluster"
	"mulberryhead.org/mulberryhead/internal/operator"
)

const (
	exitFailed    = 1
	exitUsage     = 2
	demoTimeout   = 60 * time.Second
	demoMaxTokens = 24
)

type options struct {
	Binaries  string `long:"binaries" required:"true" description:"directory of the programs"`
	Overhead  bool   `long:"overhead" description:"also measure what an entry instance adds to each token and costs at rest"`
	Documents int    `long:"documents" description:"also measure how fast so many documents come into force"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(exitFailed)
	}
}

func run(o options) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	scratch, err := os.MkdirTemp("", "mulberryhead-demo")
	if err != nil {
		return fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	if err := platformDemo(ctx, o.Binaries, scratch); err != nil {
		return err
	}
	fmt.Println("starting a platform, six engines, two services and three entry instances in two zones")
	cluster, err := localcluster.Start(ctx, localcluster.TwoZones(o.Binaries, scratch))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, cluster.Stop()) }()
	if err := publish(ctx, cluster); err != nil {
		return err
	}
	if err := chat(ctx, cluster); err != nil {
		return err
	}
	if err := book(ctx, cluster); err != nil {
		return err
	}
	if o.Overhead {
		if err := measureOverhead(ctx, cluster); err != nil {
			return err
		}
		if err := measureIdle(ctx, cluster); err != nil {
			return err
		}
	}
	if o.Documents > 0 {
		if err := measureSpread(ctx, cluster, o.Documents); err != nil {
			return err
		}
	}
	fmt.Println("stopping")
	return nil
}

func publish(ctx context.Context, c *localcluster.Cluster) error {
	trial, err := c.Entries[0].Admin().Publish(ctx, operator.PublishRequest{
		Environment: localcluster.Environment, ID: uuid.New(), Body: localcluster.Document(localcluster.ModelVersion),
	})
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	fmt.Printf("published to trial through %s: version %d\n", c.Entries[0].Name, trial.Version)
	second := c.Entries[1]
	err = localcluster.Wait(ctx, "the trial document is applied on "+second.Name, func() bool { return hasApplied(ctx, second, 1) })
	if err != nil {
		return err
	}
	promoted, err := second.Admin().Promote(ctx, operator.PublishRequest{Environment: localcluster.Environment, ID: uuid.New()})
	if err != nil {
		return fmt.Errorf("promote: %w", err)
	}
	fmt.Printf("promoted through %s: version %d\n", second.Name, promoted.Version)
	for _, e := range c.Entries {
		err := localcluster.Wait(ctx, "the production document is applied on "+e.Name, func() bool { return hasApplied(ctx, e, 2) })
		if err != nil {
			return err
		}
	}
	return nil
}

// hasApplied reports whether an instance has applied at least count documents and
// knows at least one runner.
func hasApplied(ctx context.Context, e *localcluster.Entry, count int) bool {
	status, err := e.Admin().Status(ctx)
	if err != nil {
		return false
	}
	applied := 0
	for _, d := range status.Documents {
		if d.Applied {
			applied++
		}
	}
	return applied >= count && len(status.Runners) > 0
}

func chat(ctx context.Context, c *localcluster.Cluster) error {
	var callers []string
	for _, e := range c.Entries {
		callers = append(callers, e.Callers)
	}
	// The instances may not have received the runners' first reports yet.
	answer, err := load.Ask(ctx, load.Options{
		Callers: callers, APIKey: localcluster.APIKey, Model: localcluster.Model,
		ModelVersion: localcluster.ModelVersion, Layers: localcluster.Layers, MaxTokens: demoMaxTokens,
	}, "why does my hinge joint look dull and grainy")
	if err != nil {
		return fmt.Errorf("chat: %w", err)
	}
	fmt.Printf("streamed answer, %d tokens, every one verified: %s\n", demoMaxTokens, answer)
	return nil
}

func book(ctx context.Context, c *localcluster.Cluster) error {
	key, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("generate idempotency key: %w", err)
	}
	for _, e := range []*localcluster.Entry{c.Entries[0], c.Entries[2]} {
		outcome, body, err := post(ctx, e.Callers, key.String())
		if err != nil {
			return fmt.Errorf("book through %s: %w", e.Name, err)
		}
		fmt.Printf("booking %s through %s: %s %s\n", key, e.Name, outcome, bytes.TrimSpace(body))
		if outcome != "done" {
			return fmt.Errorf("booking through %s ended as %q", e.Name, outcome)
		}
	}
	ledger, err := c.Ledger(ctx)
	if err != nil {
		return fmt.Errorf("read the services' ledger: %w", err)
	}
	fmt.Printf("the services' ledger holds it %d time(s)\n", len(ledger))
	if len(ledger) != 1 {
		return fmt.Errorf("the ledger holds %d bookings, want 1", len(ledger))
	}
	return nil
}

func post(ctx context.Context, address, key string) (outcome string, body []byte, err error) {
	data, err := json.Marshal(map[string]string{"batch": "hinges-17"})
	if err != nil {
		return "", nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/services/"+localcluster.ServiceName+"/bookings", bytes.NewReader(data))
	if err != nil {
		return "", nil, err
	}
	request.Header.Set("Authorization", "Bearer "+localcluster.APIKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return response.Header.Get("Mulberryhead-Outcome"), body, err
}
