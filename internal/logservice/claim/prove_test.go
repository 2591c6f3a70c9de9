package claim

import (
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/prove"
)

const (
	instanceCount = 3
	keyCount      = 2
	stepCount     = 120
)

func atMostOnce(injected injectedBug) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		sim := newSimulation(injected, instanceCount, keyCount)
		for range stepCount {
			sim.randomStep(c)
			if sim.violation != nil {
				return sim.violation
			}
		}
		return nil
	}
}

// TestProveAtMostOnce guards against a call that runs twice and against a reply
// that contradicts what ran. It runs the state machines of several instances in a
// simulation that loses, delays and duplicates appends, requests and responses in
// random order.
func TestProveAtMostOnce(t *testing.T) {
	prove.Check(t, atMostOnce(noBug))
}

// TestProveAtMostOnceCatches checks that the simulation detects each injected bug.
func TestProveAtMostOnceCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"dispatch before read-back":                        atMostOnce(dispatchBeforeReadBack),
		"lost response treated as not sent":                atMostOnce(lostTreatedAsNotSent),
		"trimmed records ignored":                          atMostOnce(trimIgnored),
		"not-run returned after another attempt's release": atMostOnce(nonOwnerRepliesNotRun),
		"not-run returned without a claim":                 atMostOnce(notRunWithoutClaim),
		"expired key accepted":                             atMostOnce(expiredKeyAccepted),
		"owned key taken over after 3 s":                   atMostOnce(ownerTakeover),
	})
}

// TestReleaseInvalidatesEarlierAttempts guards against a call that runs after
// not-run was returned for its key: the claim of an attempt that started earlier
// is appended after the release. Random runs rarely reach this case, so the steps
// are fixed, once with the correct rule and once with an injected bug.
func TestReleaseInvalidatesEarlierAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		bug           injectedBug
		wantViolation bool
	}{
		"correct":                        {noBug, false},
		"release invalidates no attempt": {releaseInvalidatesNothing, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(test.bug, 2, 1)
			earlier := sim.instances[0].begin(sim.keys[0])
			owner := sim.instances[1].begin(sim.keys[0])
			owner.finishClaimAppend(appendAccepted)
			sim.instances[1].read(true)
			for range maxDispatches {
				owner.finishDispatch(dispatchNotSent)
			}
			assert.Equal(t, owner.reply.Outcome, OutcomeNotRun)
			sim.instances[1].flush(appendAccepted)
			earlier.finishClaimAppend(appendAccepted)
			for sim.instances[0].read(false) {
			}
			sim.instances[0].tick()
			if earlier.dispatchPending {
				earlier.finishDispatch(dispatchResponded)
			}
			assert.Equal(t, sim.violation != nil, test.wantViolation, "%v", sim.violation)
		})
	}
}
