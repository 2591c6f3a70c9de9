package placementcontroller

import (
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// settleTime is how long an instance holds the lease before it acts on it, since the
	// lease moves between instances while they start.
	settleTime = 700 * time.Millisecond
	// storeLostTimeout is how long after the store's last response the lease may be
	// adopted without it.
	storeLostTimeout = 1500 * time.Millisecond
	// maxCandidates bounds the instances of a zone that take part in the group for its lease.
	// Each renews its membership every second, and the next one holds the lease after leaseTTL.
	maxCandidates = 4
)

// lease is an instance's view of whether it holds the lease for placement orders. It may be
// wrong, and only avoids needless work. If two instances believe that they hold the lease,
// the fencing token and the expected sequence number of each order, which the backend
// servers compare, keep their orders from conflicting.
type lease struct {
	heldSince    time.Time // zero if not held
	fencingToken int64     // 0 if this instance has none
	adopted      bool      // the token was not acquired for this lease
	lastResponse time.Time // last response of the store on the lease
	known        knownHolder
}

// knownHolder is the lease holder with the highest fencing token that was observed.
type knownHolder struct {
	holder       deployment.InstanceID
	fencingToken int64
}

// step is the next step of an instance, given its lease.
type step int

const (
	stepWait step = iota
	stepAcquireToken
	stepPlan
)

// recordMembership applies a response of the store on whether this instance holds the
// lease. If it does after an adoption, the adopted token is discarded.
func (l *lease) recordMembership(now time.Time, held bool) {
	l.lastResponse = now
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
	l.fencingToken = 0
	l.adopted = false
}

// recordToken records a fencing token that this instance acquired. A lower token than the
// current one is ignored.
func (l *lease) recordToken(self deployment.InstanceID, fencingToken int64) {
	l.fencingToken = max(l.fencingToken, fencingToken)
	l.observeHolder(self, l.fencingToken)
}

// fenced records that a backend server has seen a higher fencing token. The store must
// confirm the lease before another token is acquired.
func (l *lease) fenced() {
	l.drop()
	l.known = knownHolder{}
}

// observeHolder records a reported lease holder, unless a higher token is known.
func (l *lease) observeHolder(holder deployment.InstanceID, fencingToken int64) {
	if fencingToken >= l.known.fencingToken {
		l.known = knownHolder{holder: holder, fencingToken: fencingToken}
	}
}

// adopt takes the lease with the token of the known holder while the store, which would
// grant it to another instance, does not respond. It does so in two cases: the known holder
// is unreachable and this instance is its successor; or this instance is itself the known
// holder and no longer has a token. This instance then knows no higher token,
// and while the store is unreachable no instance can acquire one. reachable lists the
// reachable instances of the zone, this one included, the smallest id first. If the previous
// holder returns, both send orders with the same token, and the sequence number that each
// order expects keeps them from conflicting. adopt reports whether it took the lease.
func (l *lease) adopt(now time.Time, self deployment.InstanceID, reachable []deployment.InstanceID) bool {
	if l.fencingToken > 0 || l.known.fencingToken == 0 || now.Sub(l.lastResponse) < storeLostTimeout {
		return false
	}
	if l.known.holder != self && !l.isSuccessor(self, reachable) {
		return false
	}
	l.heldSince = now
	l.fencingToken = l.known.fencingToken
	l.adopted = true
	return true
}

// isSuccessor reports whether an instance succeeds the known holder: it is the first of the
// reachable instances, and the holder is not among them.
func (l *lease) isSuccessor(self deployment.InstanceID, reachable []deployment.InstanceID) bool {
	if len(reachable) == 0 || reachable[0] != self {
		return false
	}
	return !slices.Contains(reachable, l.known.holder)
}

// isCandidate reports whether an instance takes part in the group from which the store chooses the
// holder: the first maxCandidates of the reachable instances, the smallest id first, do, and
// whoever holds the lease or held it last as far as is known. Each part of a zone that is cut off
// has candidates of its own.
func (l *lease) isCandidate(self deployment.InstanceID, reachable []deployment.InstanceID) bool {
	if !l.heldSince.IsZero() || l.known.holder == self {
		return true
	}
	first := reachable[:min(len(reachable), maxCandidates)]
	return len(first) == 0 || slices.Contains(first, self)
}

// next returns the step that is due now.
func (l *lease) next(now time.Time) step {
	switch {
	case l.heldSince.IsZero() || now.Sub(l.heldSince) < settleTime:
		return stepWait
	case l.fencingToken == 0:
		return stepAcquireToken
	}
	return stepPlan
}
