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

// reader is what a tail reads from.
type reader interface {
	LatestByKey(ctx context.Context, topic string) (platform.Batch, error)
	Read(ctx context.Context, topic string, part int, from platform.Offset, wait time.Duration) (platform.Batch, error)
}

// tail follows a keyed topic: first the newest record of each key, then what comes
// after. Where records were dropped in between, it starts over. What the store does
// not give comes from peers.
type tail struct {
	store reader
	topic string
	wait  time.Duration
	all   func(records []platform.Record) // the newest of each key
	some  func(records []platform.Record) // what came since
	cache *topiccache.Cache

	mu     sync.Mutex // held while records are taken, so that they are taken in order
	synced bool
	next   platform.Offset
	heard  time.Time // of the store, itself or through a peer that has just read
	// heardOfPeer is when a peer that has just read fed this instance last.
	heardOfPeer time.Time
	feed        func(part topiccache.Update)
}

// step makes one call to the store.
func (t *tail) step(ctx context.Context) error {
	synced, from := t.position()
	if !synced {
		batch, err := t.store.LatestByKey(ctx, t.topic)
		if err != nil {
			return err
		}
		t.take(time.Now(), topiccache.Update{Snapshot: true, Next: batch.LogEnd, Records: batch.Records}, true)
		return nil
	}
	batch, err := t.store.Read(ctx, t.topic, 0, from, t.wait)
	var status *platform.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone || err == nil && batch.LogStart > from {
		t.startOver()
		return nil
	}
	if err != nil {
		return err
	}
	t.take(time.Now(), topiccache.Update{From: from, Next: batch.Next, Records: batch.Records}, true)
	return nil
}

func (t *tail) position() (synced bool, next platform.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced, t.next
}

func (t *tail) startOver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = false
}

// fed tells whether a peer reads for this instance: one that has just done so.
func (t *tail) fed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced && now.Sub(t.heardOfPeer) < fedTime
}

// unfed makes this instance read itself.
func (t *tail) unfed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heardOfPeer = time.Time{}
}

// fedTime is how long an instance leaves the reading to a peer that has read. It is
// well inside the bounds on versions and on leaving backend servers.
const fedTime = 1100 * time.Millisecond

// overdue tells whether the store has not answered for longer than it may.
func (t *tail) overdue(now time.Time, allowed time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.heard) > allowed
}

// take takes records that this instance has read of the store, or that a peer has.
// What is older than what was taken before is left out.
func (t *tail) take(now time.Time, part topiccache.Update, fromStore bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fromStore {
		t.heard = now
		t.feed(part)
	}
	if part.Snapshot {
		t.takeWhole(part, fromStore)
		return
	}
	if !t.synced || part.From > t.next || part.Next <= t.next {
		return // records in between are missing, or nothing is new
	}
	records := part.Records
	if fromStore {
		records = after(records, t.next) // a peer was faster
	}
	t.some(records)
	t.next = part.Next
	t.cache.Apply(records, part.Next)
}

// after returns the records from an offset on, which are in order.
func after(records []platform.Record, offset platform.Offset) []platform.Record {
	for len(records) > 0 && records[0].Offset < offset {
		records = records[1:]
	}
	return records
}

// takeFed takes records that a peer has just read. It reports false where records
// before them are missing here.
func (t *tail) takeFed(now time.Time, part topiccache.Update) bool {
	t.take(now, part, false)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.synced || t.next < part.Next {
		return false
	}
	t.heard = now
	t.heardOfPeer = now
	return true
}

// takeWhole takes all keys. From the store they count in any case, since its
// offsets start anew where it has lost the topic.
func (t *tail) takeWhole(part topiccache.Update, fromStore bool) {
	if !fromStore && part.Next <= t.next {
		return
	}
	if fromStore && t.synced && part.Next < t.next {
		return
	}
	t.all(part.Records)
	t.next = part.Next
	t.synced = true
	t.cache.Replace(part.Records, part.Next)
}
