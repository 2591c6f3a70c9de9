package engine

import (
	"math/rand/v2"
	"time"
)

// Policy selects how a fleet chooses a path: Cheapest, RandomPath or RoundRobin.
type Policy interface {
	isPolicy()
}

// Cheapest chooses the path with the lowest cost, see Fleet.CheapestPath.
type Cheapest struct{}

// RandomPath chooses a random path in the fleet's availability zone. It is a
// baseline for measurements.
type RandomPath struct {
	Rand *rand.Rand
}

// RoundRobin chooses among the runners for the next layer in turn, in the fleet's
// availability zone. Ranges with the same number of eligible runners share one
// counter. It is a baseline for measurements.
type RoundRobin struct {
	turns map[int]int
}

// NewRoundRobin returns a RoundRobin whose counters are zero.
func NewRoundRobin() RoundRobin {
	return RoundRobin{turns: map[int]int{}}
}

func (Cheapest) isPolicy()   {}
func (RandomPath) isPolicy() {}
func (RoundRobin) isPolicy() {}

// SetPolicy sets the policy for ChoosePath. The default is Cheapest.
func (f *Fleet) SetPolicy(p Policy) {
	f.policy = p
}

// ChoosePath returns a path chosen by the fleet's policy. The error is a
// *NoPathError.
func (f *Fleet) ChoosePath(now time.Time, q PathQuery) (Path, error) {
	switch p := f.policy.(type) {
	case RandomPath:
		return f.buildPath(now, q, p.Rand.IntN)
	case RoundRobin:
		return f.buildPath(now, q, func(n int) int {
			p.turns[n]++
			return p.turns[n] % n
		})
	}
	return f.CheapestPath(now, q)
}

// buildPath builds a path range by range from the runners of the fleet's
// availability zone. pick returns the index of one of n eligible runners.
func (f *Fleet) buildPath(now time.Time, q PathQuery, pick func(n int) int) (Path, error) {
	var path Path
	candidates := f.candidates(q)
	for at := 0; at < q.Layers; at = path[len(path)-1].Range.End {
		var eligible []*Runner
		for _, r := range candidates {
			if r.Report.Range.First == at && r.Zone == f.zone {
				eligible = append(eligible, r)
			}
		}
		if len(eligible) == 0 {
			return nil, &NoPathError{Model: q.Model, Version: q.Version}
		}
		r := eligible[pick(len(eligible))]
		path = append(path, f.hop(now, r, &q))
	}
	return path, nil
}
