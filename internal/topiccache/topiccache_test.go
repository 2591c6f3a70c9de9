package topiccache

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/platform"
)

// TestSinceGivesWhatChanged writes random records into a cache and lets a follower
// ask from time to time, each time with what it has. It must end with the same keys.
func TestSinceGivesWhatChanged(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		cache := New()
		cache.Replace(nil, 1)
		next := platform.Offset(1)
		truth := map[string]string{}
		follower := map[string]string{}
		has := platform.Offset(0)
		ask := func() {
			part, ok := cache.Since(has)
			if !ok {
				return
			}
			if part.Snapshot {
				follower = map[string]string{}
			}
			for _, record := range part.Records {
				follower[record.Key] = string(record.Value)
				if record.Value == nil {
					delete(follower, record.Key)
				}
			}
			has = part.Next
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))
			record := platform.Record{Offset: next, Key: key}
			delete(truth, key)
			if rapid.Bool().Draw(t, "kept") {
				record.Value = fmt.Appendf(nil, "v%d", next)
				truth[key] = string(record.Value)
			}
			next++
			cache.Apply([]platform.Record{record}, next)
			if rapid.IntRange(0, 9).Draw(t, "ask") == 0 {
				ask()
			}
			if rapid.IntRange(0, 30).Draw(t, "forget") == 0 {
				cache.forgetDropped()
			}
		}
		ask()
		if fmt.Sprint(follower) != fmt.Sprint(truth) {
			t.Fatalf("follower has %v, not %v", follower, truth)
		}
	})
}

func TestCacheNeverGoesBack(t *testing.T) {
	cache := New()
	cache.Replace([]platform.Record{{Offset: 8, Key: "config", Value: []byte("new")}}, 9)
	cache.Replace([]platform.Record{{Offset: 3, Key: "config", Value: []byte("old")}}, 4)
	cache.Apply([]platform.Record{{Offset: 5, Key: "config", Value: []byte("old")}}, 6)
	part, ok := cache.Since(0)
	assert.Assert(t, ok)
	assert.Equal(t, string(part.Records[0].Value), "new")
}
