package placementcontroller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

func TestLeaseSettlesBeforePlanning(t *testing.T) {
	now := time.Unix(1000, 0)
	var l lease
	assert.Equal(t, l.next(now), stepWait)
	l.recordMembership(now, true)
	assert.Equal(t, l.next(now.Add(settleTime/2)), stepWait)
	assert.Equal(t, l.next(now.Add(settleTime)), stepAcquireToken)
	l.recordToken("self", 7)
	assert.Equal(t, l.next(now.Add(settleTime)), stepPlan)
	l.fenced()
	assert.Equal(t, l.next(now.Add(time.Hour)), stepWait)
}

// TestLeaseSucceedsHolderWithoutStore: the store and the lease holder are unreachable. Only
// the first reachable instance of the zone adopts the lease, with the holder's token.
func TestLeaseSucceedsHolderWithoutStore(t *testing.T) {
	now := time.Unix(1000, 0)
	reachable := []deployment.InstanceID{"b", "c"}
	newLease := func() *lease {
		l := &lease{}
		l.recordMembership(now, false)
		l.observeHolder("a", 5)
		return l
	}
	l := newLease()
	assert.Assert(t, !l.adopt(now.Add(storeLostTimeout/2), "b", reachable), "the store has just responded")
	late := now.Add(storeLostTimeout)
	assert.Assert(t, !l.adopt(late, "c", reachable), "another instance is first")
	assert.Assert(t, !l.adopt(late, "b", []deployment.InstanceID{"b", "c", "a"}), "the holder itself is reachable")
	assert.Assert(t, l.adopt(late, "b", reachable))
	assert.Equal(t, l.fencingToken, int64(5))
	l.recordMembership(late.Add(time.Second), true)
	assert.Equal(t, l.fencingToken, int64(0), "with the store reachable, a token of its own is needed")
	l = newLease()
	l.observeHolder("z", 3)
	assert.Equal(t, l.known.fencingToken, int64(5), "an older holder does not replace a newer one")
}

// TestLeaseResumedWithoutStore: the store grants the lease to another instance and becomes
// unreachable before that one has acquired a token. The last holder must continue, since no
// other instance can start.
func TestLeaseResumedWithoutStore(t *testing.T) {
	now := time.Unix(1000, 0)
	reachable := []deployment.InstanceID{"a", "b"}
	late := now.Add(storeLostTimeout)
	last, next := &lease{}, &lease{}
	last.recordMembership(now, true)
	last.recordToken("b", 5)
	next.observeHolder("b", 5)
	last.recordMembership(now, false)
	next.recordMembership(now, true)
	assert.Assert(t, !last.adopt(now.Add(storeLostTimeout/2), "b", reachable), "the store has just responded")
	assert.Assert(t, !next.adopt(late, "a", reachable), "the last holder is reachable")
	assert.Assert(t, last.adopt(late, "b", reachable))
	assert.Equal(t, last.next(late.Add(settleTime)), stepPlan)
	assert.Equal(t, last.fencingToken, int64(5))
	assert.Assert(t, next.adopt(late, "a", []deployment.InstanceID{"a"}), "the last holder is unreachable")
	last.observeHolder("a", 6)
	last.recordMembership(late, false)
	assert.Assert(t, !last.adopt(late.Add(storeLostTimeout), "b", reachable), "the next holder has a token")
}

// TestLeaseTokenIsKnown applies random events and checks that a lease never plans without a
// token, and never adopts one that is higher than any that was observed or acquired.
func TestLeaseTokenIsKnown(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var l lease
		next := int64(1)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.recordMembership(now, rapid.Bool().Draw(t, "held"))
			case 1:
				l.observeHolder("other", next)
				next++
			case 2:
				l.adopt(now, "self", []deployment.InstanceID{"self"})
			case 3:
				if l.next(now) == stepAcquireToken {
					l.recordToken("self", next)
					next++
				}
			case 4:
				l.fenced()
			}
			if l.next(now) == stepPlan && l.fencingToken == 0 {
				t.Fatal("plans without a token")
			}
			if l.adopted && l.fencingToken > l.known.fencingToken {
				t.Fatalf("adopted token %d, which was never observed", l.fencingToken)
			}
		}
	})
}

// TestCandidatesForTheLease guards against calls to the store that grow with the zone, and against
// a zone, or the part of one that is cut off, without a candidate.
func TestCandidatesForTheLease(t *testing.T) {
	var zone []deployment.InstanceID
	for i := range 40 {
		zone = append(zone, deployment.InstanceID(fmt.Sprintf("entry-%02d", i)))
	}
	candidates := func(l lease, reachable []deployment.InstanceID) (count int) {
		for _, id := range reachable {
			if l.isCandidate(id, reachable) {
				count++
			}
		}
		return count
	}
	assert.Equal(t, candidates(lease{}, zone), maxCandidates)
	assert.Equal(t, candidates(lease{}, zone[30:]), maxCandidates, "cut off")
	assert.Equal(t, candidates(lease{}, zone[:2]), 2)
	assert.Assert(t, (&lease{}).isCandidate("entry-39", nil), "no peer is known")
	holder := lease{known: knownHolder{holder: "entry-39", fencingToken: 7}}
	assert.Assert(t, holder.isCandidate("entry-39", zone), "must learn that another one holds the lease")
	assert.Assert(t, !holder.isCandidate("entry-38", zone))
}
