// Package topiccache keeps the newest record of each key of a topic, so that an
// instance that the platform's store turns away can learn them from another one.
//
// Usage: feed a Cache with what is read of the topic, from the store or from a
// peer, and answer peers from it:
//
//	cache.Replace(records, next)
//	cache.Apply(records, next)
//	update, ok := cache.Since(from)
//
// A cache never goes back: what is older than what it holds is ignored. Its size
// is that of the topic's keys; dropped keys are remembered for the time that it
// takes an instance to ask.
package topiccache

import (
	"sync"

	"mulberryhead.org/mulberryhead/platform"
)

// mostDropped bounds how many dropped keys are remembered.
const mostDropped = 1024

// Update is what a cache knows from an offset on.
type Update struct {
	// Snapshot says that Records are all keys, so that a key which is missing was
	// dropped.
	Snapshot bool
	From     platform.Offset // what was known before, where not Snapshot
	Next     platform.Offset
	Records  []platform.Record
}

// Cache holds the newest record of each key of one topic. It is safe for
// concurrent use.
type Cache struct {
	mu      sync.Mutex
	records map[string]platform.Record
	dropped int
	first   platform.Offset // changes before it may be missing
	next    platform.Offset // 0 before the first reading
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{records: map[string]platform.Record{}}
}

// Replace takes the newest record of each key, as of next.
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
	c.dropped = 0
	c.first = next
	c.next = next
}

// Apply takes the records that follow what the cache holds, up to next.
func (c *Cache) Apply(records []platform.Record, next platform.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next <= c.next {
		return
	}
	for _, record := range records {
		if record.Offset < c.next {
			continue
		}
		if record.Value == nil {
			c.dropped++
		}
		c.records[record.Key] = record
	}
	c.next = next
	if c.dropped > mostDropped {
		c.forgetDropped()
	}
}

func (c *Cache) forgetDropped() {
	for key, record := range c.records {
		if record.Value == nil {
			delete(c.records, key)
		}
	}
	c.dropped = 0
	c.first = c.next
}

// Since returns what has changed from an offset on, false where the cache knows
// nothing newer.
func (c *Cache) Since(from platform.Offset) (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == 0 || from >= c.next {
		return Update{}, false
	}
	part := Update{Snapshot: from < c.first, From: from, Next: c.next}
	for _, record := range c.records {
		if part.Snapshot && record.Value != nil || !part.Snapshot && record.Offset >= from {
			part.Records = append(part.Records, record)
		}
	}
	return part, true
}
