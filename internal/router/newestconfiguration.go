package router

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/platform"
)

// newestConfiguration holds the newest record of the configuration until it is decoded. Records
// that come while an earlier one is decoded replace one another, since decoding a long one takes
// a large part of a small instance's processor time.
type newestConfiguration struct {
	mu      sync.Mutex
	record  *platform.Record
	offered chan struct{} // signalled when a record is offered
}

func newNewestConfiguration() *newestConfiguration {
	return &newestConfiguration{offered: make(chan struct{}, 1)}
}

// offer keeps the newest record of the configuration among some of its topic.
func (n *newestConfiguration) offer(records []platform.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, record := range records {
		if record.Key == platform.ConfigurationKey && record.Value != nil {
			n.record = &record
		}
	}
	if n.record == nil {
		return
	}
	select {
	case n.offered <- struct{}{}:
	default:
	}
}

// take returns the record that was offered last, nil if it was taken before.
func (n *newestConfiguration) take() *platform.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	record := n.record
	n.record = nil
	return record
}

// applyConfigurations puts the newest configuration into force until ctx ends. After each it
// rests as long as it took, so that other work gets its part of the processor.
func (r *Router) applyConfigurations(ctx context.Context) {
	r.readPoisonRecords(ctx) // no request is routed before
	go r.followPoisonRecords(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.newestConfiguration.offered:
		}
		started := time.Now()
		if record := r.newestConfiguration.take(); record != nil {
			r.applyConfiguration(*record)
			sleep(ctx, min(time.Since(started), maxApplyRest))
		}
	}
}

// maxApplyRest is the longest rest after a configuration was put into force. It is short beside
// the time within which the platform requires a new one to be active.
const maxApplyRest = 200 * time.Millisecond

func (r *Router) applyConfiguration(record platform.Record) {
	configuration, err := platform.DecodeConfiguration(record.Value)
	if err != nil {
		r.logger.Error("ignoring invalid configuration", zap.Int64("offset", int64(record.Offset)), zap.Error(err))
		return
	}
	r.fleet.AddServices(configuration.Services) // before requests are routed to them
	newer := r.routingTable.UpdateIfNewer(configuration)
	r.logger.Info("configuration", zap.Int64("version", int64(configuration.Version)), zap.Bool("in-force", newer))
}
