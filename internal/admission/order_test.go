package admission

import (
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// TestUrgentLateRequestGoesFirst guards against an urgent request that is overtaken by all less
// urgent ones once it is late, and against routes that are served alike where all teams have the
// same priority.
func TestUrgentLateRequestGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	request := func(age time.Duration, rank routing.Rank) *Request {
		return &Request{Arrived: now.Add(-age), TargetLatency: target, Deadline: now.Add(time.Minute), Rank: rank}
	}
	late := request(2*time.Second, routing.Rank{Priority: 1, Route: 0})
	onTime := request(0, routing.Rank{Priority: 1, Route: 0})
	lessUrgent := request(10*time.Millisecond, routing.Rank{Priority: 1, Route: 1})
	lessUrgentTeam := request(20*time.Millisecond, routing.Rank{Priority: 2, Route: 0})
	var queue Queue
	for _, r := range []*Request{lessUrgentTeam, lessUrgent, late, onTime} {
		queue.Push(now, r)
	}
	assert.Assert(t, slices.Equal(queue.Ordered(now), []*Request{onTime, late, lessUrgent, lessUrgentTeam}))
}

// TestEqualRanksKeepTheirOrder guards against a change of the order where all ranks are equal and
// no request has a team: it compares the order with that by lateness and arrival alone.
func TestEqualRanksKeepTheirOrder(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		ms := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		var queue Queue
		var want []*Request
		for range rapid.IntRange(0, 12).Draw(t, "requests") {
			r := &Request{
				Resumed: rapid.Bool().Draw(t, "resumed"), HasPath: rapid.Bool().Draw(t, "has-path"), Rank: routing.Rank{Priority: 1, Route: 1},
				Arrived: now.Add(-ms("age", 1000)), TargetLatency: ms("target", 1000), Deadline: now.Add(ms("left", 1000)),
			}
			queue.Push(r.Arrived, r)
			want = append(want, r)
		}
		sort.SliceStable(want, func(i, j int) bool {
			a, b := want[i], want[j]
			switch {
			case a.Resumed != b.Resumed:
				return a.Resumed
			case a.HasPath != b.HasPath:
				return b.HasPath
			case a.onTime(now) != b.onTime(now):
				return a.onTime(now)
			}
			return a.Arrived.Before(b.Arrived)
		})
		got := queue.Ordered(now)
		if len(got) != len(want) {
			t.Fatalf("%d requests are ordered, not %d", len(got), len(want))
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("request %d differs", i)
			}
		}
	})
}
