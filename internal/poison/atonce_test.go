package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
)

// serversOfService is the number of servers that are lost at one moment in these tests.
const serversOfService = 3

// repeatedAtOnce returns the ends of servers within a few milliseconds, as told at a time, each with
// attempts of its own of some requests.
func repeatedAtOnce(at, now time.Time, requests ...Key) []End {
	var ends []End
	for i := range serversOfService {
		e := End{Incarnation: server(i), Age: now.Sub(at) - time.Duration(2*i)*time.Millisecond}
		for j, request := range requests {
			e.Blamed = append(e.Blamed, Blamed{Attempt: Attempt(100*i + j), Keys: []Key{request}})
		}
		ends = append(ends, e)
	}
	return ends
}

// TestRequestRepeatedAtOnceIsHeld guards against a request that ends all servers of a service each time
// that it is repeated at once, as their ends are taken for one.
func TestRequestRepeatedAtOnceIsHeld(t *testing.T) {
	tracker := NewTracker(0)
	now := at(2 * time.Second)
	tracker.Merge(now, Evidence{Ends: repeatedAtOnce(at(0), now, 7)})
	assert.Equal(t, tracker.Judge(now, []Key{7}), Held)
	assert.Equal(t, tracker.Judge(now, []Key{8}), Clear)
}

// TestLostAtOnceHoldsNoSoundRequest guards against blaming requests for servers that are lost at once
// by another cause: one that was answered lately, one that also ran elsewhere, or ran on paths through
// several of the servers.
func TestLostAtOnceHoldsNoSoundRequest(t *testing.T) {
	now := at(2 * time.Second)
	t.Run("answered-here", func(t *testing.T) {
		tracker := NewTracker(0)
		tracker.RecordBegun(at(-20*time.Second), []Key{7})
		news := tracker.Merge(now, Evidence{Ends: repeatedAtOnce(at(0), now, 7, 8)})
		assert.Equal(t, tracker.Judge(now, []Key{7}), Clear)
		assert.Equal(t, tracker.Judge(now, []Key{8}), Held)
		other := NewTracker(0)
		other.Merge(now, news)
		assert.Equal(t, other.Judge(now, []Key{7}), Clear, "the others are told that it was answered")
		assert.Equal(t, other.Judge(now, []Key{8}), Held)
	})
	t.Run("other-servers-too", func(t *testing.T) {
		tracker := NewTracker(0)
		ends := append(repeatedAtOnce(at(0), now, 7), End{Incarnation: server(9), Age: now.Sub(at(0))})
		tracker.Merge(now, Evidence{Ends: ends})
		assert.Equal(t, tracker.Judge(now, []Key{7}), Clear)
	})
	t.Run("paths", func(t *testing.T) {
		tracker := NewTracker(0)
		ends := repeatedAtOnce(at(0), now)
		for i := range ends {
			for path := range 5 {
				ends[i].Blamed = append(ends[i].Blamed, Blamed{Attempt: Attempt(path), Keys: []Key{7}})
			}
		}
		tracker.Merge(now, Evidence{Ends: ends})
		assert.Equal(t, tracker.Judge(now, []Key{7}), Clear)
	})
}

// TestProveLostAtOnce checks on random losses of servers at one moment that a request which ran on all of
// them is held, if no answer to it had begun lately, and that no other one is. Notices come in any order.
func TestProveLostAtOnce(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		lost := rapid.IntRange(heldEnds, 8).Draw(t, "lost")
		const repeated, answered, elsewhere = Key(1), Key(2), Key(3)
		now := at(2 * time.Second)
		tracker := NewTracker(0)
		before := time.Duration(rapid.IntRange(1, 29).Draw(t, "answered-before")) * time.Second
		notices := []Evidence{tracker.RecordBegun(at(-before), []Key{answered})}
		spared := rapid.IntRange(0, lost-1).Draw(t, "spared")
		for i := range lost {
			blamed := []Blamed{{Attempt: Attempt(10 * i), Keys: []Key{firstPart, repeated}}, {Attempt: Attempt(10*i + 1), Keys: []Key{firstPart, answered}}}
			if i != spared {
				blamed = append(blamed, Blamed{Attempt: Attempt(10*i + 2), Keys: []Key{firstPart, elsewhere}})
			}
			moment := at(time.Duration(rapid.IntRange(0, 250).Draw(t, "at")) * time.Millisecond)
			notices = append(notices, tracker.RecordEnd(now, moment, server(i), blamed))
		}
		other := NewTracker(0)
		for _, notice := range rapid.Permutation(notices).Draw(t, "order") {
			other.Merge(now, notice)
		}
		for _, tracker := range []*Tracker{tracker, other} {
			assert.DeepEqual(t, verdictsOf(tracker, now), []Key{repeated})
		}
	})
}
