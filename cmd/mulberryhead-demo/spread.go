package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/localcluster"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/operator"
)

const (
	spreadPollInterval = 2 * time.Millisecond
	spreadTimeout      = 10 * time.Second
)

// measureSpread publishes documents and prints the time until each is applied on
// every entry instance: without faults, with one zone partitioned from the
// platform, and while the log executes appends but drops its responses.
func measureSpread(ctx context.Context, c *localcluster.Cluster, documents int) error {
	for _, condition := range []struct {
		name   string
		faults map[string]any
	}{
		{"all well", map[string]any{}},
		{"one zone cut from the platform", map[string]any{"cut": []string{"entry-b1"}}},
		{"every append loses its answer", map[string]any{"cut": []string{}, "lose-answers": documents}},
	} {
		if err := c.SetFaults(ctx, c.Platform, condition.faults); err != nil {
			return err
		}
		var times []time.Duration
		for range documents {
			took, err := timePublication(ctx, c)
			if err != nil {
				return fmt.Errorf("%s: %w", condition.name, err)
			}
			times = append(times, took)
		}
		slices.Sort(times)
		fmt.Printf("in force everywhere, %s: %d documents, median %s, worst %s\n",
			condition.name, documents, times[len(times)/2], times[len(times)-1])
	}
	return c.SetFaults(ctx, c.Platform, map[string]any{"lose-answers": 0})
}

// timePublication publishes a document and returns the time from the operator's
// request until the last instance has applied it.
func timePublication(ctx context.Context, c *localcluster.Cluster) (time.Duration, error) {
	body := append(localcluster.Document(localcluster.ModelVersion), fmt.Appendf(nil, "\n# %s\n", uuid.NewString())...)
	start := time.Now()
	published, err := c.Entries[0].Admin().Publish(ctx, operator.PublishRequest{
		Environment: localcluster.Environment, ID: uuid.New(), Body: body,
	})
	if err != nil {
		return 0, err
	}
	for _, e := range c.Entries {
		for !hasAppliedVersion(ctx, e, published.Version) {
			if time.Since(start) > spreadTimeout {
				return 0, fmt.Errorf("version %d was not applied on %s in time", published.Version, e.Name)
			}
			time.Sleep(spreadPollInterval)
		}
	}
	return time.Since(start), nil
}

func hasAppliedVersion(ctx context.Context, e *localcluster.Entry, version document.Version) bool {
	status, err := e.Admin().Status(ctx)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(status.Documents, func(d operator.DocumentState) bool {
		return d.Version >= version && d.Applied
	})
}
