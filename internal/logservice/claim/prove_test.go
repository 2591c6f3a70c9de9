package claim

import (
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/prove"
)

const (
	proofNodes = 3
	proofKeys  = 2
	proofSteps = 120
)

func atMostOnce(f flaw) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		w := newWorld(f, proofNodes, proofKeys)
		for range proofSteps {
			w.randomStep(c)
			if w.fault != nil {
				return w.fault
			}
		}
		return nil
	}
}

// TestProveAtMostOnce runs the deciders of several instances against a log, a
// service and callers that lose, delay and repeat things in every order.
func TestProveAtMostOnce(t *testing.T) {
	prove.Check(t, atMostOnce(noFlaw))
}

// TestProveAtMostOnceCatches shows that the proof fails for wrong variants.
func TestProveAtMostOnceCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"dispatch before read-back":         atMostOnce(dispatchBeforeReadBack),
		"lost response taken for unsent":    atMostOnce(lostTakenForNotWritten),
		"gaps in the log ignored":           atMostOnce(gapsIgnored),
		"not-run told at another's release": atMostOnce(loserTellsNotRun),
		"not-run told without a claim":      atMostOnce(notRunWithoutClaim),
		"expired key taken":                 atMostOnce(expiredKeyTaken),
		"takeover from a silent owner":      atMostOnce(leaseTakeover),
	})
}

// TestReleaseVoidsEarlierAttempts lands the claim of an attempt that began
// before another one told not-run. The random runs rarely get there, so the
// steps are fixed, for the right rule and for a planted wrong one.
func TestReleaseVoidsEarlierAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		flaw   flaw
		broken bool
	}{
		"right":            {noFlaw, false},
		"voids no attempt": {releaseVoidsNothing, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(test.flaw, 2, 1)
			earlier := w.nodes[0].begin(w.keys[0])
			owner := w.nodes[1].begin(w.keys[0])
			owner.appendClaim(appendTaken)
			w.nodes[1].read(true)
			for range maxDispatches {
				owner.endDispatch(dispatchNotWritten)
			}
			assert.Equal(t, owner.reply.Answer, OutcomeNotRun)
			w.nodes[1].flush(appendTaken)
			earlier.appendClaim(appendTaken)
			for w.nodes[0].read(false) {
			}
			w.nodes[0].tick()
			if earlier.dispatch {
				earlier.endDispatch(dispatchAnswered)
			}
			assert.Equal(t, w.fault != nil, test.broken, "%v", w.fault)
		})
	}
}
