package main

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/load"
	"mulberryhead.org/mulberryhead/internal/localcluster"
	"mulberryhead.org/mulberryhead/internal/runner"
)

const (
	overheadMaxTokens = 64
	overheadAnswers   = 60
	// overheadHops is the number of runners on each path in zone-a.
	overheadHops = 2
	maxGapMicros = int64(10 * time.Second / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// measureOverhead compares the gaps between tokens of answers through an entry
// instance with those of answers that this process generates by calling the same
// engines directly. Answers run one after another.
func measureOverhead(ctx context.Context, c *localcluster.Cluster) error {
	direct, err := directGaps(ctx, c)
	if err != nil {
		return err
	}
	entry := c.Entries[0]
	before, err := entry.CPUTime()
	if err != nil {
		return err
	}
	through := hdrhistogram.New(1, maxGapMicros, significantDigits)
	for n := range overheadAnswers {
		last := time.Time{}
		err := load.Stream(ctx, load.Options{
			Callers: []string{entry.Callers}, APIKey: localcluster.APIKey, Model: localcluster.Model,
			ModelVersion: localcluster.ModelVersion, Layers: localcluster.Layers, MaxTokens: overheadMaxTokens,
		}, fmt.Sprint("question ", n), func(string) { last = recordGap(through, last) })
		if err != nil {
			return fmt.Errorf("answer through %s: %w", entry.Name, err)
		}
	}
	after, err := entry.CPUTime()
	if err != nil {
		return err
	}
	const hops = overheadAnswers * overheadMaxTokens * overheadHops
	added := through.ValueAtQuantile(50) - direct.ValueAtQuantile(50)
	fmt.Printf("between tokens, p50: %d us through an entry instance, %d us direct; added %.1f us a hop\n",
		through.ValueAtQuantile(50), direct.ValueAtQuantile(50), float64(added)/overheadHops)
	fmt.Printf("between tokens, p95: %d us through an entry instance, %d us direct\n",
		through.ValueAtQuantile(95), direct.ValueAtQuantile(95))
	fmt.Printf("processor time of the entry instance: %.1f us a token hop, all its loops included\n",
		float64((after-before).Microseconds())/hops)
	return nil
}

// recordGap records the time since last, if there is one, and returns the current
// time.
func recordGap(h *hdrhistogram.Histogram, last time.Time) time.Time {
	now := time.Now()
	if !last.IsZero() {
		_ = h.RecordValue(now.Sub(last).Microseconds())
	}
	return now
}

// directGaps generates answers with the engines of zone-a and returns the gaps
// between tokens in microseconds.
func directGaps(ctx context.Context, c *localcluster.Cluster) (*hdrhistogram.Histogram, error) {
	pool := engine.NewPool("zone-a")
	client := engine.NewRunnerClient()
	var list []instancelist.Instance
	reports := map[runner.ID]engine.Report{}
	for _, id := range []string{"engine-a1", "engine-a2", "engine-a3"} {
		address, err := c.Engines[id].Address(ctx, "on")
		if err != nil {
			return nil, err
		}
		report, err := client.FetchReport(ctx, runner.ID(id), address)
		if err != nil {
			return nil, err
		}
		list = append(list, instancelist.Instance{ID: instancelist.ID(id), Zone: "zone-a", Address: address})
		reports[runner.ID(id)] = report
	}
	pool.WithFleet(func(f *engine.Fleet) {
		f.SetRunners(list)
		for id, report := range reports {
			f.RecordReport(time.Now(), id, report)
		}
	})
	gaps := hdrhistogram.New(1, maxGapMicros, significantDigits)
	for n := range overheadAnswers {
		last := time.Time{}
		err := pool.Generate(ctx, engine.Request{
			Model: localcluster.Model, Version: localcluster.ModelVersion, Layers: localcluster.Layers,
			Prompt: hashmodel.Tokenize(fmt.Sprint("question ", n)), MaxTokens: overheadMaxTokens,
		}, func(hashmodel.Token) error {
			last = recordGap(gaps, last)
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("direct answer: %w", err)
		}
	}
	return gaps, nil
}

// measureIdle prints the processor time and memory of each entry instance while no
// requests arrive.
func measureIdle(ctx context.Context, c *localcluster.Cluster) error {
	const idleDuration = 10 * time.Second
	before := map[string]time.Duration{}
	for _, e := range c.Entries {
		used, err := e.CPUTime()
		if err != nil {
			return err
		}
		before[e.Name] = used
	}
	select {
	case <-time.After(idleDuration):
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, e := range c.Entries {
		used, err := e.CPUTime()
		if err != nil {
			return err
		}
		resident, err := e.ResidentBytes()
		if err != nil {
			return err
		}
		const mebibyte = 1 << 20
		fmt.Printf("%s at rest: %.2f %% of a core, %d MiB resident\n",
			e.Name, 100*(used-before[e.Name]).Seconds()/idleDuration.Seconds(), resident/mebibyte)
	}
	return nil
}
