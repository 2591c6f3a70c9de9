package topiccache

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/platform"
)

// TestSinceReturnsChanges applies random records to a cache and polls it from time to
// time, each time from the offset reached before. The polled updates must add up to the
// same keys and values, also across purges of tombstones.
func TestSinceReturnsChanges(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		cache := New()
		cache.Replace(nil, 1)
		next := platform.Offset(1)
		want := map[string]string{}
		got := map[string]string{}
		position := platform.Offset(0)
		poll := func() {
			update, ok := cache.Since(position)
			if !ok {
				return
			}
			if update.Snapshot {
				got = map[string]string{}
			}
			for _, record := range update.Records {
				got[record.Key] = string(record.Value)
				if record.Value == nil {
					delete(got, record.Key)
				}
			}
			position = update.Next
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))
			record := platform.Record{Offset: next, Key: key}
			delete(want, key)
			if rapid.Bool().Draw(t, "kept") {
				record.Value = fmt.Appendf(nil, "v%d", next)
				want[key] = string(record.Value)
			}
			next++
			cache.Apply(Update{Records: []platform.Record{record}, Next: next})
			if rapid.IntRange(0, 9).Draw(t, "ask") == 0 {
				poll()
			}
			if rapid.IntRange(0, 30).Draw(t, "forget") == 0 {
				cache.purgeTombstones()
			}
		}
		poll()
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestCacheIgnoresOlderRecords(t *testing.T) {
	cache := New()
	cache.Replace([]platform.Record{{Offset: 8, Key: "config", Value: []byte("new")}}, 9)
	cache.Replace([]platform.Record{{Offset: 3, Key: "config", Value: []byte("old")}}, 4)
	cache.Apply(Update{Records: []platform.Record{{Offset: 5, Key: "config", Value: []byte("old")}}, Next: 6})
	update, ok := cache.Since(0)
	assert.Assert(t, ok)
	assert.Equal(t, string(update.Records[0].Value), "new")
}
