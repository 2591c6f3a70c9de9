package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/operator"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	instanceListInterval = 1 * time.Second
	// pollInterval is how often an instance polls each of its runners, and
	// initialPollInterval how often it checks for runners until one is known.
	pollInterval        = 1 * time.Second
	initialPollInterval = 50 * time.Millisecond
	// maxReportAge is the age of a runner's report above which an instance polls
	// the runner itself, whichever instance is its owner.
	maxReportAge       = 5 * time.Second
	rolloutInterval    = 500 * time.Millisecond
	maxConcurrentPolls = 32
)

// watchInstances polls the platform's instance list until ctx ends.
func (d *Daemon) watchInstances(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := d.instances.Read(ctx)
		if err != nil {
			d.logger.Debug("instance list unavailable", zap.Error(err))
		} else {
			d.setInstances(time.Now(), list)
		}
		select {
		case <-ctx.Done():
		case <-time.After(instanceListInterval):
		}
	}
}

func (d *Daemon) setInstances(now time.Time, list []instancelist.Instance) {
	d.mu.Lock()
	d.view.Replace(list)
	runners := d.view.OfKind(instancelist.KindRunner)
	services := d.view.OfKind(instancelist.KindService)
	entries := d.view.OfKind(instancelist.KindEntry)
	d.mu.Unlock()
	inZone, _ := d.entryCounts()
	d.pool.WithFleet(func(f *engine.Fleet) {
		f.SetRunners(runners)
		f.SetInstanceCount(inZone)
	})
	d.services.SetBackends(services)
	d.mesh.SetInstances(now, entries)
	d.replica.SetCheckpointRank(rank(d.settings.Instance, entries))
	// Each instance gets an equal share of the log service's append limit.
	d.batcher.SetLimit(d.settings.AppendsPerSecond / float64(max(1, len(entries))))
}

// rank returns the number of instances with a lower id than self that are not
// shutting down.
func rank(self instancelist.ID, entries []instancelist.Instance) int {
	before := 0
	for _, i := range entries {
		if i.ID < self && !i.Leaving {
			before++
		}
	}
	return before
}

// watchRunners polls the runners that are assigned to this instance. Until a runner
// is known it checks more often, so that a new instance becomes ready sooner.
func (d *Daemon) watchRunners(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentPolls)
	for {
		interval := pollInterval
		targets, known := d.runnersToPoll(time.Now())
		if !known {
			interval = initialPollInterval
		}
		for _, r := range targets {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				d.poll(ctx, r)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

type pollTarget struct {
	id      runner.ID
	address string
}

// runnersToPoll returns the runners of this zone that rendezvous hashing assigns to
// this instance, and all runners whose last report is older than maxReportAge.
// known reports whether any runner is known.
func (d *Daemon) runnersToPoll(now time.Time) (targets []pollTarget, known bool) {
	zone := d.mesh.ActiveInZone()
	d.pool.WithFleet(func(f *engine.Fleet) {
		for _, r := range f.Runners() {
			known = true
			own := r.Zone == d.settings.Zone && peer.RendezvousOwner(string(r.ID), zone) == d.settings.Instance
			if own || now.Sub(r.ReportedAt()) > maxReportAge {
				targets = append(targets, pollTarget{id: r.ID, address: r.Address})
			}
		}
	})
	return targets, known
}

func (d *Daemon) poll(ctx context.Context, target pollTarget) {
	at := time.Now()
	report, err := d.runnerClient.FetchReport(ctx, target.id, target.address)
	if err != nil {
		return
	}
	d.pool.WithFleet(func(f *engine.Fleet) { f.RecordReport(at, target.id, report) })
	d.loadSharer.record(target.id, report)
}

// runRollouts sends runners orders to load model versions while this instance holds
// the lease for orders of its zone.
func (d *Daemon) runRollouts(ctx context.Context) {
	planner := engine.NewRolloutPlanner(d.settings.Zone)
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.elector.SetPreferred(peer.RendezvousOwner("orders", d.mesh.ActiveInZone()) == d.settings.Instance)
			if token, held := d.elector.Token(now); held {
				d.sendOrders(ctx, planner, now, int64(token))
			}
		}
	}
}

func (d *Daemon) sendOrders(ctx context.Context, planner *engine.RolloutPlanner, now time.Time, token int64) {
	var models []environment.Model
	for _, doc := range d.catalog.Documents(environment.Production) {
		models = append(models, doc.Models...)
	}
	var orders []engine.Order
	d.pool.WithFleet(func(f *engine.Fleet) { orders = planner.Next(now, token, models, f) })
	for _, o := range orders {
		err := d.runnerClient.SendOrder(ctx, o)
		var rejected *engine.OrderError
		if errors.As(err, &rejected) && rejected.Fenced {
			d.logger.Warn("runner rejected order with old fencing token", zap.String("runner", string(o.Runner)), zap.Int64("fence", o.FencingToken))
			continue
		}
		d.logger.Info("order given", zap.String("runner", string(o.Runner)), zap.String("model", string(o.Model)),
			zap.String("version", string(o.Version)), zap.Int64("fence", o.FencingToken), zap.Error(err))
	}
}

func (d *Daemon) runnerStates() []operator.RunnerState {
	var list []operator.RunnerState
	d.pool.WithFleet(func(f *engine.Fleet) {
		for _, r := range f.Runners() {
			list = append(list, operator.RunnerState{
				Runner: string(r.ID), Zone: string(r.Zone), Model: string(r.Report.Model), Version: string(r.Report.Version),
				Layers: r.Report.Range.String(), Leaving: r.Leaving || r.Report.Leaving, Queued: r.Report.Queued,
			})
		}
	})
	return list
}
