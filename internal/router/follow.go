package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// configurationWait is how long a read waits for a new version. It is short of
	// fedTime, so that those who are fed need not read, and of the bound on
	// versions, so that a connection that has gone silent is noticed.
	configurationWait = 800 * time.Millisecond
	// backendsEvery is the pause between readings of the list, well inside the
	// bound on leaving backend servers.
	backendsEvery = 600 * time.Millisecond
	// fedPause is the pause between looks whether a peer still reads.
	fedPause = 100 * time.Millisecond
	// failurePause is the pause after a call that failed.
	failurePause = 200 * time.Millisecond
)

// newTails prepares the reading of the configuration and of the list of backend
// servers.
func (r *Router) newTails() {
	r.configurations = &tail{
		store: r.store, topic: platform.ConfigurationTopic, wait: configurationWait,
		all: r.takeConfigurations, some: r.takeConfigurations, cache: topiccache.New(),
	}
	r.configurations.feed = r.feeder(r.configurations)
	r.list = &tail{
		store: r.store, topic: platform.BackendsTopic,
		all: r.replaceBackends, some: r.takeBackends, cache: topiccache.New(),
	}
	r.list.feed = r.feeder(r.list)
}

// followConfiguration keeps the newest configuration in force.
func (r *Router) followConfiguration(ctx context.Context) {
	go r.askPeers(ctx, r.configurations)
	r.follow(ctx, r.configurations, func() {}, func(time.Time) {}, 0)
}

func (r *Router) takeConfigurations(records []platform.Record) {
	for _, record := range records {
		if record.Key != platform.ConfigurationKey || record.Value == nil {
			continue
		}
		configuration, err := platform.DecodeConfiguration(record.Value)
		if err != nil {
			r.logger.Error("configuration not usable", zap.Int64("offset", int64(record.Offset)), zap.Error(err))
			continue
		}
		newer := r.current.UpdateIfNewer(configuration)
		r.logger.Info("configuration", zap.Int64("version", int64(configuration.Version)), zap.Bool("in-force", newer))
	}
}

// followBackends keeps the list of backend servers.
func (r *Router) followBackends(ctx context.Context) {
	go r.askPeers(ctx, r.list)
	succeeded := func() { r.fleet.ExpireMissing(time.Now()) }
	r.follow(ctx, r.list, succeeded, r.fleet.RecordListUnavailable, backendsEvery)
}

func (r *Router) replaceBackends(records []platform.Record) {
	var entries []deployment.Backend
	for _, record := range records {
		if entry, ok := r.decodeBackend(record); ok {
			entries = append(entries, entry)
		}
	}
	r.fleet.Replace(time.Now(), entries)
	r.logger.Info("backend servers read", zap.Int("count", len(entries)))
}

func (r *Router) takeBackends(records []platform.Record) {
	for _, record := range records {
		if record.Value == nil {
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
}

// decodeBackend reads an entry. What can't be read names no backend server to use.
func (r *Router) decodeBackend(record platform.Record) (deployment.Backend, bool) {
	entry, err := platform.DecodeBackend(record.Key, record.Value)
	if err != nil {
		r.foreign.Do(func() { r.logger.Info("entry not usable", zap.String("key", record.Key), zap.Error(err)) })
		return entry, false
	}
	return entry, true
}

// follow steps a tail until ctx ends, and logs when the store is lost and back.
func (r *Router) follow(ctx context.Context, t *tail, succeeded func(), failed func(now time.Time), every time.Duration) {
	lost := false
	for ctx.Err() == nil {
		started := time.Now()
		if t.fed(started) && !r.feeding().all {
			succeeded()
			sleep(ctx, fedPause)
			continue
		}
		err := t.step(ctx)
		pause := every - time.Since(started)
		switch {
		case err != nil:
			failed(time.Now())
			pause = failurePause
			if !lost {
				r.logger.Info("store lost", zap.String("topic", t.topic), zap.Error(err))
			}
		case lost:
			r.logger.Info("store regained", zap.String("topic", t.topic))
		}
		lost = err != nil
		if !lost {
			succeeded()
		}
		if pause > 0 {
			sleep(ctx, pause)
		}
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
