package reachability

import (
	"cmp"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// server is what is known of the link to one server.
type server struct {
	Server
	connected   AttemptID // the last that connected, 0 if none has
	failed      AttemptID // the last that failed, 0 if none has
	failedAt    time.Time
	wasDown     bool      // its link was down before the last attempt that failed
	askedAt     time.Time // when it was last given out as a probe
	evidence    int       // failed attempts since the doubt began
	downAtDoubt bool      // its link was down when the doubt began
}

// attempt is an attempt to connect that is pending.
type attempt struct {
	id      AttemptID
	server  *server
	begunAt time.Time
	begun   time.Duration // on the tracker's clock
	late    bool
	settled bool // it has counted as failed, or its lateness says nothing
}

// doubt is why the verdict is not Sound. It stays on record while the verdict is CutOff.
type doubt struct {
	initiator AttemptID // that failed or was late
	server    *server   // of the initiator
	from      AttemptID // the first attempt begun since
}

// counts reports whether an attempt is the initiator or has begun since the doubt.
func (d *doubt) counts(id AttemptID) bool { return id == d.initiator || id >= d.from }

// Tracker decides on the links of this instance.
type Tracker struct {
	servers  map[deployment.Address]*server
	attempts []*attempt // by ID
	lastID   AttemptID
	calledAt time.Time
	// clock is the time that has passed, less the gaps in which this instance stood still.
	clock time.Duration

	verdict     Verdict
	connected   AttemptID // the last attempt that connected to any server
	connectedAt time.Time
	doubt       doubt
	doubtAt     time.Time // when servers were last probed in doubt

	cutOffProbeAt time.Time // when a server was last probed while cut off
	proof         *proof    // nil if there is none under way
	proofAt       time.Time // when the last one began
	proofSize     int       // number of other servers
	recoveredAt   time.Time // when the verdict was last CutOff

	linkWindowAt time.Time // when the window of linkProbes began
	linkProbes   int
}

// NewTracker returns a Tracker that knows no servers and whose verdict is Sound.
func NewTracker() *Tracker {
	return &Tracker{servers: map[deployment.Address]*server{}, proofSize: proofServers}
}

// SetServers sets the servers that are listed, and forgets all others.
func (t *Tracker) SetServers(now time.Time, listed []Server) {
	t.advance(now)
	servers := map[deployment.Address]*server{}
	for _, entry := range listed {
		s, ok := t.servers[entry.Address]
		if !ok {
			s = &server{}
		}
		s.Server = entry
		servers[entry.Address] = s
	}
	t.servers = servers
	t.attempts = slices.DeleteFunc(t.attempts, func(a *attempt) bool { return !t.knows(a.server) })
	t.reviewDoubt(now)
}

func (t *Tracker) knows(s *server) bool { return t.servers[s.Address] == s }

// reviewDoubt decides again after the servers have changed.
func (t *Tracker) reviewDoubt(now time.Time) {
	switch {
	case len(t.servers) == 0:
		t.verdict = Sound
		t.proof = nil
	case t.verdict != Doubtful:
	case t.failedServers() == 0 && !t.knows(t.doubt.server):
		t.verdict = Sound
	default:
		t.decideDoubt(now)
	}
}

// Begin records that an attempt to connect to a server begins.
func (t *Tracker) Begin(now time.Time, address deployment.Address) AttemptID {
	t.advance(now)
	t.lastID++
	if s, ok := t.servers[address]; ok {
		t.attempts = append(t.attempts, &attempt{id: t.lastID, server: s, begunAt: now, begun: t.clock})
	}
	return t.lastID
}

// Connected records that an attempt has connected.
func (t *Tracker) Connected(now time.Time, id AttemptID) {
	t.tick(now)
	if a := t.remove(id); a != nil {
		t.recordConnection(now, a)
	}
	t.checkAttempts(now)
}

func (t *Tracker) recordConnection(now time.Time, a *attempt) {
	if t.link(a.server) == LinkDown {
		t.linkProbes = max(0, t.linkProbes-1)
	}
	a.server.connected = max(a.server.connected, a.id)
	a.server.wasDown = false
	t.connected = max(t.connected, a.id)
	t.connectedAt = now
	if t.verdict == Sound || a.id <= t.doubt.initiator {
		return
	}
	if t.verdict == Doubtful {
		t.verdict = Sound
		return
	}
	t.recordProof(now, a)
}

// Failed records that an attempt has failed.
func (t *Tracker) Failed(now time.Time, id AttemptID, failure Failure) {
	t.advance(now)
	a := t.remove(id)
	if a == nil || a.settled {
		return
	}
	switch failure {
	case Refused:
		t.recordFailure(now, a)
	case Hung:
		if a.late {
			t.recordFailure(now, a)
		}
	case Abandoned:
	}
}

// Verdict returns whether this instance reaches the servers.
func (t *Tracker) Verdict(now time.Time) Verdict {
	t.advance(now)
	return t.verdict
}

// Link returns the state of the link to a server.
func (t *Tracker) Link(now time.Time, address deployment.Address) LinkState {
	t.advance(now)
	s, ok := t.servers[address]
	if !ok {
		return LinkUnknown
	}
	return t.link(s)
}

func (t *Tracker) link(s *server) LinkState {
	switch {
	case s.wasDown || s.failed > s.connected && t.connected > s.failed:
		return LinkDown
	case s.failed > s.connected || s.connected == 0:
		return LinkUnknown
	case t.verdict == CutOff && s.connected <= t.doubt.initiator:
		return LinkUnknown
	default:
		return LinkUp
	}
}

// advance moves the clock to the present, and finds the attempts that are late.
func (t *Tracker) advance(now time.Time) {
	t.tick(now)
	t.checkAttempts(now)
}

func (t *Tracker) tick(now time.Time) {
	gap := now.Sub(t.calledAt)
	if gap <= 0 && !t.calledAt.IsZero() {
		t.expireProof(now)
		return // callers may be late with their time
	}
	t.calledAt = now
	if gap <= maxPollGap {
		t.clock += max(gap, 0)
	} else {
		t.clock += lateGapCredit
	}
	if gap >= pauseGap {
		t.startAnew()
	}
	t.expireProof(now)
}

func (t *Tracker) checkAttempts(now time.Time) {
	t.attempts = slices.DeleteFunc(t.attempts, func(a *attempt) bool { return now.Sub(a.begunAt) >= attemptLifetime })
	for _, a := range t.attempts {
		t.checkLate(now, a)
	}
}

// startAnew forgets what was pending or in doubt before this instance stood still.
func (t *Tracker) startAnew() {
	for _, a := range t.attempts {
		a.settled = true
	}
	if t.verdict == Doubtful {
		t.verdict = Sound
	}
	t.proof = nil
}

func (t *Tracker) checkLate(now time.Time, a *attempt) {
	if a.settled {
		return
	}
	age := t.clock - a.begun
	if !a.late && age >= lateAfter {
		a.late = true
	}
	if a.late {
		t.beginDoubt(now, a)
	}
	if age >= ProbeTimeout {
		a.settled = true
		t.recordFailure(now, a)
	}
}

func (t *Tracker) recordFailure(now time.Time, a *attempt) {
	s := a.server
	t.beginDoubt(now, a)
	s.wasDown = t.link(s) == LinkDown
	s.failed = max(s.failed, a.id)
	s.failedAt = now
	switch {
	case t.verdict == Doubtful && t.doubt.counts(a.id):
		s.evidence++
		t.decideDoubt(now)
	case t.verdict == CutOff:
		t.recordDisproof(a)
	}
}

// beginDoubt begins a doubt, unless there is one or an attempt begun later has connected.
func (t *Tracker) beginDoubt(now time.Time, a *attempt) {
	if t.verdict != Sound || a.id < t.connected {
		return
	}
	if t.link(a.server) == LinkDown && now.Sub(t.connectedAt) < quietAfter {
		return
	}
	t.verdict = Doubtful
	t.doubt = doubt{initiator: a.id, server: a.server, from: t.lastID + 1}
	for _, s := range t.servers {
		s.evidence = 0
		s.downAtDoubt = t.link(s) == LinkDown
	}
}

// decideDoubt ends a doubt once enough servers have failed.
func (t *Tracker) decideDoubt(now time.Time) {
	if t.failedServers() < min(minFailedServers, len(t.servers)) || !t.failsInZones() {
		return
	}
	if len(t.servers) == 1 && t.onlyServer().evidence < minFailuresOfOnly {
		return
	}
	t.verdict = CutOff
	t.proof = nil
	t.cutOffProbeAt = now
	if !t.recoveredAt.IsZero() && now.Sub(t.recoveredAt) < flapWindow {
		t.proofSize = min(2*t.proofSize, proofServers<<maxProofDoublings)
		return
	}
	t.proofSize = proofServers
}

// failedServers returns the number of servers that have failed since the doubt began.
func (t *Tracker) failedServers() int {
	count := 0
	for _, s := range t.servers {
		if s.evidence > 0 {
			count++
		}
	}
	return count
}

// failsInZones reports whether servers of enough zones have failed since the doubt began. A
// zone whose links were all down before tells nothing.
func (t *Tracker) failsInZones() bool {
	zones := map[deployment.Zone]bool{}
	failed := map[deployment.Zone]bool{}
	for _, s := range t.servers {
		if s.downAtDoubt {
			continue
		}
		zones[s.Zone] = true
		if s.evidence > 0 {
			failed[s.Zone] = true
		}
	}
	return len(failed) >= min(minFailedZones, len(zones))
}

func (t *Tracker) onlyServer() *server {
	for _, s := range t.servers {
		return s
	}
	return nil
}

// remove removes a pending attempt. It returns nil if there is none.
func (t *Tracker) remove(id AttemptID) *attempt {
	i, ok := slices.BinarySearchFunc(t.attempts, id, func(a *attempt, id AttemptID) int { return cmp.Compare(a.id, id) })
	if !ok {
		return nil
	}
	a := t.attempts[i]
	t.attempts = slices.Delete(t.attempts, i, i+1)
	return a
}
