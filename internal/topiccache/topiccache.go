// Package topiccache keeps the latest record of each key of a topic, so that an
// instance that can't read the platform's store can get them from another one, and
// decides what an instance reads of the topic and takes from others.
//
// Usage: ask a Reader what to read, record what came of it, and apply to a Cache what
// the Reader takes:
//
//	switch call := reader.Next(now, interval, readsForAll).(type) { ... }
//	switch reader.Record(now, topiccache.StoreUpdate{Update: update}) {
//	case topiccache.Everything:
//		cache.Replace(update.Records, update.Next)
//	case topiccache.Changes:
//		cache.Apply(update)
//	}
//
// A Fetch decides which peer is asked for records, and peers' requests are answered from
// the Cache:
//
//	update, ok := cache.Since(from)
//
// A cache ignores what is older than its contents. Its size is that of the topic's
// keys and the tombstones of deleted ones. The tombstones are purged after more than 1024
// deletions; a peer whose offset is older than the last purge gets a snapshot.
package topiccache

import (
	"sync"

	"mulberryhead.org/mulberryhead/platform"
)

// maxDeletions is the number of deletions since the last purge above which all tombstones
// are purged.
const maxDeletions = 1024

// Update is a range of a topic's changes, or a snapshot of the topic.
type Update struct {
	// Snapshot reports whether Records hold all keys, so that a missing key has been
	// deleted.
	Snapshot bool
	From     platform.Offset // offset at which the changes begin, unless Snapshot is set
	// Compacted reports whether changes were made from a snapshot: the deletions of keys that were created
	// and deleted after From are missing. Such changes apply at From only, as who is further may hold such
	// a key.
	Compacted bool
	Next      platform.Offset // offset after the last change
	Records   []platform.Record
}

// Cache holds the latest record of each key of one topic. It is safe for
// concurrent use.
type Cache struct {
	mu           sync.Mutex
	records      map[string]platform.Record
	deletions    int             // applied since the last purge
	historyStart platform.Offset // changes before this offset are incomplete
	next         platform.Offset // 0 while nothing has been applied
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{records: map[string]platform.Record{}}
}

// Replace replaces the contents with the latest record of each key, as of offset next.
// It does nothing if the cache is already past next.
func (c *Cache) Replace(records []platform.Record, next platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next < c.next {
		return
	}
	c.records = make(map[string]platform.Record, len(records))
	for _, record := range records {
		c.records[record.Key] = record
	}
	c.deletions = 0
	c.historyStart = next
	c.next = next
}

// Apply adds the changes that follow the contents of the cache. Records that the cache is
// past are skipped. After compacted changes, readers at an earlier offset need a snapshot.
func (c *Cache) Apply(update Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Next <= c.next {
		return
	}
	for _, record := range update.Records {
		if record.Offset < c.next {
			continue
		}
		if record.Value == nil {
			c.deletions++
		}
		c.records[record.Key] = record
	}
	c.next = update.Next
	if c.deletions > maxDeletions || update.Compacted {
		c.purgeTombstones()
	}
}

// purgeTombstones removes the deleted keys. Readers at an earlier offset need a snapshot
// from then on.
func (c *Cache) purgeTombstones() {
	for key, record := range c.records {
		if record.Value == nil {
			delete(c.records, key)
		}
	}
	c.deletions = 0
	c.historyStart = c.next
}

// Since returns the changes at and after an offset, or a snapshot if some of them may be
// missing or the offset is 0, as from who has nothing. It returns false if the cache holds nothing newer.
func (c *Cache) Since(from platform.Offset) (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == 0 || from >= c.next {
		return Update{}, false
	}
	update := Update{Snapshot: from < c.historyStart || from == 0, From: from, Next: c.next}
	for _, record := range c.records {
		if update.Snapshot && record.Value != nil || !update.Snapshot && record.Offset >= from {
			update.Records = append(update.Records, record)
		}
	}
	return update, true
}
