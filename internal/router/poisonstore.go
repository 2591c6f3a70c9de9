package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// poisonWriteInterval is the interval at which an instance checks whether a record is due, and the minimum
	// interval between two writes.
	poisonWriteInterval = 500 * time.Millisecond
	// poisonReadTimeout is how long a starting instance waits for the records of the store.
	poisonReadTimeout = time.Second
	// poisonReadWait is how long a read waits for a new record. A new one ends it at once, and so does, within
	// seconds, a connection on which the store has become silent.
	poisonReadWait = 20 * time.Second
	// poisonRetryDelay is the least delay after a call has failed, and poisonCheckInterval the interval at which an
	// instance that need not read checks whether it must.
	poisonRetryDelay    = 500 * time.Millisecond
	poisonCheckInterval = 250 * time.Millisecond
)

// poisonRecords follows poisonTopic.
type poisonRecords struct {
	consumer *consumer

	mu     sync.Mutex
	kept   poison.Evidence // what the store holds under poisonRecordKey, as of keptAt
	keptAt time.Time
	// written is the digest of what this instance wrote last, 0 if the store may have lost it.
	written uint64
}

// newPoisonRecords creates the follower of poisonTopic. No peer reads the topic for others: what it tells is evidence,
// which peers send one another.
func (r *Router) newPoisonRecords() {
	r.poisonRecords = &poisonRecords{consumer: &consumer{
		store: r.store, logger: r.logger, topic: poisonTopic, wait: poisonReadWait,
		applySnapshot: r.applyAllPoisonRecords, applyChanges: r.applyPoisonRecords,
		cache: topiccache.New(), announced: make(chan struct{}, 1), relay: func(topiccache.Update) {}, skipsToNewest: true,
	}}
}

// setKept sets what the store holds, as of a time.
func (p *poisonRecords) setKept(now time.Time, kept poison.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept, p.keptAt = kept, now
}

// current returns what the store holds, as of now, and the digest of what this instance wrote last.
func (p *poisonRecords) current(now time.Time) (kept poison.Evidence, written uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kept.Older(now.Sub(p.keptAt)), p.written
}

func (p *poisonRecords) setWritten(digest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written = digest
}

// applyAllPoisonRecords merges the newest record of each key. One that this instance wrote may be lost.
func (r *Router) applyAllPoisonRecords(records []platform.Record) {
	r.poisonRecords.setWritten(0)
	r.poisonRecords.setKept(time.Now(), poison.Evidence{})
	r.applyPoisonRecords(records)
}

// applyPoisonRecords merges records, and tells the peers what was new: instances that could not tell them have put it
// there.
func (r *Router) applyPoisonRecords(records []platform.Record) {
	now := time.Now()
	for _, record := range records {
		evidence, err := decodePoisonRecord(now, record.Value)
		if err != nil {
			r.logger.Info("ignoring evidence on ends of backend servers", zap.String("key", record.Key), zap.Error(err))
			continue
		}
		if record.Key == poisonRecordKey {
			r.poisonRecords.setKept(now, evidence)
		}
		news := r.gateway.MergePoisonEvidence(now, deployment.InstanceID("store"), evidence)
		if news.Empty() {
			continue
		}
		r.logger.Info("evidence on ends of backend servers read", zap.Int("ends", len(news.Ends)), zap.String("key", record.Key))
		r.mesh.Broadcast(peer.PoisonEvidence{Evidence: news})
	}
}

// readPoisonRecords reads what the store holds, at most for poisonReadTimeout. Without the store, peers tell it.
func (r *Router) readPoisonRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, poisonReadTimeout)
	defer cancel()
	if err := r.poisonRecords.consumer.do(ctx, topiccache.ReadNewest{}, 0); err != nil {
		r.logger.Info("evidence on ends of backend servers not read", zap.Error(err))
	}
}

// readsPoisonRecords reports whether this instance reads the records itself: it reads the store for others, or is the
// first of a zone that hears from none that does. The others hear of new evidence from their peers.
func (r *Router) readsPoisonRecords(now time.Time) bool {
	return r.relayRole().readsStore || !r.backendList.receivesPushes(now) && r.mesh.FirstInZone(now)
}

// partitioned reports whether this instance has all that it knows of ends of backend servers kept, for instances that
// its peers and it can't tell: it hears nothing of a zone to which it is a bridge, or is the first of a zone in which
// it does not hear all.
func (r *Router) partitioned(now time.Time) bool {
	missing := r.mesh.MissingLinks(now)
	return missing.ToZone || missing.InZone && r.mesh.FirstInZone(now)
}

// followPoisonRecords reads new records while this instance has to, until ctx ends. What was kept before it started
// is read in any case.
func (r *Router) followPoisonRecords(ctx context.Context) {
	c := r.poisonRecords.consumer
	started := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		starting := now.Sub(started) < startupPhase // links are being opened
		_, complete := c.position()
		if complete && (starting || !r.readsPoisonRecords(now)) || r.backendList.storeAway(now) {
			sleep(ctx, poisonCheckInterval)
			continue
		}
		call := c.next(now, 0, true)
		if rest, ok := call.(topiccache.Rest); ok {
			sleep(ctx, rest.For)
		} else if err := c.do(ctx, call, 0); err != nil {
			sleep(ctx, poisonRetryDelay+rand.N(poisonRetryDelay))
		}
	}
}

// keepPoisonRecord writes what the store must hold when it does not, until ctx ends: what must outlive all instances
// if this instance is the first of its zone, and all that it knows if it is partitioned from others.
func (r *Router) keepPoisonRecord(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, poisonWriteInterval)
		now := time.Now()
		partitioned := r.partitioned(now)
		if !partitioned && !r.mesh.FirstInZone(now) || r.backendList.storeAway(now) {
			continue
		}
		if err := r.writePoisonRecord(ctx, partitioned); err != nil {
			r.logger.Info("evidence on ends of backend servers not written", zap.Error(err))
			sleep(ctx, poisonRetryDelay+rand.N(poisonRetryDelay))
		}
	}
}

// writePoisonRecord writes a record if one is due. The store takes it only if this instance has read all records
// before it, so that none replaces what its writer has not merged; else it reads them and decides anew.
func (r *Router) writePoisonRecord(ctx context.Context, partitioned bool) error {
	c := r.poisonRecords.consumer
	for {
		// All before the position is merged. The reader may merge more before the evidence is taken, never less.
		end, complete := c.position()
		now := time.Now()
		kept, written := r.poisonRecords.current(now)
		evidence, due := r.gateway.PoisonRecord(now, kept, partitioned)
		if !due || !complete {
			return nil
		}
		digest := poisonDigest(now, evidence)
		if digest == written {
			return nil
		}
		err := r.appendPoisonRecord(ctx, now, end, evidence)
		var status *platform.StatusError
		switch {
		case err == nil:
			r.poisonRecords.setWritten(digest)
			r.logger.Info("evidence on ends of backend servers written", zap.Int("ends", len(evidence.Ends)), zap.Bool("partitioned", partitioned))
			return nil
		case !errors.As(err, &status) || status.Status != http.StatusPreconditionFailed:
			return err
		}
		if err := c.do(ctx, topiccache.ReadChanges{From: end}, 0); err != nil {
			return err
		}
	}
}

// appendPoisonRecord appends a record if the topic ends at an offset.
func (r *Router) appendPoisonRecord(ctx context.Context, now time.Time, end platform.Offset, evidence poison.Evidence) error {
	value, err := encodePoisonRecord(now, evidence)
	if err != nil {
		return err
	}
	offset, err := r.store.Append(ctx, poisonTopic, 0, end, platform.EncodeKeyedRecord(poisonRecordKey, value))
	if err != nil {
		return err
	}
	record := platform.Record{Offset: offset, Key: poisonRecordKey, Value: value}
	r.poisonRecords.consumer.handle(time.Now(), topiccache.Update{From: end, Next: offset + 1, Records: []platform.Record{record}}, true)
	return nil
}
