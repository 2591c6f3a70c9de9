package engine

import (
	"math/rand/v2"
	"time"
)

// Policy says how a fleet chooses among the paths for an answer: Cheapest,
// RandomPath or RoundRobin.
type Policy interface {
	isPolicy()
}

// Cheapest takes the path that is predicted to end first.
type Cheapest struct{}

// RandomPath takes a random path. It is a baseline for measurements.
type RandomPath struct {
	Rand *rand.Rand
}

// RoundRobin takes the runners of each range in turn. It is a baseline for
// measurements.
type RoundRobin struct {
	turns map[int]int
}

// NewRoundRobin returns the policy at its first turn.
func NewRoundRobin() RoundRobin {
	return RoundRobin{turns: map[int]int{}}
}

func (Cheapest) isPolicy()   {}
func (RandomPath) isPolicy() {}
func (RoundRobin) isPolicy() {}

// SetPolicy changes how paths are chosen. A new fleet chooses the cheapest.
func (f *Fleet) SetPolicy(p Policy) {
	f.policy = p
}

// ChoosePath returns a path for a query by the fleet's policy.
func (f *Fleet) ChoosePath(now time.Time, q PathQuery) (Path, error) {
	switch p := f.policy.(type) {
	case RandomPath:
		return f.walk(now, q, p.Rand.IntN)
	case RoundRobin:
		return f.walk(now, q, func(n int) int {
			p.turns[n]++
			return p.turns[n] % n
		})
	}
	return f.CheapestPath(now, q)
}

// walk goes from range to range and lets pick say which of n runners to take.
func (f *Fleet) walk(now time.Time, q PathQuery, pick func(n int) int) (Path, error) {
	var path Path
	candidates := f.candidates(q)
	for at := 0; at < q.Layers; at = path[len(path)-1].Range.End {
		var open []*Runner
		for _, r := range candidates {
			if r.Report.Range.First == at && r.Zone == f.zone {
				open = append(open, r)
			}
		}
		if len(open) == 0 {
			return nil, &NoPathError{Model: q.Model, Version: q.Version}
		}
		r := open[pick(len(open))]
		path = append(path, f.hop(now, r, &q))
	}
	return path, nil
}
