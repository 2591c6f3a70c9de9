package placementcontroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

func TestLeaseSettlesBeforeItActs(t *testing.T) {
	now := time.Unix(1000, 0)
	var l lease
	assert.Equal(t, l.next(now), stepNothing)
	l.joined(now, true)
	assert.Equal(t, l.next(now.Add(settleTime/2)), stepNothing)
	assert.Equal(t, l.next(now.Add(settleTime)), stepTakeFencing)
	l.took("self", 7)
	assert.Equal(t, l.next(now.Add(settleTime)), stepAct)
	l.fenced()
	assert.Equal(t, l.next(now.Add(time.Hour)), stepNothing)
}

// TestLeaseTakenOverWithoutStore: the store is away, the holder is gone, and the
// first instance of the zone goes on with its number.
func TestLeaseTakenOverWithoutStore(t *testing.T) {
	now := time.Unix(1000, 0)
	present := []deployment.InstanceID{"b", "c"}
	newLease := func() *lease {
		l := &lease{}
		l.joined(now, false)
		l.holderKnown("a", 5)
		return l
	}
	l := newLease()
	assert.Assert(t, !l.adopt(now.Add(storeLostTime/2), "b", present), "the store has just answered")
	late := now.Add(storeLostTime)
	assert.Assert(t, !l.adopt(late, "c", present), "another instance is first")
	assert.Assert(t, !l.adopt(late, "b", []deployment.InstanceID{"b", "c", "a"}), "the holder itself is there")
	assert.Assert(t, l.adopt(late, "b", present))
	assert.Equal(t, l.fencing, int64(5))
	l.joined(late.Add(time.Second), true)
	assert.Equal(t, l.fencing, int64(0), "back at the store, a number of its own is needed")
	l = newLease()
	l.holderKnown("z", 3)
	assert.Equal(t, l.known.fencing, int64(5), "an older holder's word counts no more")
}

// TestLeaseResumedWithoutStore: the platform deals the duty on and goes away before the
// next holder has taken a number. The last one goes on, as nobody else can begin.
func TestLeaseResumedWithoutStore(t *testing.T) {
	now := time.Unix(1000, 0)
	present := []deployment.InstanceID{"a", "b"}
	late := now.Add(storeLostTime)
	last, next := &lease{}, &lease{}
	last.joined(now, true)
	last.took("b", 5)
	next.holderKnown("b", 5)
	last.joined(now, false)
	next.joined(now, true)
	assert.Assert(t, !last.adopt(now.Add(storeLostTime/2), "b", present), "the store has just answered")
	assert.Assert(t, !next.adopt(late, "a", present), "the last holder is there")
	assert.Assert(t, last.adopt(late, "b", present))
	assert.Equal(t, last.next(late.Add(settleTime)), stepAct)
	assert.Equal(t, last.fencing, int64(5))
	assert.Assert(t, next.adopt(late, "a", []deployment.InstanceID{"a"}), "the last holder has left")
	last.holderKnown("a", 6)
	last.joined(late, false)
	assert.Assert(t, !last.adopt(late.Add(storeLostTime), "b", present), "the next holder has a number")
}

// TestLeaseNeverActsOnSmallerNumber plays random events and checks that the number
// of what acts is never below one that a peer has told of or that was taken.
func TestLeaseNeverActsOnSmallerNumber(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var l lease
		next := int64(1)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.joined(now, rapid.Bool().Draw(t, "held"))
			case 1:
				l.holderKnown("other", next)
				next++
			case 2:
				l.adopt(now, "self", []deployment.InstanceID{"self"})
			case 3:
				if l.next(now) == stepTakeFencing {
					l.took("self", next)
					next++
				}
			case 4:
				l.fenced()
			}
			if l.next(now) == stepAct && l.fencing == 0 {
				t.Fatal("acts without a number")
			}
			if l.adopted && l.fencing > l.known.fencing {
				t.Fatalf("took over number %d, which nobody told of", l.fencing)
			}
		}
	})
}
