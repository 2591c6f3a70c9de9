package bodybudget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// TestUrgentAndSmallBodiesGoFirst guards against a large body, or one of a less urgent request, that
// keeps others waiting.
func TestUrgentAndSmallBodiesGoFirst(t *testing.T) {
	b := New(10)
	_, ok := b.Hold(10, routing.Rank{})
	assert.Check(t, ok)
	var waiters []*Waiter
	for _, c := range []struct {
		size     int64
		priority int
	}{{6, 1}, {2, 1}, {8, 0}, {2, 0}, {2, 1}} {
		waiter, ok := b.Hold(c.size, routing.Rank{Priority: c.priority})
		assert.Check(t, !ok)
		waiters = append(waiters, waiter)
	}
	assert.DeepEqual(t, numbers(b.Release(10)), numbers([]*Waiter{waiters[3], waiters[2]}))
	assert.DeepEqual(t, numbers(b.Release(8)), numbers([]*Waiter{waiters[1], waiters[4]}))
	assert.Check(t, !b.Grow(5) && b.Grow(4) && b.Held() == 10)
	assert.Equal(t, len(b.Cancel(waiters[0])), 0)
	assert.Equal(t, len(b.Release(10)), 0, "nobody waits any more")
}

func numbers(waiters []*Waiter) []int {
	var list []int
	for _, waiter := range waiters {
		list = append(list, waiter.number)
	}
	return list
}

// TestBodiesExceedTheBudget guards against more bytes than the capacity, room that is lost, and a body
// that waits although it would fit and nobody is served before it.
func TestBodiesExceedTheBudget(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		const capacity = 20
		b := New(capacity)
		var held []int64
		var waiting []*Waiter
		grant := func(granted []*Waiter) {
			for _, waiter := range granted {
				held = append(held, waiter.size)
				for i, other := range waiting {
					if other == waiter {
						waiting = append(waiting[:i], waiting[i+1:]...)
						break
					}
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action == 0 && len(held) > 0:
				at := rapid.IntRange(0, len(held)-1).Draw(t, "held")
				size := held[at]
				held = append(held[:at], held[at+1:]...)
				grant(b.Release(size))
			case action == 1 && len(waiting) > 0:
				at := rapid.IntRange(0, len(waiting)-1).Draw(t, "waiting")
				waiter := waiting[at]
				waiting = append(waiting[:at], waiting[at+1:]...)
				grant(b.Cancel(waiter))
			default:
				size := rapid.Int64Range(1, capacity).Draw(t, "size")
				waiter, ok := b.Hold(size, routing.Rank{Priority: rapid.IntRange(0, 2).Draw(t, "priority")})
				if ok {
					held = append(held, size)
				} else {
					waiting = append(waiting, waiter)
				}
			}
			sum := int64(0)
			for _, size := range held {
				sum += size
			}
			if sum != b.Held() || sum > capacity {
				t.Fatalf("%d bytes are held, counted as %d", sum, b.Held())
			}
			if len(b.waiting) != len(waiting) || len(waiting) > 0 && sum+b.waiting[0].size <= capacity {
				t.Fatalf("%d wait, of which the first fits", len(b.waiting))
			}
		}
	})
}
