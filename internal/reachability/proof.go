package reachability

import (
	"slices"
	"time"
)

// proof is under way after a connection while the verdict is CutOff: some other servers
// are probed, and most of all of them must connect.
type proof struct {
	from      AttemptID // attempts begun since count
	others    []*server
	asked     bool // the others were given out as probes
	connected map[*server]bool
	failed    map[*server]bool
}

func (p *proof) servers() int { return 1 + len(p.others) }

// recordProof records a connection while the verdict is CutOff.
func (t *Tracker) recordProof(now time.Time, a *attempt) {
	if t.proof == nil {
		t.beginProof(now, a)
	} else if a.id >= t.proof.from {
		t.proof.connected[a.server] = true
	}
	if t.proof == nil || 2*len(t.proof.connected) < t.proof.servers() {
		return
	}
	t.proof = nil
	t.verdict = Sound
	t.recoveredAt = now
}

func (t *Tracker) beginProof(now time.Time, a *attempt) {
	if now.Sub(t.proofAt) < cutOffInterval {
		return
	}
	t.proofAt = now
	t.proof = &proof{
		from: t.lastID + 1, others: t.pickOthers(a.server, t.proofSize),
		connected: map[*server]bool{a.server: true}, failed: map[*server]bool{},
	}
}

// recordDisproof records a failure while the verdict is CutOff.
func (t *Tracker) recordDisproof(a *attempt) {
	p := t.proof
	if p == nil || a.id < p.from || !slices.Contains(p.others, a.server) {
		return
	}
	p.failed[a.server] = true
	if 2*len(p.failed) > p.servers() {
		t.proof = nil
	}
}

func (t *Tracker) expireProof(now time.Time) {
	if t.proof != nil && now.Sub(t.proofAt) >= proofTimeout {
		t.proof = nil
	}
}
