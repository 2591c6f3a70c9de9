// Package placementcontroller sends placement orders to the backend servers of an
// availability zone: which layers of a model each of them is to hold.
//
// Usage: run one Controller in each instance. The platform's store grants the lease of
// each zone to one instance of that zone:
//
//	c := placementcontroller.New(placementcontroller.Config{...})
//	go c.Run(ctx)
//
// The group membership in the store is only a hint. An instance that believes that it
// holds the lease appends a record to the zone's topic. The instance's fencing token is
// the record's offset plus one, so that a later holder always has a higher token. Every
// order carries the fencing token and the sequence number that the backend server must
// have, so that a late order has no effect. While the store is unreachable the lease
// holder continues, since no other instance can acquire a higher token. If the holder
// can't be reached either, the first reachable instance of the zone continues with the
// holder's token.
package placementcontroller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	joinInterval       = time.Second
	leaseTTL           = 3 * time.Second
	planInterval       = 250 * time.Millisecond
	maxConcurrentCalls = 8 // calls to backend servers
	leasePartition     = 0 // the member that is assigned this partition holds the lease
)

// Config configures a Controller. All fields are required.
type Config struct {
	Settings      deployment.Settings
	Store         *platform.StoreClient
	BackendClient *platform.BackendClient
	RoutingTable  *routing.ActiveTable
	Fleet         *backend.Fleet
	Logger        *zap.Logger
	// ReachableInstances returns the instances of the zone that can be reached, this one
	// included, the smallest id first.
	ReachableInstances func() []deployment.InstanceID
	// CutOff reports whether this instance has lost its links to the backend servers. It then
	// neither holds the lease nor sends orders.
	CutOff func() bool
	// OnFencingToken is called with each fencing token that this instance newly acquires
	// from the store, not with one that it adopts from an earlier holder. It must not
	// call the Controller. OnLayersReported is called when a backend server that is
	// applying an order reports other layers than it was known to hold.
	OnFencingToken   func(token int64)
	OnLayersReported func(id deployment.BackendID, layers deployment.LayerRange)
	// OnOrder is called with active set before an order is sent, and again with active
	// unset if the backend server rejects the order.
	OnOrder func(id deployment.BackendID, layers deployment.LayerRange, active bool)
}

// Controller sends the placement orders of one zone while this instance holds the lease.
type Controller struct {
	Config
	topic      string
	generation int64
	withdrawn  bool // this instance has left the group, as it is cut off

	mu       sync.Mutex
	lease    lease
	trackers map[deployment.ServiceName]*orderTracker
}

// New returns a Controller for the zone in the settings.
func New(config Config) *Controller {
	return &Controller{
		Config: config, topic: "orders-" + string(config.Settings.Zone),
		trackers: map[deployment.ServiceName]*orderTracker{},
	}
}

// Run keeps this instance a candidate for the lease, and plans and sends orders while it
// holds the lease, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	go c.maintainMembership(ctx)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (c *Controller) maintainMembership(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		c.maintain(ctx)
		select {
		case <-ctx.Done():
			c.leave()
			return
		case <-ticker.C:
		}
	}
}

// maintain keeps this instance in the group for the lease if it is a candidate. While it has
// lost its links to the backend servers it leaves the lease to the others.
func (c *Controller) maintain(ctx context.Context) {
	if !c.CutOff() {
		c.withdrawn = false
		if c.isCandidate() {
			c.join(ctx)
		}
		return
	}
	c.dropLease()
	if !c.withdrawn {
		c.withdrawn = true
		c.leave()
	}
}

// isCandidate reports whether this instance takes part in the group for the lease.
func (c *Controller) isCandidate() bool {
	reachable := c.ReachableInstances()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.isCandidate(c.Settings.Instance, reachable)
}

// dropLease ends the orders of this instance.
func (c *Controller) dropLease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lease.heldSince.IsZero() {
		c.Logger.Info("duty of orders", zap.Bool("held", false), zap.String("cause", "the backend servers can't be reached"))
	}
	c.lease.drop()
}

func (c *Controller) join(ctx context.Context) {
	assignment, err := c.Store.JoinGroup(ctx, c.topic, string(c.Settings.Instance), c.topic, leaseTTL, c.generation)
	if err != nil {
		c.Logger.Debug("lease not confirmed by the store", zap.Error(err))
		return
	}
	c.generation = assignment.Generation
	held := false
	for _, part := range assignment.Partitions {
		held = held || part == leasePartition
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wasHeld := !c.lease.heldSince.IsZero()
	c.lease.recordMembership(time.Now(), held)
	if wasHeld != held {
		c.Logger.Info("duty of orders", zap.Bool("held", held), zap.Int64("generation", assignment.Generation))
	}
}

// leave releases the lease at once, so that another instance need not wait for leaseTTL.
func (c *Controller) leave() {
	if err := c.Store.LeaveGroup(context.Background(), c.topic, string(c.Settings.Instance)); err != nil {
		c.Logger.Info("lease not released", zap.Error(err))
	}
}

// ObserveLeaseHolder records that a peer reported itself as the lease holder of this zone,
// unless a higher fencing token is known.
func (c *Controller) ObserveLeaseHolder(holder deployment.InstanceID, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.observeHolder(holder, token)
}

// FencingToken returns the token under which this instance sends orders, 0 if it has none.
func (c *Controller) FencingToken() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.fencingToken
}

func (c *Controller) nextStep(now time.Time) step {
	reachable := c.ReachableInstances()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.adopt(now, c.Settings.Instance, reachable) {
		c.trackers = map[deployment.ServiceName]*orderTracker{}
		c.Logger.Info("duty taken over without the store", zap.Int64("fencing", c.lease.fencingToken),
			zap.String("from", string(c.lease.known.holder)))
	}
	return c.lease.next(now)
}

func (c *Controller) tick(ctx context.Context) {
	if c.CutOff() {
		return
	}
	now := time.Now()
	next := c.nextStep(now)
	switch next {
	case stepWait:
	case stepAcquireToken:
		c.acquireToken(ctx)
	case stepPlan:
		c.planServices(ctx, now)
	}
}

func (c *Controller) acquireToken(ctx context.Context) {
	offset, err := c.Store.Append(ctx, c.topic, leasePartition, platform.AnyOffset, []byte(c.Settings.Instance))
	if err != nil {
		c.Logger.Info("fencing token not acquired", zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.recordToken(c.Settings.Instance, int64(offset)+1)
	c.trackers = map[deployment.ServiceName]*orderTracker{}
	c.Logger.Info("fencing number taken", zap.Int64("fencing", c.lease.fencingToken))
	c.OnFencingToken(c.lease.fencingToken)
}

// planServices plans the placement of each model service and sends the orders.
func (c *Controller) planServices(ctx context.Context, now time.Time) {
	table, ok := c.RoutingTable.Load()
	if !ok || !c.Fleet.Synced() {
		return
	}
	services := table.Services()
	for i := range services {
		if services[i].Engine != nil {
			c.planService(ctx, now, &services[i])
		}
	}
}

func (c *Controller) planService(ctx context.Context, now time.Time, service *deployment.Service) {
	tracker, ok := c.trackers[service.Name]
	if !ok {
		tracker = newOrderTracker()
		c.trackers[service.Name] = tracker
	}
	statuses := append(c.Fleet.ServerStatuses(now, service.Name, c.Settings.Zone), c.healthyUnlisted(ctx, now, tracker, service)...)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for _, server := range tracker.loadsDue(now, statuses) {
		group.Go(func() error {
			c.pollReport(ctx, server)
			return nil
		})
	}
	changes := tracker.plan(now, service.Engine, statuses)
	for _, change := range changes {
		group.Go(func() error {
			c.sendOrder(ctx, tracker, service.Engine, change)
			return nil
		})
	}
	// The calls report their failures themselves.
	_ = group.Wait()
}

// healthyUnlisted returns the backend servers whose entries were recently removed from the
// backend list, but which pass a health check. Other servers need not load their layers
// while the entries may return.
func (c *Controller) healthyUnlisted(ctx context.Context, now time.Time, tracker *orderTracker, service *deployment.Service) []backend.ServerStatus {
	unlisted := c.Fleet.RecentlyUnlisted(now, service.Name, c.Settings.Zone)
	statuses, unchecked := tracker.unlistedStatuses(unlisted)
	if len(unchecked) == 0 || service.HealthPath == "" {
		return statuses
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, server := range unchecked {
		group.Go(func() error {
			err := c.BackendClient.CheckHealth(ctx, server, service.HealthPath)
			tracker.recordHealth(server.ID, err == nil)
			c.Logger.Info("backend server without an entry", zap.String("backend", string(server.ID)), zap.Bool("well", err == nil), zap.Error(err))
			return nil
		})
	}
	// The calls report their failures themselves.
	_ = group.Wait()
	statuses, _ = tracker.unlistedStatuses(unlisted)
	return statuses
}

// announce reports the layers that a backend server is ordered to hold. From then on, layers
// that it releases get no new requests, though the backend list may include them until the
// last request has passed through.
func (c *Controller) announce(id deployment.BackendID, layers deployment.LayerRange) {
	c.Fleet.SetTargetLayers(time.Now(), id, layers)
	c.OnOrder(id, layers, true)
}

// withdraw reports that a backend server rejected an order.
func (c *Controller) withdraw(rejected change) {
	c.Fleet.ClearTargetLayers(rejected.server.ID, rejected.layers)
	c.OnOrder(rejected.server.ID, rejected.layers, false)
}

// pollReport requests the report of a backend server that is applying an order, so that
// instances need not wait until the backend list shows its new layers. It ignores the
// report of a server that has restarted.
func (c *Controller) pollReport(ctx context.Context, server deployment.Backend) {
	report, err := c.BackendClient.Report(ctx, server.Address)
	if err != nil {
		c.Logger.Debug("report of backend server unavailable", zap.String("backend", string(server.ID)), zap.Error(err))
		return
	}
	if report.Layers != server.Layers && report.StartedAt.Equal(server.StartedAt) {
		c.Fleet.SetLayers(server.ID, report.Layers)
		c.OnLayersReported(server.ID, report.Layers)
	}
}

// sendOrder orders one change, if the backend server still holds the layers that the plan
// assumed and is not applying another order.
func (c *Controller) sendOrder(ctx context.Context, tracker *orderTracker, engine *deployment.Engine, change change) {
	report, err := c.BackendClient.Report(ctx, change.server.Address)
	if err != nil {
		tracker.recordUnreachable(time.Now(), change.server.ID)
		c.Logger.Info("report of backend server unavailable", zap.String("backend", string(change.server.ID)), zap.Error(err))
		return
	}
	if report.Layers != change.server.Layers {
		c.Fleet.SetLayers(change.server.ID, report.Layers)
	}
	if !tracker.confirm(time.Now(), change, report) {
		return
	}
	c.mu.Lock()
	token := c.lease.fencingToken
	c.mu.Unlock()
	if token == 0 {
		return
	}
	tracker.recordOrder(time.Now(), engine, change)
	c.announce(change.server.ID, change.layers)
	outcome, err := c.BackendClient.Place(ctx, deployment.Placement{
		Backend: change.server.ID, Address: change.server.Address, Layers: change.layers,
		ExpectedSequence: report.Sequence, FencingToken: token,
	})
	c.Logger.Info("order given", zap.String("backend", string(change.server.ID)), zap.String("address", string(change.server.Address)),
		zap.Int("first-layer", change.layers.First), zap.Int("end-layer", change.layers.End),
		zap.Int64("sequence", report.Sequence), zap.Int64("fencing", token), zap.Stringer("outcome", outcome), zap.Error(err))
	switch outcome {
	case deployment.OutcomeFenced:
		c.mu.Lock()
		c.lease.fenced()
		c.mu.Unlock()
		tracker.removeOrder(change.server.ID)
		c.withdraw(change)
	case deployment.OutcomeConflict, deployment.OutcomeWrongServer:
		tracker.removeOrder(change.server.ID)
		c.withdraw(change)
	case deployment.OutcomeAlreadyHeld:
		c.Fleet.SetLayers(change.server.ID, change.layers)
		tracker.removeOrder(change.server.ID)
	case deployment.OutcomeStarted, deployment.OutcomeUnknown:
	}
}
