package admission

import (
	"math"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// maxRanks bounds the ranks that a queue keeps apart. Further ones share the state of the
	// least urgent.
	maxRanks = 32
	// rankMaxAge is how long a rank of which no request arrives is kept.
	rankMaxAge = 10 * time.Second
	// shortageAge is how long capacity counts as short for a rank after its requests have waited.
	shortageAge = time.Second
	// arrivalWindow is the time constant over which arrivals are averaged.
	arrivalWindow = time.Second
)

// rankState is what a queue knows of its own requests of one rank.
type rankState struct {
	rank       routing.Rank
	seenAt     time.Time // of the last arrival
	arrivals   float64   // per second, as of seenAt
	waiting    int
	queuedAt   time.Time // when one last waited, zero if none did
	passedOver int       // admissions of other ranks since the last of this one, while one waited
	retryAt    time.Time // when the client that was rejected last should retry
	heldSince  time.Time // first request held back since the last admission, zero if none was
}

// arrivalsPerSecond returns the recent arrivals per second.
func (s *rankState) arrivalsPerSecond(now time.Time) float64 {
	return s.arrivals * math.Exp(-now.Sub(s.seenAt).Seconds()/arrivalWindow.Seconds())
}

func (s *rankState) recordArrival(now time.Time) {
	s.arrivals = s.arrivalsPerSecond(now) + 1/arrivalWindow.Seconds()
	s.seenAt = now
}

// short reports whether requests of the rank have waited lately.
func (s *rankState) short(now time.Time) bool {
	return s.waiting > 0 || now.Sub(s.queuedAt) <= shortageAge
}

// active reports whether the rank has requests, or had some lately.
func (s *rankState) active(now time.Time) bool {
	return s.waiting > 0 || now.Sub(s.seenAt) <= rankMaxAge
}

// stateOf returns the state of a rank and adds it if it is new.
func (q *Queue) stateOf(now time.Time, rank routing.Rank) *rankState {
	index, ok := q.search(rank)
	if ok {
		return q.ranks[index]
	}
	q.ranks = slices.DeleteFunc(q.ranks, func(s *rankState) bool { return !s.active(now) })
	if len(q.ranks) >= maxRanks {
		return q.ranks[len(q.ranks)-1]
	}
	index, _ = q.search(rank)
	state := &rankState{rank: rank, seenAt: now}
	q.ranks = slices.Insert(q.ranks, index, state)
	return state
}

// search returns where a rank is, or would be inserted, among the known ranks.
func (q *Queue) search(rank routing.Rank) (int, bool) {
	return slices.BinarySearchFunc(q.ranks, rank, func(s *rankState, rank routing.Rank) int { return s.rank.Compare(rank) })
}

// RecordArrival counts the arrival of a request. It must be called once for each request,
// whether it waits or not.
func (q *Queue) RecordArrival(now time.Time, r *Request) {
	if !r.Resumed {
		q.stateOf(now, r.Rank).recordArrival(now)
	}
}
