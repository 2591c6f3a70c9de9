package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

// topicUnderTest is a topic in memory that may fail or have lost its history.
type topicUnderTest struct {
	records []platform.Record
	first   int
	down    bool
}

var errDown = errors.New("the store is down")

func (s *topicUnderTest) newest() map[string]platform.Record {
	newest := map[string]platform.Record{}
	for _, record := range s.records {
		newest[record.Key] = record
		if record.Value == nil {
			delete(newest, record.Key)
		}
	}
	return newest
}

func (s *topicUnderTest) end() platform.Offset { return platform.Offset(len(s.records)) }

func (s *topicUnderTest) LatestByKey(context.Context, string) (platform.Batch, error) {
	if s.down {
		return platform.Batch{}, errDown
	}
	batch := platform.Batch{LogEnd: s.end()}
	for _, record := range s.newest() {
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

func (s *topicUnderTest) Read(_ context.Context, _ string, _ int, from platform.Offset, _ time.Duration) (platform.Batch, error) {
	switch {
	case s.down:
		return platform.Batch{}, errDown
	case int(from) < s.first:
		return platform.Batch{}, &platform.StatusError{Status: http.StatusGone, LogStart: platform.Offset(s.first)}
	}
	return platform.Batch{LogEnd: s.end(), Next: s.end(), Records: s.records[from:]}, nil
}

// follower is a tail with what it has learned.
type follower struct {
	tail  *tail
	known map[string]string
	fed   []topiccache.Update // to be handed on, in order
}

func newFollower(store reader) *follower {
	f := &follower{known: map[string]string{}}
	f.tail = &tail{
		store: store, topic: platform.KeyedTopic("test"), cache: topiccache.New(),
		all: func(records []platform.Record) {
			f.known = map[string]string{}
			f.learn(records)
		},
		some: f.learn,
		feed: func(part topiccache.Update) { f.fed = append(f.fed, part) },
	}
	return f
}

func (f *follower) learn(records []platform.Record) {
	for _, record := range records {
		f.known[record.Key] = string(record.Value)
		if record.Value == nil {
			delete(f.known, record.Key)
		}
	}
}

// TestTailsAgree lets one tail read and feed another, with outages, lost history,
// lost feeds and questions to the peer in any order. Neither may go back, and both
// must end with what the topic holds.
func TestTailsAgree(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		store := &topicUnderTest{}
		reads, fed := newFollower(store), newFollower(store)
		now := time.Unix(1000, 0)
		handOn := func() {
			for _, part := range reads.fed {
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					continue
				}
				if !fed.tail.takeFed(now, part) {
					_, next := fed.tail.position()
					if answer, ok := reads.tail.cache.Since(next); ok {
						fed.tail.take(now, answer, false)
					}
				}
			}
			reads.fed = nil
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			_, before := fed.tail.position()
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				record := platform.Record{Offset: store.end(), Key: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))}
				if rapid.Bool().Draw(t, "kept") {
					record.Value = fmt.Appendf(nil, "v%d", record.Offset)
				}
				store.records = append(store.records, record)
			case 2, 3:
				_ = reads.tail.step(context.Background()) // fails while the store is down
				handOn()
			case 4:
				_ = fed.tail.step(context.Background())
			case 5:
				store.down = !store.down
			case 6:
				store.first = len(store.records)
			}
			if _, after := fed.tail.position(); after < before {
				t.Fatalf("went back from %d to %d", before, after)
			}
		}
		store.down = false
		for range 3 { // lost history takes a step more
			_ = reads.tail.step(context.Background())
			handOn()
			_ = fed.tail.step(context.Background())
		}
		want := map[string]string{}
		for key, record := range store.newest() {
			want[key] = string(record.Value)
		}
		for _, f := range []*follower{reads, fed} {
			if fmt.Sprint(f.known) != fmt.Sprint(want) {
				t.Fatalf("knows %v, not %v", f.known, want)
			}
		}
	})
}
