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
	orderRetryInterval = 5 * time.Second
	orderTimeout       = 2 * time.Second
)

// Order instructs a runner to load a version of its model. FencingToken belongs to
// the lease under which the order is sent.
type Order struct {
	Runner       runner.ID
	Address      string
	FencingToken int64
	Model        environment.ModelName
	Version      environment.ModelVersion
}

// RolloutPlanner decides which runners of an availability zone to send orders to
// next. It compares what the runners report with the wanted versions, so it also corrects an
// order of a former lease holder that a runner applied without checking its fencing
// token.
type RolloutPlanner struct {
	zone      instancelist.Zone
	orderedAt map[runner.ID]time.Time
}

// NewRolloutPlanner returns the planner of a zone.
func NewRolloutPlanner(zone instancelist.Zone) *RolloutPlanner {
	return &RolloutPlanner{zone: zone, orderedAt: map[runner.ID]time.Time{}}
}

// Next returns the orders to send now. An order is sent to a runner only while the
// other runners of the zone still cover the model's layers with one version. If this
// allows no order, no runner is loading and no order was sent recently, an order is
// sent to one runner regardless, since the rollout could not proceed otherwise.
func (p *RolloutPlanner) Next(now time.Time, fencingToken int64, models []environment.Model, fleet *Fleet) []Order {
	var orders []Order
	for _, m := range models {
		orders = append(orders, p.planModel(now, fencingToken, m, fleet)...)
	}
	return orders
}

func (p *RolloutPlanner) planModel(now time.Time, fencingToken int64, m environment.Model, fleet *Fleet) []Order {
	var outdated []*Runner
	changing := map[runner.ID]bool{}
	for _, r := range fleet.Runners() {
		switch {
		case r.Zone != p.zone || r.Report.Model != m.Name:
		case r.Report.Version == m.Version && !r.Report.Loading:
			// The runner has the wanted version. A later order to it need not
			// wait for orderRetryInterval.
			delete(p.orderedAt, r.ID)
		case r.Report.Loading || now.Sub(p.orderedAt[r.ID]) < orderRetryInterval:
			changing[r.ID] = true
		default:
			outdated = append(outdated, r)
		}
	}
	var orders []Order
	for _, r := range outdated {
		changing[r.ID] = true
		if !p.covered(now, m, fleet, changing) {
			delete(changing, r.ID)
			continue
		}
		orders = append(orders, p.issueOrder(now, fencingToken, m, r))
	}
	if len(orders) == 0 && len(outdated) > 0 && len(changing) == 0 {
		orders = append(orders, p.issueOrder(now, fencingToken, m, outdated[0]))
	}
	return orders
}

func (p *RolloutPlanner) issueOrder(now time.Time, fencingToken int64, m environment.Model, r *Runner) Order {
	p.orderedAt[r.ID] = now
	return Order{Runner: r.ID, Address: r.Address, FencingToken: fencingToken, Model: m.Name, Version: m.Version}
}

// covered reports whether some version has a path in the zone without the runners
// that are changing.
func (p *RolloutPlanner) covered(now time.Time, m environment.Model, fleet *Fleet, changing map[runner.ID]bool) bool {
	excluded := map[runner.ID]bool{}
	versions := map[environment.ModelVersion]bool{}
	for _, r := range fleet.Runners() {
		if changing[r.ID] || r.Zone != p.zone {
			excluded[r.ID] = true
		}
		versions[r.Report.Version] = true
	}
	for version := range versions {
		_, err := fleet.ChoosePath(now, PathQuery{Model: m.Name, Version: version, Layers: m.Layers, Positions: 1, Exclude: excluded})
		if err == nil {
			return true
		}
	}
	return false
}

// OrderError reports that an order was not delivered or not accepted.
type OrderError struct {
	Runner runner.ID
	// Fenced is true if the runner rejected the order because it has seen a
	// greater fencing token.
	Fenced bool
	Cause  error
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("send order to runner %s: %v", e.Runner, e.Cause)
}

func (e *OrderError) Unwrap() error { return e.Cause }

type wireOrder struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// SendOrder sends an order to its runner. The error is an *OrderError.
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
		return &OrderError{Runner: o.Runner, Fenced: fenced, Cause: fmt.Errorf("unexpected HTTP status %d", response.StatusCode)}
	}
	return nil
}
