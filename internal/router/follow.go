package router

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// configurationWait is how long a read waits for a new version. It is shorter than
	// topiccache.MaxPushAge, so that instances that receive pushes need not read. It is also shorter
	// than the time within which the platform requires a new configuration to be active, so
	// that an unresponsive connection is noticed in time.
	configurationWait = 800 * time.Millisecond
	// isolatedWait is how long a read waits on an instance without links to others, which no one
	// pushes to and which pushes to no one. A new version still ends it at once.
	isolatedWait = 1600 * time.Millisecond
	// backendListInterval is the interval between reads of the backend list. It is well
	// below the time within which the platform requires that a draining backend server gets
	// no more new requests.
	backendListInterval = 600 * time.Millisecond
	// isolatedListInterval is the same on an instance without links to others.
	isolatedListInterval = time.Second
)

// newConsumers creates the consumers of the configuration and of the backend list.
func (r *Router) newConsumers() {
	r.configurations = &consumer{
		store: r.store, logger: r.logger, topic: platform.ConfigurationTopic, wait: configurationWait,
		applySnapshot: r.newestConfiguration.offer, applyChanges: r.newestConfiguration.offer, cache: topiccache.New(),
		announced: make(chan struct{}, 1), skipsToNewest: true,
	}
	r.configurations.relay = r.newRelay(r.configurations)
	r.backendList = &consumer{
		store: r.store, logger: r.logger, topic: platform.BackendsTopic,
		applySnapshot: r.replaceBackends, applyChanges: r.applyBackendChanges, cache: topiccache.New(),
		announced: make(chan struct{}, 1),
	}
	r.backendList.relay = r.newRelay(r.backendList)
	r.newPoisonRecords()
}

// followConfiguration keeps the newest configuration active until ctx ends.
func (r *Router) followConfiguration(ctx context.Context) {
	go r.fetchFromPeers(ctx, r.configurations)
	go r.applyConfigurations(ctx)
	r.follow(ctx, r.configurations, func() {}, func(time.Time) {}, 0)
}

// followBackends keeps the fleet in step with the backend list until ctx ends.
func (r *Router) followBackends(ctx context.Context) {
	go r.fetchFromPeers(ctx, r.backendList)
	onCurrent := func() {
		now := time.Now()
		r.fleet.ExpireMissing(now)
		r.gateway.RecordListRead(now)
	}
	r.follow(ctx, r.backendList, onCurrent, r.fleet.RecordListUnavailable, backendListInterval)
}

func (r *Router) replaceBackends(records []platform.Record) {
	var entries []deployment.Backend
	for _, record := range records {
		if entry, ok := r.decodeBackend(record); ok {
			entries = append(entries, entry)
		}
	}
	now := time.Now()
	r.fleet.Replace(now, entries)
	r.gateway.RecordListRead(now)
	r.logger.Info("backend server list replaced", zap.Int("count", len(entries)))
}

func (r *Router) applyBackendChanges(records []platform.Record) {
	for _, record := range records {
		if record.Value == nil {
			r.ignoredEntries.forget(record.Key)
			r.fleet.Remove(time.Now(), deployment.BackendID(record.Key))
			r.logger.Info("backend server gone", zap.String("backend", record.Key))
			continue
		}
		entry, ok := r.decodeBackend(record)
		if ok && r.fleet.Put(entry) {
			r.logger.Info("backend server changed", zap.String("backend", record.Key), zap.String("address", string(entry.Address)),
				zap.Bool("draining", entry.Draining), zap.Int("first-layer", entry.Layers.First), zap.Int("end-layer", entry.Layers.End))
		}
	}
	r.gateway.RecordListRead(time.Now())
}

// recordStatement records what a backend server has said of itself in a report, an order's response
// or a health check.
func (r *Router) recordStatement(address deployment.Address, statement deployment.ServerStatement) {
	if by, leaves := r.fleet.RecordStatementAt(time.Now(), address, statement); leaves {
		r.logger.Info("server leaves", zap.String("backend", string(by.Server)), zap.Int64("born", by.StartedAt), zap.String("source", "call"))
	}
}

// decodeBackend decodes an entry of the backend list, and reports whether it describes a backend server
// of a service. One that does not is counted and logged. Where the service is not configured yet, the
// fleet keeps the entry aside, so that the entry is returned.
func (r *Router) decodeBackend(record platform.Record) (deployment.Backend, bool) {
	entry, err := platform.DecodeBackend(record.Key, record.Value)
	decoded := err == nil
	if decoded {
		err = r.fleet.Check(entry)
	}
	if _, configured := r.routingTable.Load(); err != nil && (configured || !decoded) {
		r.ignoredEntries.record(time.Now(), record.Key, err)
	}
	if err == nil {
		r.ignoredEntries.forget(record.Key)
	}
	return entry, decoded
}

// follow reads a consumer's topic until ctx ends, and rests while a peer reads it for this instance. It
// calls onCurrent whenever the list was shown to be current, and logs when reads begin to fail and when they
// succeed again.
func (r *Router) follow(ctx context.Context, c *consumer, onCurrent func(), onFailure func(now time.Time), interval time.Duration) {
	lost := false
	for ctx.Err() == nil {
		isolated := len(r.mesh.Connected()) == 0
		c.setIsolated(isolated)
		readsForAll := r.relayRole().readsStore
		call := c.next(time.Now(), intervalOf(interval, isolated), readsForAll)
		if rest, ok := call.(topiccache.Rest); ok {
			if rest.Current {
				onCurrent()
			}
			sleep(ctx, rest.For)
			continue
		}
		err := c.do(ctx, call, newestDelay(readsForAll))
		switch {
		case err != nil && !lost:
			r.logger.Info("store lost", zap.String("topic", c.topic), zap.Error(err))
		case err == nil && lost:
			r.logger.Info("store regained", zap.String("topic", c.topic))
		}
		lost = err != nil
		switch {
		case lost:
			onFailure(time.Now())
		case c.follows():
			onCurrent()
		}
	}
}

// intervalOf returns the interval between calls to the store.
func intervalOf(interval time.Duration, isolated bool) time.Duration {
	if isolated && interval > 0 {
		return isolatedListInterval
	}
	return interval
}

// newestDelay returns how long an instance waits for its peers before it reads the newest records, after the
// store has dropped some. The one that reads for all does not wait.
func newestDelay(readsForAll bool) time.Duration {
	if readsForAll {
		return 0
	}
	return rand.N(topiccache.NewestSpread)
}

func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
