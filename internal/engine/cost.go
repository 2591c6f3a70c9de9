package engine

import (
	"time"
)

// cost ranks a runner: its predicted time, and penalties that put runners of
// other zones and ejected ones behind all others.
func (f *Fleet) cost(now time.Time, r *Runner, q *PathQuery) time.Duration {
	cost := f.busy(now, r, q)
	if r.Zone != f.zone {
		cost += remotePenalty
	}
	if r.ejection.Ejected(now) {
		cost += ejectedPenalty
	}
	return cost
}

// busy predicts how long a runner takes for its part of a first pass.
func (f *Fleet) busy(now time.Time, r *Runner, q *PathQuery) time.Duration {
	perStep := r.Report.BatchCost + r.Report.PositionCost
	if perStep <= 0 {
		perStep = defaultCost
	}
	positions := max(q.Positions-r.cached(now, q.Prefixes), 1)
	busy := perStep + time.Duration(positions-1)*r.Report.PositionCost
	busy += time.Duration(f.backlog(now, r) * float64(r.perQueued(perStep)))
	busy += r.Report.RoundTrip
	if now.Sub(r.observedAt) < observedMemory && r.observed > observedFactor*busy {
		// The runner takes far longer than it reports: it is slow or far.
		busy = r.observed
	}
	return busy
}

// perQueued is what one queued step adds: in a batch the cost of the batch is
// shared.
func (r *Runner) perQueued(perStep time.Duration) time.Duration {
	if r.Report.BatchCost <= 0 {
		return perStep
	}
	return r.Report.PositionCost + r.Report.BatchCost/engineBatch
}

// cached returns how many positions of a prompt the runner is believed to hold
// in its prefix cache, by what was sent to it.
func (r *Runner) cached(now time.Time, prefixes []uint64) int {
	blocks := 0
	for _, hash := range prefixes {
		if sent, ok := r.prefixes[hash]; !ok || now.Sub(sent) > prefixMemory {
			break
		}
		blocks++
	}
	return blocks * prefixBlock
}

// backlog is the answers that share a runner: this instance's own, and those
// of others by the runner's report, which counts less the older it is. Every
// answer of a full fleet may have a step waiting, so answers are counted and
// not the steps that happen to wait when a report is made.
func (f *Fleet) backlog(now time.Time, r *Runner) float64 {
	age := now.Sub(r.reported)
	weight := float64(loadHalfLife) / float64(loadHalfLife+max(age, 0))
	others := float64(max(r.Report.Sessions-r.assignedThen, 0)) * weight
	// A balancer gives every instance about the same work, so until reports
	// say more the others are taken to have as much here as this one.
	alike := float64(r.assigned * (f.sharing - 1))
	return max(others, alike) + float64(r.assigned)
}
