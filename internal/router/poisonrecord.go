package router

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/platform"
)

// poisonTopic keeps what must be known of ends of backend servers after all instances have ended at once.
// Each zone has one record, which its first instance writes when that changes.
var poisonTopic = platform.KeyedTopic("poison")

const (
	// poisonWriteInterval is the interval at which an instance checks for a change, and the minimum
	// interval between two writes.
	poisonWriteInterval = 500 * time.Millisecond
	// poisonReadTimeout is how long a starting instance waits for the records of the store, and
	// poisonReadInterval the least interval after which it tries again, beside its requests.
	poisonReadTimeout  = time.Second
	poisonReadInterval = time.Second
	// poisonTimeBytes is the length of the time at the beginning of a record.
	poisonTimeBytes = 8
)

var errNoEvidence = errors.New("record holds no evidence")

// encodePoisonRecord returns a record: the Unix time in milliseconds (8 bytes, big-endian), from which
// its ages count, and the evidence as a message to a peer.
func encodePoisonRecord(now time.Time, evidence poison.Evidence) ([]byte, error) {
	message, err := peer.Encode(peer.PoisonEvidence{Evidence: evidence})
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, uint64(now.UnixMilli())), message...), nil
}

// decodePoisonRecord returns the evidence of a record as of now. A record of the future, as clocks
// differ, counts as new.
func decodePoisonRecord(now time.Time, record []byte) (poison.Evidence, error) {
	if len(record) < poisonTimeBytes {
		return poison.Evidence{}, errNoEvidence
	}
	message, err := peer.Decode(record[poisonTimeBytes:])
	if err != nil {
		return poison.Evidence{}, fmt.Errorf("%w: %w", errNoEvidence, err)
	}
	evidence, ok := message.(peer.PoisonEvidence)
	if !ok {
		return poison.Evidence{}, errNoEvidence
	}
	written := time.UnixMilli(int64(binary.BigEndian.Uint64(record)))
	return evidence.Evidence.Older(max(0, now.Sub(written))), nil
}

// readPoisonRecords merges what earlier instances have kept, and reports whether that was read. Without the
// store, peers tell it.
func (r *Router) readPoisonRecords(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, poisonReadTimeout)
	defer cancel()
	batch, err := r.store.LatestByKey(ctx, poisonTopic)
	if err != nil {
		r.logger.Info("evidence on ends of backend servers not read", zap.Error(err))
		return false
	}
	now := time.Now()
	for _, record := range batch.Records {
		evidence, err := decodePoisonRecord(now, record.Value)
		if err != nil {
			r.logger.Info("ignoring evidence on ends of backend servers", zap.String("key", record.Key), zap.Error(err))
			continue
		}
		r.gateway.MergePoisonEvidence(now, deployment.InstanceID("store"), evidence)
	}
	r.poisonRead.Store(true)
	return true
}

// retryPoisonRecords reads the records as soon as the store lets it, at intervals that differ between
// instances, until ctx ends.
func (r *Router) retryPoisonRecords(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, poisonReadInterval+rand.N(poisonReadInterval))
		if r.readPoisonRecords(ctx) {
			return
		}
	}
}

// keepPoisonEvidence writes what must outlive all instances when it has changed, if this instance is the
// first of its zone, until ctx ends. It writes nothing before it has read what its record would replace.
func (r *Router) keepPoisonEvidence(ctx context.Context) {
	var written uint64
	for ctx.Err() == nil {
		sleep(ctx, poisonWriteInterval)
		now := time.Now()
		evidence := r.gateway.LastingPoisonEvidence(now)
		digest := poisonDigest(now, evidence)
		if evidence.Empty() || digest == written || !r.poisonRead.Load() {
			continue
		}
		if active := r.activeInZone(); len(active) == 0 || active[0] != r.settings.Instance {
			continue
		}
		if err := r.writePoisonRecord(ctx, now, evidence); err != nil {
			r.logger.Info("evidence on ends of backend servers not written", zap.Error(err))
			continue
		}
		written = digest
	}
}

func (r *Router) writePoisonRecord(ctx context.Context, now time.Time, evidence poison.Evidence) error {
	value, err := encodePoisonRecord(now, evidence)
	if err != nil {
		return err
	}
	_, err = r.store.Append(ctx, poisonTopic, 0, platform.AnyOffset, platform.EncodeKeyedRecord(string(r.settings.Zone), value))
	return err
}

// poisonDigest identifies evidence that was told now, but for the ages of ends, which change all the time.
func poisonDigest(now time.Time, evidence poison.Evidence) uint64 {
	var lines []string
	for _, end := range evidence.Ends {
		for _, blamed := range end.Blamed {
			lines = append(lines, fmt.Sprint(end.Incarnation, blamed))
		}
	}
	for _, trial := range evidence.Trials {
		lines = append(lines, fmt.Sprint(trial.Key, now.Add(-trial.Age).Unix()))
	}
	slices.Sort(lines)
	return xxhash.Sum64String(fmt.Sprint(lines))
}
