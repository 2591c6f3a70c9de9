package poison

import (
	"slices"
	"time"
)

const (
	// The first trial of a held key follows earlyTrialDelay after its last end. Where it has
	// countedEnds ends or more, the platform allows few further requests with it, so the
	// delay is lateTrialDelay. It doubles with each end, up to maxTrialDelay.
	earlyTrialDelay = 20 * time.Second
	lateTrialDelay  = 10 * time.Minute
	maxTrialDelay   = 2 * time.Hour
	countedEnds     = 5
	// maxDoublings keeps the shift from overflowing.
	maxDoublings = 8
)

// trialDelay returns the time without an end or a trial after which a key with a number of
// ends is tried again.
func trialDelay(ends int) time.Duration {
	if ends < countedEnds {
		return earlyTrialDelay << max(0, ends-heldEnds)
	}
	return min(maxTrialDelay, lateTrialDelay<<min(ends-countedEnds, maxDoublings))
}

// Try reports whether a held request may be sent as a trial. If so, it records that, and
// returns it to be sent to the other instances: they wait as long as if they had tried.
// Instances that are cut off from one another each try by themselves.
func (t *Tracker) Try(now time.Time, keys []Key) (Evidence, bool) {
	v := t.verdictsAt(now)
	var news Evidence
	for _, key := range keys {
		held, ok := v.held[key]
		if !ok {
			continue
		}
		if !t.trialDue(now, key, held) {
			return Evidence{}, false
		}
		news.Trials = append(news.Trials, KeyAge{Key: key})
	}
	if len(news.Trials) == 0 {
		return news, false
	}
	for _, trial := range news.Trials {
		t.trials[trial.Key] = now
	}
	dropEarliest(t.trials, maxTrials)
	return news, true
}

func (t *Tracker) trialDue(now time.Time, key Key, held heldKey) bool {
	last := slices.MaxFunc([]time.Time{held.lastEnd, t.trials[key]}, time.Time.Compare)
	delay := trialDelay(held.ends)
	return now.Sub(last) >= delay+time.Duration(t.jitter*float64(delay))
}
