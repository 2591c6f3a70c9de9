// Package experiment measures or models the decisions and costs of the router, and
// compares decisions with upper bounds and baselines in the same run. Runners, the
// log service and peers run in the same process.
//
// Usage: run an experiment and print its report:
//
//	report, err := experiment.Fleet(ctx, experiment.FleetOptions{...})
//	if err != nil {
//		return err
//	}
//	return report.WriteText(os.Stdout)
//
// Batching and Spread have the same form, and Capacity returns no error. Placement
// evaluates a cost model and prints to its writer.
package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/internal/standin"
)

const (
	fleetLayers    = 12
	fleetStages    = 3
	fleetModel     = "m"
	fleetVersion   = "v1"
	fleetZone      = "zone-a"
	maxEngineBatch = 64 // batch size limit of standin.Engine
	headerTimeout  = 5 * time.Second
	pollInterval   = time.Second
)

// acceleratorKind describes the speed of an accelerator and the delay of its link.
type acceleratorKind struct {
	batchCost time.Duration
	tokenCost time.Duration
	linkDelay time.Duration
}

// acceleratorKinds differ by a factor of about 8 in throughput and 100 in link delay.
var acceleratorKinds = []acceleratorKind{
	{batchCost: 20 * time.Millisecond, tokenCost: 200 * time.Microsecond, linkDelay: 100 * time.Microsecond},
	{batchCost: 40 * time.Millisecond, tokenCost: 400 * time.Microsecond, linkDelay: time.Millisecond},
	{batchCost: 80 * time.Millisecond, tokenCost: time.Millisecond, linkDelay: 4 * time.Millisecond},
	{batchCost: 120 * time.Millisecond, tokenCost: 2 * time.Millisecond, linkDelay: 10 * time.Millisecond},
}

// maxTokensPerSecond returns the throughput of a runner that always runs full
// batches.
func (k acceleratorKind) maxTokensPerSecond() float64 {
	return maxEngineBatch / (k.batchCost + maxEngineBatch*k.tokenCost).Seconds()
}

// FleetOptions configures the throughput experiment.
type FleetOptions struct {
	Runners int
	// Pools is the number of entry instances that share the fleet; one pool stands for
	// one entry instance.
	Pools int
	// Sessions is the number of sessions that run concurrently over all pools.
	Sessions  int
	MaxTokens int
	Warmup    time.Duration
	Duration  time.Duration
	Seed      uint64
}

// FleetResult is the measurement of one routing policy. Wrong counts tokens that
// differ from the reference answer, Failed the answers that ended with an error.
type FleetResult struct {
	Policy          string
	TokensPerSecond float64
	Wrong           int64
	Failed          int64
}

// FleetReport compares the throughput of the policies with Bound, the maximum of
// the fleet in tokens per second.
type FleetReport struct {
	Options FleetOptions
	Bound   float64
	Results []FleetResult
}

// WriteText writes the report as a text table.
func (r *FleetReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "runners %d\tpools %d\tsessions %d\tbound %.0f tokens/s\n", r.Options.Runners, r.Options.Pools, r.Options.Sessions, r.Bound)
	for _, result := range r.Results {
		_, _ = fmt.Fprintf(table, "%s\t%.0f tokens/s\t%.3f of the bound\twrong %d\tfailed %d\n",
			result.Policy, result.TokensPerSecond, result.TokensPerSecond/r.Bound, result.Wrong, result.Failed)
	}
	return table.Flush()
}

// fleet is a set of in-process runners of mixed accelerator kinds.
type fleet struct {
	instances []instancelist.Instance
	bound     float64
	close     func()
}

func startFleet(o FleetOptions) (*fleet, error) {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	f := &fleet{}
	var servers []*http.Server
	f.close = func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
	rates := make([]float64, fleetStages)
	order := random.Perm(o.Runners)
	for i := range o.Runners {
		stage, k := i%fleetStages, acceleratorKinds[order[i]%len(acceleratorKinds)]
		rates[stage] += k.maxTokensPerSecond()
		id := fmt.Sprintf("runner-%02d", i)
		handler := standin.NewEngine(standin.EngineConfig{
			ID: runner.ID(id), Model: fleetModel, Version: fleetVersion, Layers: fleetLayers,
			Range:     runner.LayerRange{First: stage * fleetLayers / fleetStages, End: (stage + 1) * fleetLayers / fleetStages},
			BatchCost: k.batchCost, TokenCost: k.tokenCost, LinkDelay: k.linkDelay,
		}).Handler()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.close()
			return nil, fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
		f.instances = append(f.instances, instancelist.Instance{
			ID: instancelist.ID(id), Kind: instancelist.KindRunner, Zone: fleetZone, Address: listener.Addr().String(), Serves: fleetModel,
		})
	}
	// Every path passes through all stages in series, so the maximum flow is the
	// total rate of the slowest stage.
	f.bound = rates[0]
	for _, rate := range rates {
		f.bound = min(f.bound, rate)
	}
	return f, nil
}

// Fleet measures the throughput of a saturated fleet under each policy in turn. Each
// policy gets a new fleet with the same seed.
func Fleet(ctx context.Context, o FleetOptions) (*FleetReport, error) {
	report := &FleetReport{Options: o}
	policies := []struct {
		name string
		make func() engine.Policy
	}{
		{"cheapest", func() engine.Policy { return engine.Cheapest{} }},
		{"random", func() engine.Policy { return engine.RandomPath{Rand: rand.New(rand.NewPCG(o.Seed, rand.Uint64()))} }},
		{"round-robin", func() engine.Policy { return engine.NewRoundRobin() }},
	}
	for _, p := range policies {
		f, err := startFleet(o)
		if err != nil {
			return nil, err
		}
		report.Bound = f.bound
		result := saturate(ctx, f, p.make, o)
		result.Policy = p.name
		report.Results = append(report.Results, result)
		f.close()
	}
	return report, nil
}

// saturate keeps a fixed number of sessions running and counts the tokens
// generated after the warm-up.
func saturate(ctx context.Context, f *fleet, policy func() engine.Policy, o FleetOptions) FleetResult {
	ctx, cancel := context.WithTimeout(ctx, o.Warmup+o.Duration)
	defer cancel()
	pools := startPools(ctx, f, policy, o.Pools)
	var result FleetResult
	var tokens atomic.Int64
	start := time.Now()
	counting := func() bool { return time.Since(start) > o.Warmup }
	var wg sync.WaitGroup
	for i := range o.Sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				generate(ctx, pools[i%len(pools)], fmt.Sprintf("session %d answer %d of a long day", i, n), o.MaxTokens, &result, func() {
					if counting() {
						tokens.Add(1)
					}
				})
			}
		}()
	}
	wg.Wait()
	result.TokensPerSecond = float64(tokens.Load()) / o.Duration.Seconds()
	return result
}

// startPools returns one pool per entry instance. Each pool polls the runners
// itself and so has its own view of the fleet.
func startPools(ctx context.Context, f *fleet, policy func() engine.Policy, count int) []*engine.Pool {
	var pools []*engine.Pool
	for range count {
		pool := engine.NewPool(fleetZone)
		pool.WithFleet(func(fleet *engine.Fleet) {
			fleet.SetRunners(f.instances)
			fleet.SetPolicy(policy())
			fleet.SetInstanceCount(count)
		})
		pollReports(ctx, pool, f)
		go func() {
			for ctx.Err() == nil {
				pollReports(ctx, pool, f)
				time.Sleep(pollInterval)
			}
		}()
		pools = append(pools, pool)
	}
	return pools
}

// pollReports fetches the report of each runner once, one after the other, and
// skips the runners that fail to respond.
func pollReports(ctx context.Context, pool *engine.Pool, f *fleet) {
	client := engine.NewRunnerClient()
	for _, i := range f.instances {
		at := time.Now()
		report, err := client.FetchReport(ctx, runner.ID(i.ID), i.Address)
		if err == nil {
			pool.WithFleet(func(fleet *engine.Fleet) { fleet.RecordReport(at, runner.ID(i.ID), report) })
		}
	}
}

// generate requests one answer and compares each token with the reference answer.
func generate(ctx context.Context, pool *engine.Pool, prompt string, maxTokens int, result *FleetResult, onToken func()) {
	tokens := hashmodel.Tokenize(prompt)
	want := hashmodel.Answer(fleetVersion, fleetLayers, tokens, maxTokens)
	received := 0
	err := pool.Generate(ctx, engine.Request{
		Model: fleetModel, Version: fleetVersion, Layers: fleetLayers, Prompt: tokens, MaxTokens: maxTokens,
	}, func(t hashmodel.Token) error {
		if received >= len(want) || t != want[received] {
			atomic.AddInt64(&result.Wrong, 1)
		}
		received++
		onToken()
		return nil
	})
	if err != nil && ctx.Err() == nil {
		atomic.AddInt64(&result.Failed, 1)
	}
}
