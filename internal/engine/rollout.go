package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	orderRetry   = 5 * time.Second
	orderTimeout = 2 * time.Second
)

// Order tells a runner to load a version of its model. FencingToken is the fencing
// number of the lease under which it is given.
type Order struct {
	Runner       runner.ID
	Address      string
	FencingToken int64
	Model        environment.ModelName
	Version      environment.ModelVersion
}

// RolloutPlanner decides which runners of an availability zone to order next. It goes
// by what the runners report, so that an order of a former holder, which some
// runners obey, is corrected.
type RolloutPlanner struct {
	zone  instancelist.Zone
	given map[runner.ID]time.Time
}

// NewRolloutPlanner returns the decider of a zone.
func NewRolloutPlanner(zone instancelist.Zone) *RolloutPlanner {
	return &RolloutPlanner{zone: zone, given: map[runner.ID]time.Time{}}
}

// Next returns the orders to give now. A runner is ordered only while the
// other runners of the zone still cover the model's layers with one version,
// or when no order of runners could keep them covered.
func (o *RolloutPlanner) Next(now time.Time, fence int64, models []environment.Model, fleet *Fleet) []Order {
	var orders []Order
	for _, m := range models {
		orders = append(orders, o.model(now, fence, m, fleet)...)
	}
	return orders
}

func (o *RolloutPlanner) model(now time.Time, fence int64, m environment.Model, fleet *Fleet) []Order {
	var stale []*Runner
	changing := map[runner.ID]bool{}
	for _, r := range fleet.Runners() {
		switch {
		case r.Zone != o.zone || r.Report.Model != m.Name:
		case r.Report.Version == m.Version && !r.Report.Loading:
			// The order is carried out; the next runner need not wait.
			delete(o.given, r.ID)
		case r.Report.Loading || now.Sub(o.given[r.ID]) < orderRetry:
			changing[r.ID] = true
		default:
			stale = append(stale, r)
		}
	}
	var orders []Order
	for _, r := range stale {
		changing[r.ID] = true
		if !o.covered(now, m, fleet, changing) {
			delete(changing, r.ID)
			continue
		}
		orders = append(orders, o.give(now, fence, m, r))
	}
	if len(orders) == 0 && len(stale) > 0 && len(changing) == 0 {
		orders = append(orders, o.give(now, fence, m, stale[0]))
	}
	return orders
}

func (o *RolloutPlanner) give(now time.Time, fence int64, m environment.Model, r *Runner) Order {
	o.given[r.ID] = now
	return Order{Runner: r.ID, Address: r.Address, FencingToken: fence, Model: m.Name, Version: m.Version}
}

// covered reports whether some version has a path in the zone without the
// runners that are changing.
func (o *RolloutPlanner) covered(now time.Time, m environment.Model, fleet *Fleet, changing map[runner.ID]bool) bool {
	avoid := map[runner.ID]bool{}
	versions := map[environment.ModelVersion]bool{}
	for _, r := range fleet.Runners() {
		if changing[r.ID] || r.Zone != o.zone {
			avoid[r.ID] = true
		}
		versions[r.Report.Version] = true
	}
	for version := range versions {
		_, err := fleet.ChoosePath(now, PathQuery{Model: m.Name, Version: version, Layers: m.Layers, Positions: 1, Exclude: avoid})
		if err == nil {
			return true
		}
	}
	return false
}

// OrderError says that a runner did not take an order.
type OrderError struct {
	Runner runner.ID
	// Fenced says that the runner has seen a greater fencing number.
	Fenced bool
	Cause  error
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("order to runner %s: %v", e.Runner, e.Cause)
}

func (e *OrderError) Unwrap() error { return e.Cause }

type wireOrder struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// SendOrder sends an order. The error is an *OrderError.
func (c *RunnerClient) SendOrder(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(wireOrder{Fence: o.FencingToken, Model: string(o.Model), Version: string(o.Version)})
	if err != nil {
		return &OrderError{Runner: o.Runner, Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return &OrderError{Runner: o.Runner, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return &OrderError{Runner: o.Runner, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusAccepted {
		fenced := response.StatusCode == http.StatusConflict
		return &OrderError{Runner: o.Runner, Fenced: fenced, Cause: fmt.Errorf("status %d", response.StatusCode)}
	}
	return nil
}
