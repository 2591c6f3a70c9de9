package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

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
// progress while the store is unavailable.
type consumer struct {
	store         topicReader
	topic         string
	wait          time.Duration
	applySnapshot func(records []platform.Record) // receives the latest record of every key
	applyChanges  func(records []platform.Record) // receives the records that follow
	cache         *topiccache.Cache
	announced     chan struct{} // signalled when a peer announces newer records
	// skipsToNewest is set if the newest record of each key is read in place of all records when
	// a read does not reach the end, as records are long and only the newest of a key counts.
	skipsToNewest bool

	mu         sync.Mutex // held while records are applied, so that they are applied in order
	synced     bool
	next       platform.Offset
	lastUpdate time.Time // of the last response of the store or push of a peer
	// lastPush is when a peer last pushed what it had just read from the store.
	lastPush   time.Time
	readsOnce  bool // set by readOnce until the read is done
	isolated   bool // there are no links to other instances
	storeFails bool // the last call to the store failed
	fetch      topiccache.Fetch
	heardNext  platform.Offset // the newest offset that a peer has told
	// relay sends what was read from the store to the peers. It is called with mu held.
	relay func(update topiccache.Update)
}

// step makes one call to the store.
func (c *consumer) step(ctx context.Context) error {
	err := c.read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFails = err != nil
	return err
}

func (c *consumer) read(ctx context.Context) error {
	synced, from := c.position()
	if !synced {
		return c.readNewest(ctx)
	}
	batch, err := c.store.Read(ctx, c.topic, 0, from, c.readWait())
	var status *platform.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone || err == nil && batch.LogStart > from {
		c.resync()
		return nil
	}
	if err != nil {
		return err
	}
	if c.skipsToNewest && batch.Next < batch.LogEnd {
		return c.readNewest(ctx)
	}
	c.handle(time.Now(), topiccache.Update{From: from, Next: batch.Next, Records: batch.Records}, true)
	return nil
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

// readNewest reads the newest record of each key.
func (c *consumer) readNewest(ctx context.Context) error {
	batch, err := c.store.LatestByKey(ctx, c.topic)
	if err != nil {
		return err
	}
	c.handle(time.Now(), topiccache.Update{Snapshot: true, Next: batch.LogEnd, Records: batch.Records}, true)
	return nil
}

func (c *consumer) position() (synced bool, next platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced, c.next
}

// resync makes the next step read the latest record of each key.
func (c *consumer) resync() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.synced = false
}

// receivesPushes reports whether a peer reads the topic for this instance: the consumer is
// synced and the last push is more recent than maxPushAge.
func (c *consumer) receivesPushes(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced && now.Sub(c.lastPush) < maxPushAge
}

// readOnce makes this instance read the store once itself, as a peer's push has told it of records
// that it lacks.
func (c *consumer) readOnce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPush = time.Time{}
	c.readsOnce = true
}

// maxPushAge is how long after a push an instance leaves reading the store to its peer.
// It is well below the times within which the platform requires that a new configuration
// is active and that a draining backend server gets no more new requests.
const maxPushAge = 1100 * time.Millisecond

// handle applies an update that this instance, or a peer, has read from the store. It
// skips changes that end at or before the offset reached or begin after it, and all changes
// while the consumer is not synced. Of a read from the store it also skips the single
// records before that offset; those of a peer's update are applied again.
func (c *consumer) handle(now time.Time, update topiccache.Update, fromStore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fromStore {
		c.lastUpdate = now
		if c.readsOnce {
			c.readsOnce, c.lastPush = false, now
		}
		c.relay(update)
	}
	if update.Snapshot {
		c.handleSnapshot(update, fromStore)
		return
	}
	if !c.synced || update.From > c.next || update.Next <= c.next {
		return // records in between are missing, or there are no new ones
	}
	records := update.Records
	if fromStore {
		records = recordsFrom(records, c.next) // a peer may have delivered some of them during the read
	}
	c.applyChanges(records)
	c.next = update.Next
	c.cache.Apply(records, update.Next)
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
	c.handle(now, update, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced || c.next < update.Next {
		return false
	}
	c.lastUpdate = now
	c.lastPush = now
	return true
}

// handleSnapshot replaces all keys. A peer's snapshot must be newer than what was
// applied. One from the store may be older while this consumer is not synced, since
// offsets restart when the store has lost the topic; if a peer has synced the consumer
// during the read, the older one is skipped.
func (c *consumer) handleSnapshot(update topiccache.Update, fromStore bool) {
	if !fromStore && (update.Next < c.next || update.Next == c.next && c.synced) {
		return
	}
	if fromStore && c.synced && update.Next < c.next {
		return
	}
	c.applySnapshot(update.Records)
	c.next = update.Next
	c.synced = true
	c.cache.Replace(update.Records, update.Next)
}
