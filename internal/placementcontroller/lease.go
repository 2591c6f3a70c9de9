package placementcontroller

import (
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// settleTime is how long an instance holds the duty before it acts on it. While
	// instances start, the duty moves between them.
	settleTime = 700 * time.Millisecond
	// storeLostTime is how long the platform must not have answered before the
	// duty of a holder that is gone is taken over without it.
	storeLostTime = 1500 * time.Millisecond
)

// lease is what an instance believes of its duty to give orders. The belief only
// saves work: what keeps two holders apart is the fencing number of each order and
// the order count that it expects, which the backend servers compare.
type lease struct {
	heldSince time.Time // zero where the duty is another's
	fencing   int64     // 0 before one was taken
	adopted   bool      // the number is not one that was taken for this duty
	answered  time.Time // last answer of the platform on the duty
	known     known
}

// known is the holder that a peer has told of last.
type known struct {
	holder  deployment.InstanceID
	fencing int64
}

// step is what the holder of a lease should do next.
type step int

const (
	stepNothing step = iota
	stepTakeFencing
	stepAct
)

// joined takes an answer of the platform on who has the duty.
func (l *lease) joined(now time.Time, held bool) {
	l.answered = now
	switch {
	case !held:
		l.drop()
	case l.adopted || l.heldSince.IsZero():
		l.drop()
		l.heldSince = now
	}
}

func (l *lease) drop() {
	l.heldSince = time.Time{}
	l.fencing = 0
	l.adopted = false
}

// took notes a fencing number of this instance. It replaces a smaller one only.
func (l *lease) took(self deployment.InstanceID, fencing int64) {
	l.fencing = max(l.fencing, fencing)
	l.holderKnown(self, l.fencing)
}

// fenced notes that a backend server knows a higher fencing number. The duty has
// to be confirmed before another number is taken.
func (l *lease) fenced() {
	l.drop()
	l.known = known{}
}

// holderKnown takes a peer's word that it has the duty.
func (l *lease) holderKnown(holder deployment.InstanceID, fencing int64) {
	if fencing >= l.known.fencing {
		l.known = known{holder: holder, fencing: fencing}
	}
}

// adopt takes the duty over while the platform, which would deal it anew, does not
// answer: from a holder that is gone, or back where the platform has dealt it on and
// nobody has taken a number since, which the platform alone could give. present holds
// the instances of the zone that can be reached, this one included, the smallest id
// first. The number stays the last holder's: should it come back, its orders and these
// are told apart by the order count that each expects. It reports whether the duty was
// taken over.
func (l *lease) adopt(now time.Time, self deployment.InstanceID, present []deployment.InstanceID) bool {
	if l.fencing > 0 || l.known.fencing == 0 || now.Sub(l.answered) < storeLostTime {
		return false
	}
	if l.known.holder != self && !l.succeeds(self, present) {
		return false
	}
	l.heldSince = now
	l.fencing = l.known.fencing
	l.adopted = true
	return true
}

// succeeds tells whether an instance follows the known holder: the first of those
// present, where the holder is not among them.
func (l *lease) succeeds(self deployment.InstanceID, present []deployment.InstanceID) bool {
	if len(present) == 0 || present[0] != self {
		return false
	}
	return !slices.Contains(present, l.known.holder)
}

// next tells what to do now.
func (l *lease) next(now time.Time) step {
	switch {
	case l.heldSince.IsZero() || now.Sub(l.heldSince) < settleTime:
		return stepNothing
	case l.fencing == 0:
		return stepTakeFencing
	}
	return stepAct
}
