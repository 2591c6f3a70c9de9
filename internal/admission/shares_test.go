package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// TestEachRankGetsOneInTwenty guards against a rank that starves while requests of other ranks
// arrive: as long as it has requests, it gets at least one of any 20 admissions.
func TestEachRankGetsOneInTwenty(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		var q Queue
		now := start
		passed := map[routing.Rank]int{} // admissions of others, of the ranks with requests
		ranks := rapid.IntRange(2, 8).Draw(t, "ranks")
		admit := func(r *Request) {
			q.Admit(now, r)
			for rank := range passed {
				passed[rank]++
				if rank != r.Rank && passed[rank] >= guaranteedShare {
					t.Fatalf("rank %s got none of %d admissions", rank, guaranteedShare)
				}
			}
			delete(passed, r.Rank)
			for _, waiting := range q.waiting {
				if waiting.Rank == r.Rank {
					passed[r.Rank] = 0
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(20 * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "arrivals") {
				r := request(now, routing.Rank{Priority: rapid.IntRange(0, ranks-1).Draw(t, "rank")})
				q.RecordArrival(now, r)
				if !q.Preceded(now, r) && rapid.Bool().Draw(t, "free") {
					admit(r)
					continue
				}
				q.Push(now, r)
				if _, known := passed[r.Rank]; !known {
					passed[r.Rank] = 0
				}
			}
			q.SetPeerDemand(now, "peer", []PriorityDemand{{Rank: urgent, Waiting: rapid.IntRange(0, 9).Draw(t, "elsewhere")}})
			slots := rapid.IntRange(0, 30).Draw(t, "slots")
			for _, r := range q.Ordered(now) {
				if slots == 0 {
					break
				}
				if q.Decide(now, r, free(slots)).Admitted {
					slots--
					admit(r)
				}
			}
		}
	})
}

// TestAgedRequestCountsAsMoreUrgent guards against a request that waits until its deadline behind
// those of the next rank: from half of its time on it is ordered as one of them.
func TestAgedRequestCountsAsMoreUrgent(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		now := start.Add(time.Minute)
		var q, promoted Queue
		ranks := []routing.Rank{{Priority: 1, Route: 0}, {Priority: 1, Route: 1}, {Priority: 3, Route: 1}}
		drawn := map[*Request]*Request{}
		var aged []*Request
		for _, rank := range ranks { // all ranks are known
			q.Push(now, request(now, rank))
			promoted.Push(now, request(now, rank))
		}
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			index := rapid.IntRange(0, 2).Draw(t, "rank")
			r := request(now.Add(-time.Duration(rapid.IntRange(0, 1999).Draw(t, "waited"))*time.Millisecond), ranks[index])
			same := *r
			if now.Sub(r.Arrived) >= time.Second {
				same.Rank = ranks[max(0, index-1)]
				same.Deadline = now.Add(time.Hour) // not aged
				aged = append(aged, r)
			}
			drawn[r] = &same
			q.Push(now, r)
			promoted.Push(now, &same)
		}
		var want, got []*Request
		for _, r := range q.Ordered(now) {
			if drawn[r] != nil {
				got = append(got, drawn[r])
			}
		}
		for _, r := range promoted.Ordered(now) {
			if slices.Contains(got, r) {
				want = append(want, r)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("with %d aged requests the order differs", len(aged))
		}
	})
}
