package engine

import (
	"time"
)

// cost returns the predicted service time of a runner, plus penalties that rank
// runners of other zones and ejected runners behind all others.
func (f *Fleet) cost(now time.Time, r *Runner, q *PathQuery) time.Duration {
	cost := f.predictServiceTime(now, r, q)
	if r.Zone != f.zone {
		cost += crossZonePenalty
	}
	if r.ejection.Ejected(now) {
		cost += ejectedPenalty
	}
	return cost
}

// predictServiceTime predicts how long a runner takes for the session's first step
// on it: the step itself, the queue ahead of it and the round trip.
func (f *Fleet) predictServiceTime(now time.Time, r *Runner, q *PathQuery) time.Duration {
	perStep := r.Report.BatchCost + r.Report.PositionCost
	if perStep <= 0 {
		perStep = defaultStepCost
	}
	positions := max(q.Positions-r.cachedPositions(now, q.Prefixes), 1)
	predicted := perStep + time.Duration(positions-1)*r.Report.PositionCost
	predicted += time.Duration(f.backlog(now, r) * float64(r.queuedStepCost(perStep)))
	predicted += r.Report.RoundTrip
	if now.Sub(r.stepTimeAt) < stepTimeTTL && r.stepTime > stepTimeMinRatio*predicted {
		// The measured step time far exceeds the reported costs: the runner or
		// its link is slow.
		predicted = r.stepTime
	}
	return predicted
}

// queuedStepCost returns the time that each queued step adds. A step in a batch
// pays for its position and an equal share of a full batch.
func (r *Runner) queuedStepCost(perStep time.Duration) time.Duration {
	if r.Report.BatchCost <= 0 {
		return perStep
	}
	return r.Report.PositionCost + r.Report.BatchCost/maxBatchSteps
}

// cachedPositions estimates how many leading positions of a prompt are in the
// runner's prefix cache, from the blocks that this instance sent to it.
func (r *Runner) cachedPositions(now time.Time, prefixes []uint64) int {
	blocks := 0
	for _, hash := range prefixes {
		if sent, ok := r.prefixSentAt[hash]; !ok || now.Sub(sent) > prefixTTL {
			break
		}
		blocks++
	}
	return blocks * prefixBlockSize
}

// backlog estimates the number of sessions that share a runner: this instance's
// own and those of other instances. The latter come from the runner's report, whose
// weight falls with its age. Sessions are counted rather than the steps queued when
// the report was made, since under full load every session may have a step queued.
func (f *Fleet) backlog(now time.Time, r *Runner) float64 {
	age := now.Sub(r.reportedAt)
	weight := float64(loadHalfLife) / float64(loadHalfLife+max(age, 0))
	reportedOthers := float64(max(r.Report.Sessions-r.assignedAtReport, 0)) * weight
	// Load balancing gives each instance about the same load, so every other
	// instance of the zone is assumed to have as many sessions here as this one, unless the
	// report shows more.
	assumedOthers := float64(r.assigned * (f.instanceCount - 1))
	return max(reportedOthers, assumedOthers) + float64(r.assigned)
}
