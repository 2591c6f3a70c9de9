package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

// topicReader is the part of platform.StoreClient that a consumer uses.
type topicReader interface {
	LatestByKey(ctx context.Context, topic string) (platform.Batch, error)
	Read(ctx context.Context, topic string, partition int, from platform.Offset, wait time.Duration) (platform.Batch, error)
}

// consumer follows a keyed topic of the store: it reads the latest record of each key,
// then the records that follow. If the store has dropped records that it has not read,
// it reads the latest records again. Updates from peers are applied too, so that it makes
// progress while the store is unavailable. What to read and to take is decided by
// topiccache.Reader.
type consumer struct {
	store         topicReader
	logger        *zap.Logger
	topic         string
	wait          time.Duration
	applySnapshot func(records []platform.Record) // receives the latest record of every key
	applyChanges  func(records []platform.Record) // receives the records that follow
	cache         *topiccache.Cache
	announced     chan struct{} // signalled when a peer is to be asked for records
	// skipsToNewest is set if the newest record of each key is read in place of all records when
	// a read does not reach the end, as records are long and only the newest of a key counts.
	skipsToNewest bool

	mu        sync.Mutex // held while records are applied, so that they are applied in order
	reader    topiccache.Reader
	isolated  bool // there are no links to other instances
	fetch     topiccache.Fetch
	heardNext platform.Offset // the newest offset that a peer has told
	// relay sends what was read from the store to the peers. It is called with mu held.
	relay func(update topiccache.Update)
}

// next returns what to do now.
func (c *consumer) next(now time.Time, interval time.Duration, readsForAll bool) topiccache.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Next(now, interval, readsForAll)
}

// do makes a call to the store, or two if the first one shows that records were dropped. delay is how long peers
// may take to send what replaces those; with 0 the newest records are read at once.
func (c *consumer) do(ctx context.Context, call topiccache.Call, delay time.Duration) error {
	switch call := call.(type) {
	case topiccache.ReadChanges:
		return c.read(ctx, call.From, delay)
	case topiccache.ReadNewest:
		return c.readNewest(ctx)
	case topiccache.Rest:
	}
	return nil
}

// read reads the records that follow the position. If the store has dropped some of them, it reads the newest
// record of each key, at once if delay is 0; else the next call does so, after delay.
func (c *consumer) read(ctx context.Context, from platform.Offset, delay time.Duration) error {
	batch, err := c.store.Read(ctx, c.topic, 0, from, c.readWait())
	if first, dropped := droppedBefore(from, batch, err); dropped {
		c.recordDropped(time.Now(), topiccache.Dropped{From: from, First: first, Delay: delay})
		if delay == 0 && !c.follows() {
			return c.readNewest(ctx)
		}
		return nil
	}
	if err != nil {
		return c.fail(err)
	}
	if c.skipsToNewest && batch.Next < batch.LogEnd && c.readNewest(ctx) == nil {
		return nil
	}
	c.handle(time.Now(), topiccache.Update{From: from, Next: batch.Next, Records: batch.Records}, true)
	return nil
}

// droppedBefore reports whether the store has dropped records from an offset on, by the response to a read
// from there, and the oldest record that it has, 0 if it did not say.
func droppedBefore(from platform.Offset, batch platform.Batch, err error) (platform.Offset, bool) {
	var status *platform.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return status.LogStart, true
	}
	return batch.LogStart, err == nil && batch.LogStart > from
}

// readNewest reads the newest record of each key.
func (c *consumer) readNewest(ctx context.Context) error {
	batch, err := c.store.LatestByKey(ctx, c.topic)
	if err != nil {
		return c.fail(err)
	}
	c.handle(time.Now(), topiccache.Update{Snapshot: true, Next: batch.LogEnd, Records: batch.Records}, true)
	return nil
}

// fail records that a call to the store has failed, and returns the error.
func (c *consumer) fail(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader.Record(time.Now(), topiccache.Failed{})
	return err
}

// recordDropped records that the store has dropped records, and wakes the fetch from peers.
func (c *consumer) recordDropped(now time.Time, dropped topiccache.Dropped) {
	c.mu.Lock()
	c.reader.Record(now, dropped)
	follows := c.reader.Follows()
	c.mu.Unlock()
	c.logger.Info("store has dropped records", zap.String("topic", c.topic), zap.Int64("from", int64(dropped.From)),
		zap.Int64("first", int64(dropped.First)), zap.Duration("delay-ms", dropped.Delay), zap.Bool("reads-newest", !follows))
	if !follows {
		c.wakeFetch()
	}
}

// receivesPushes reports whether a peer reads the topic for this instance.
func (c *consumer) receivesPushes(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.ReceivesPushes(now)
}

// storeAway reports whether the store is away as far as this instance knows: its last call has failed, and no peer
// reads the topic for it.
func (c *consumer) storeAway(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Fails() && !c.reader.ReceivesPushes(now)
}

// setIsolated sets whether this instance has no links to others.
func (c *consumer) setIsolated(isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated = isolated
}

// readWait returns how long a read waits for new records.
func (c *consumer) readWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated && c.wait > 0 {
		return isolatedWait
	}
	return c.wait
}

// position returns the offset up to which the records are known, and whether the newest record of each key before
// it is.
func (c *consumer) position() (next platform.Offset, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Position()
}

// follows reports whether the store may have the records that follow the position.
func (c *consumer) follows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Follows()
}

// readOnce makes this instance read the store once itself, as a peer's push has told it of records
// that it lacks.
func (c *consumer) readOnce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader.ReadOnce()
}

// handle applies an update that this instance has read from the store, or that a peer holds.
func (c *consumer) handle(now time.Time, update topiccache.Update, fromStore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !fromStore {
		c.apply(now, topiccache.Copy{Update: update}, update)
		return
	}
	c.relay(update)
	next, _ := c.reader.Position()
	if !update.Snapshot {
		update.Records = recordsFrom(update.Records, next) // a peer may have delivered some of them during the read
	}
	c.apply(now, topiccache.StoreUpdate{Update: update}, update)
}

// apply records evidence and applies the update that it carries. It is called with mu held.
func (c *consumer) apply(now time.Time, evidence topiccache.Evidence, update topiccache.Update) {
	switch c.reader.Record(now, evidence) {
	case topiccache.Changes:
		c.applyChanges(update.Records)
		c.cache.Apply(update)
	case topiccache.Everything:
		c.applySnapshot(update.Records)
		c.cache.Replace(update.Records, update.Next)
	case topiccache.NoEffect:
	}
}

// recordsFrom returns the records at and after an offset. The records are ordered by
// offset.
func recordsFrom(records []platform.Record, offset platform.Offset) []platform.Record {
	for len(records) > 0 && records[0].Offset < offset {
		records = records[1:]
	}
	return records
}

// handlePush applies records that a peer has just read from the store. It returns false
// if this instance lacks earlier records and could not apply them.
func (c *consumer) handlePush(now time.Time, update topiccache.Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(now, topiccache.Push{Update: update}, update)
	next, complete := c.reader.Position()
	return complete && next >= update.Next
}
