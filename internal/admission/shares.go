package admission

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/routing"
)

// guaranteedShare is the number of admissions of a service of which each rank that has requests
// gets at least one. Resumed streams don't count: they go first and their clients wait already.
const guaranteedShare = 20

// agingFraction is the fraction of its time until the deadline after which a waiting request counts
// as one rank more urgent.
const agingFraction = 0.5

// effectiveRank returns the rank by which a request is ordered: its own, or after half of its time
// the next more urgent one among those that have requests.
func (q *Queue) effectiveRank(now time.Time, r *Request) routing.Rank {
	patience := r.Deadline.Sub(r.Arrived)
	if r.Resumed || len(q.ranks) < 2 || patience <= 0 || now.Sub(r.Arrived) < time.Duration(agingFraction*float64(patience)) {
		return r.Rank
	}
	index, _ := q.search(r.Rank)
	for i := min(index, len(q.ranks)) - 1; i >= 0; i-- {
		if q.ranks[i].active(now) {
			return q.ranks[i].rank
		}
	}
	return r.Rank
}

// sharing reports whether a request counts in the shares of the ranks. One that may still go on
// along its path does not need its turn, and one that is blocked can't take it.
func (r *Request) sharing() bool { return !r.Resumed && !r.HasPath && !r.Blocked }

// shares tells which rank is due for its share of the admissions.
type shares struct {
	remaining  map[*rankState]int // waiting requests
	passedOver map[*rankState]int // admissions of other ranks since the last of this one
}

// newShares returns the shares of the waiting requests.
func (q *Queue) newShares() *shares {
	s := &shares{remaining: map[*rankState]int{}, passedOver: map[*rankState]int{}}
	for _, r := range q.waiting {
		if r.sharing() {
			s.remaining[r.state]++
			s.passedOver[r.state] = r.state.passedOver
		}
	}
	return s
}

// due returns the rank that has waited for most admissions if it must get the next one, nil if none
// must. With n ranks, up to n may come to be due at once and get the next n admissions, so that a
// rank is due n admissions before the last of its share.
func (s *shares) due() *rankState {
	var due *rankState
	for state := range s.remaining {
		passed := s.passedOver[state]
		if passed < guaranteedShare-len(s.remaining) {
			continue
		}
		if due == nil || passed > s.passedOver[due] || passed == s.passedOver[due] && state.rank.Compare(due.rank) < 0 {
			due = state
		}
	}
	return due
}

// isDue reports whether a rank must get the next admission for its share.
func (q *Queue) isDue(state *rankState) bool {
	ranks := 0
	for _, other := range q.ranks {
		if other.waiting > 0 {
			ranks++
		}
	}
	// Not due by a wide margin is the usual case, and needs no look at the waiting requests.
	return state.waiting > 0 && state.passedOver >= guaranteedShare-ranks && q.newShares().due() == state
}

// take counts the admission of a request.
func (s *shares) take(state *rankState) {
	for other := range s.remaining {
		s.passedOver[other]++
	}
	s.passedOver[state] = 0
	if s.remaining[state]--; s.remaining[state] <= 0 {
		delete(s.remaining, state)
	}
}

// share moves requests of ranks that are due for their share forward in a list in the order of
// urgency, as if all were admitted one after the other.
func (q *Queue) share(ordered []*Request) []*Request {
	shares := q.newShares()
	if len(shares.remaining) < 2 {
		return ordered
	}
	byRank := map[*rankState][]*Request{}
	for _, r := range ordered {
		if r.sharing() {
			byRank[r.state] = append(byRank[r.state], r)
		}
	}
	taken := map[*Request]bool{}
	result := make([]*Request, 0, len(ordered))
	for _, r := range ordered {
		for r.sharing() && !taken[r] {
			next := r
			if due := shares.due(); due != nil {
				next = byRank[due][0]
			}
			byRank[next.state] = byRank[next.state][1:]
			shares.take(next.state)
			taken[next] = true
			result = append(result, next)
		}
		if !r.sharing() {
			result = append(result, r)
		}
	}
	return result
}

// recordAdmission counts an admission in the shares of the waiting ranks.
func (q *Queue) recordAdmission(now time.Time, r *Request) {
	own := q.stateOf(now, r.Rank)
	if !r.Resumed {
		for _, state := range q.ranks {
			if state.waiting > 0 {
				state.passedOver++
			}
		}
	}
	own.passedOver = 0
	own.heldSince = time.Time{}
}
