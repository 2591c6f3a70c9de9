// Package placementcontroller gives the backend servers of an availability zone the order
// which layers to hold.
//
// Usage: run one Controller in each instance; the platform deals the duty of each
// zone to one instance of that zone:
//
//	o := placementcontroller.New(placementcontroller.Config{...})
//	go o.Run(ctx)
//
// The group membership on the platform is a hint only. An instance that believes
// it has the duty appends a record to the zone's topic; the record's offset is its
// fencing number, so a later holder always has a higher one. Every order carries
// the fencing number and the order count that the backend server must have, which
// makes an order that arrives late harmless. While the store is away the holder
// goes on, as nobody else can take a higher number.
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
	joinEvery = time.Second
	dutyTTL   = 3 * time.Second
	planEvery = 250 * time.Millisecond
	atOnce    = 8 // calls to backend servers
	dutyPart  = 0 // the partition that stands for the duty
)

// Config is what a Controller works with.
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
	// OnFencingToken is told of each fencing number that this instance orders with, and
	// OnLayersReported of what a backend server reports to hold after an order.
	OnFencingToken   func(fencing int64)
	OnLayersReported func(id deployment.BackendID, layers deployment.LayerRange)
	// OnOrder is told of each range that a backend server is ordered to hold, and
	// with stands unset when it has refused the order.
	OnOrder func(id deployment.BackendID, layers deployment.LayerRange, stands bool)
}

// Controller gives the orders of one zone while this instance has the duty.
type Controller struct {
	Config
	topic      string
	generation int64

	mu    sync.Mutex
	lease lease
	books map[deployment.ServiceName]*book
}

// New returns an orderer for the zone of the settings.
func New(config Config) *Controller {
	return &Controller{
		Config: config, topic: "orders-" + string(config.Settings.Zone),
		books: map[deployment.ServiceName]*book{},
	}
}

// Run joins for the duty and carries it out until ctx ends.
func (o *Controller) Run(ctx context.Context) {
	go o.keepJoined(ctx)
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.tick(ctx)
		}
	}
}

func (o *Controller) keepJoined(ctx context.Context) {
	ticker := time.NewTicker(joinEvery)
	defer ticker.Stop()
	for {
		o.join(ctx)
		select {
		case <-ctx.Done():
			o.leave()
			return
		case <-ticker.C:
		}
	}
}

func (o *Controller) join(ctx context.Context) {
	owned, err := o.Store.JoinGroup(ctx, o.topic, string(o.Settings.Instance), o.topic, dutyTTL, o.generation)
	if err != nil {
		o.Logger.Debug("duty not confirmed", zap.Error(err))
		return
	}
	o.generation = owned.Generation
	held := false
	for _, part := range owned.Partitions {
		held = held || part == dutyPart
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	was := !o.lease.heldSince.IsZero()
	o.lease.joined(time.Now(), held)
	if was != held {
		o.Logger.Info("duty of orders", zap.Bool("held", held), zap.Int64("generation", owned.Generation))
	}
}

// leave hands the duty on without waiting for its time to run out.
func (o *Controller) leave() {
	if err := o.Store.LeaveGroup(context.Background(), o.topic, string(o.Settings.Instance)); err != nil {
		o.Logger.Info("duty not handed on", zap.Error(err))
	}
}

// ObserveLeaseHolder takes a peer's word that it gives the orders of this zone.
func (o *Controller) ObserveLeaseHolder(holder deployment.InstanceID, fencing int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.holderKnown(holder, fencing)
}

// FencingToken returns the number that this instance orders with, 0 where it does not.
func (o *Controller) FencingToken() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease.fencing
}

func (o *Controller) nextStep(now time.Time) step {
	present := o.ReachableInstances()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease.adopt(now, o.Settings.Instance, present) {
		o.books = map[deployment.ServiceName]*book{}
		o.Logger.Info("duty taken over without the store", zap.Int64("fencing", o.lease.fencing),
			zap.String("from", string(o.lease.known.holder)))
	}
	return o.lease.next(now)
}

func (o *Controller) tick(ctx context.Context) {
	now := time.Now()
	next := o.nextStep(now)
	switch next {
	case stepNothing:
	case stepTakeFencing:
		o.takeFencing(ctx)
	case stepAct:
		o.act(ctx, now)
	}
}

func (o *Controller) takeFencing(ctx context.Context) {
	offset, err := o.Store.Append(ctx, o.topic, dutyPart, platform.AnyOffset, []byte(o.Settings.Instance))
	if err != nil {
		o.Logger.Info("no fencing number", zap.Error(err))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease.took(o.Settings.Instance, int64(offset)+1)
	o.books = map[deployment.ServiceName]*book{}
	o.Logger.Info("fencing number taken", zap.Int64("fencing", o.lease.fencing))
	o.OnFencingToken(o.lease.fencing)
}

// act plans each model service and carries out the changes.
func (o *Controller) act(ctx context.Context, now time.Time) {
	table, ok := o.RoutingTable.Load()
	if !ok || !o.Fleet.Synced() {
		return
	}
	services := table.Services()
	for i := range services {
		if services[i].Engine != nil {
			o.serve(ctx, now, &services[i])
		}
	}
}

func (o *Controller) serve(ctx context.Context, now time.Time, service *deployment.Service) {
	b, ok := o.books[service.Name]
	if !ok {
		b = newBook()
		o.books[service.Name] = b
	}
	members := append(o.Fleet.ServerStatuses(now, service.Name, o.Settings.Zone), o.departed(ctx, now, b, service)...)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(atOnce)
	for _, server := range b.loading(now, members) {
		group.Go(func() error {
			o.lookAfter(ctx, server)
			return nil
		})
	}
	changes := b.plan(now, service.Engine, members)
	for _, change := range changes {
		group.Go(func() error {
			o.carryOut(ctx, b, service.Engine, change)
			return nil
		})
	}
	// The calls report their failures themselves.
	_ = group.Wait()
}

// departed returns the backend servers whose entries were removed and that are well.
// Others need not load their layers as long as their entries may come back.
func (o *Controller) departed(ctx context.Context, now time.Time, b *book, service *deployment.Service) []backend.ServerStatus {
	servers := o.Fleet.RecentlyUnlisted(now, service.Name, o.Settings.Zone)
	members, ask := b.departed(servers)
	if len(ask) == 0 || service.HealthPath == "" {
		return members
	}
	var group errgroup.Group
	group.SetLimit(atOnce)
	for _, server := range ask {
		group.Go(func() error {
			err := o.BackendClient.CheckHealth(ctx, server, service.HealthPath)
			b.answered(server.ID, err == nil)
			o.Logger.Info("backend server without an entry", zap.String("backend", string(server.ID)), zap.Bool("well", err == nil), zap.Error(err))
			return nil
		})
	}
	// The calls report their failures themselves.
	_ = group.Wait()
	members, _ = b.departed(servers)
	return members
}

// announce tells which layers a backend server is ordered to hold. What it gives up
// takes no new requests from then on, though the list may name it for as long as
// requests pass through.
func (o *Controller) announce(id deployment.BackendID, layers deployment.LayerRange) {
	o.Fleet.SetTargetLayers(time.Now(), id, layers)
	o.OnOrder(id, layers, true)
}

// withdraw tells that an order was refused.
func (o *Controller) withdraw(c change) {
	o.Fleet.ClearTargetLayers(c.server.ID, c.layers)
	o.OnOrder(c.server.ID, c.layers, false)
}

// lookAfter asks a backend server that carries out an order what it holds, so that
// others need not wait for the list to tell.
func (o *Controller) lookAfter(ctx context.Context, server deployment.Backend) {
	report, err := o.BackendClient.Report(ctx, server.Address)
	if err != nil {
		o.Logger.Debug("no report", zap.String("backend", string(server.ID)), zap.Error(err))
		return
	}
	if report.Layers != server.Layers && report.StartedAt.Equal(server.StartedAt) {
		o.Fleet.SetLayers(server.ID, report.Layers)
		o.OnLayersReported(server.ID, report.Layers)
	}
}

// carryOut orders one change, if the backend server is as the plan took it to be.
func (o *Controller) carryOut(ctx context.Context, b *book, engine *deployment.Engine, change change) {
	report, err := o.BackendClient.Report(ctx, change.server.Address)
	if err != nil {
		b.unreachable(time.Now(), change.server.ID)
		o.Logger.Info("no report", zap.String("backend", string(change.server.ID)), zap.Error(err))
		return
	}
	if report.Layers != change.server.Layers {
		o.Fleet.SetLayers(change.server.ID, report.Layers)
	}
	if !b.confirm(time.Now(), change, report) {
		return
	}
	o.mu.Lock()
	fencing := o.lease.fencing
	o.mu.Unlock()
	if fencing == 0 {
		return
	}
	b.ordered(time.Now(), engine, change)
	o.announce(change.server.ID, change.layers)
	outcome, err := o.BackendClient.Place(ctx, deployment.Placement{
		Backend: change.server.ID, Address: change.server.Address, Layers: change.layers,
		ExpectedSequence: report.Sequence, FencingToken: fencing,
	})
	o.Logger.Info("order given", zap.String("backend", string(change.server.ID)), zap.String("address", string(change.server.Address)),
		zap.Int("first-layer", change.layers.First), zap.Int("end-layer", change.layers.End),
		zap.Int64("sequence", report.Sequence), zap.Int64("fencing", fencing), zap.Stringer("outcome", outcome), zap.Error(err))
	switch outcome {
	case deployment.OutcomeFenced:
		o.mu.Lock()
		o.lease.fenced()
		o.mu.Unlock()
		b.refused(change.server.ID)
		o.withdraw(change)
	case deployment.OutcomeConflict, deployment.OutcomeWrongServer:
		b.refused(change.server.ID)
		o.withdraw(change)
	case deployment.OutcomeAlreadyHeld:
		o.Fleet.SetLayers(change.server.ID, change.layers)
		b.refused(change.server.ID)
	case deployment.OutcomeStarted, deployment.OutcomeUnknown:
	}
}
