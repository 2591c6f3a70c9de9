package requestsize

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sampleSize is the number of outputs that are kept for each route.
	sampleSize = 256
	// sampleHalfLife is the age at which an output counts half.
	sampleHalfLife = 2 * time.Minute
	// typicalWeight is the number of outputs as which the typical one counts, so that the
	// first few of a route don't decide alone.
	typicalWeight = 8
	// meanQuantile is the quantile as which larger outputs count in the mean. The mean of a
	// heavy tail otherwise follows its few largest values.
	meanQuantile = 0.95
	// summaryAge is how long a summary is used, so that a burst of requests does not sort
	// the sample for each of them. A summary is made anew sooner if outputs have been added
	// since that are one in summaryAddedOneIn of the sample.
	summaryAge        = 250 * time.Millisecond
	summaryAddedOneIn = 8
)

// sample holds the latest outputs of a route.
type sample struct {
	outputs  []timedOutput // a ring once it has sampleSize elements
	next     int
	lastAt   time.Time
	latest   summary
	latestOf float64 // the typical output of latest
	added    int     // outputs since latest
}

type timedOutput struct {
	tokens float64
	at     time.Time
}

// summary is what the outputs of a route tell. high is known from enough outputs only.
type summary struct {
	mean, high float64
	at         time.Time // when it was made
	known      bool
}

func (s *sample) add(now time.Time, tokens float64) {
	s.lastAt = now
	s.added++
	if len(s.outputs) < sampleSize {
		s.outputs = append(s.outputs, timedOutput{tokens: tokens, at: now})
		return
	}
	s.outputs[s.next] = timedOutput{tokens: tokens, at: now}
	s.next = (s.next + 1) % sampleSize
}

// summarize returns a summary of the outputs, of which the typical one counts as some. It
// returns false if their weight is less than that of the typical output.
func (s *sample) summarize(now time.Time, typical float64) (summary, bool) {
	age := now.Sub(s.latest.at)
	fresh := !s.latest.at.IsZero() && age >= 0 && age < summaryAge && s.added*summaryAddedOneIn < len(s.outputs)
	if !fresh || s.latestOf != typical {
		s.latest, s.latestOf, s.added = s.summary(now, typical), typical, 0
	}
	return s.latest, s.latest.known
}

func (s *sample) summary(now time.Time, typical float64) summary {
	weighted := make([]weightedOutput, 0, len(s.outputs)+1)
	total := 0.0
	for _, output := range s.outputs {
		weight := math.Exp2(-float64(max(0, now.Sub(output.at))) / float64(sampleHalfLife))
		weighted = append(weighted, weightedOutput{tokens: output.tokens, weight: weight})
		total += weight
	}
	if total < typicalWeight {
		return summary{at: now}
	}
	if typical > 0 {
		weighted = append(weighted, weightedOutput{tokens: typical, weight: typicalWeight})
	}
	slices.SortFunc(weighted, func(a, b weightedOutput) int { return cmp.Compare(a.tokens, b.tokens) })
	return summary{
		mean: meanUpTo(weighted, quantile(weighted, meanQuantile)), high: quantile(weighted, highQuantile), at: now, known: true,
	}
}

type weightedOutput struct{ tokens, weight float64 }

// quantile returns the least output that is not exceeded by a share of the weight. The
// outputs are sorted and not empty.
func quantile(sorted []weightedOutput, share float64) float64 {
	total := 0.0
	for _, output := range sorted {
		total += output.weight
	}
	below := 0.0
	for _, output := range sorted {
		below += output.weight
		if below >= share*total {
			return output.tokens
		}
	}
	return sorted[len(sorted)-1].tokens
}

// meanUpTo returns the mean of outputs where those above a bound count as the bound.
func meanUpTo(outputs []weightedOutput, bound float64) float64 {
	sum, total := 0.0, 0.0
	for _, output := range outputs {
		sum += output.weight * min(output.tokens, bound)
		total += output.weight
	}
	return sum / total
}
