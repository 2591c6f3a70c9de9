package gateway

import (
	"hash/fnv"
	"maps"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
)

const (
	// brokenMemory is how long an attempt that broke off may be blamed for an end that
	// becomes known later. A stage further down the path is found to have ended only when
	// the streams that wait for it are examined.
	brokenMemory = 3 * time.Second
	// endTimeSlack is how much earlier than the end, as far as its time is known here, an
	// attempt may have broken off to be blamed.
	endTimeSlack = 100 * time.Millisecond
	// maxBrokenAttempts bounds the attempts that are remembered.
	maxBrokenAttempts = 512
	// maxServersSeen is the number of servers from which on those not seen lately are
	// forgotten.
	maxServersSeen = 4096
)

// endWatch knows the attempts in flight, finds out which backend servers have ended, and
// holds requests back that are to blame. It is safe for concurrent use.
type endWatch struct {
	config    *Config
	transport *backend.Transport
	// onPeerEnd is called with each server that a peer has found ended.
	onPeerEnd func(now time.Time, id deployment.BackendID)

	mu       sync.Mutex
	tracker  *poison.Tracker
	attempts map[*watchedAttempt]bool
	broken   []*watchedAttempt // that had not begun, the earliest first
	// checks are under way. The channel of a check is closed when it is done.
	checks map[deployment.Incarnation]chan struct{}
	// brokeOff are the servers under check whose connections broke off in the middle of a stream.
	brokeOff map[deployment.BackendID]bool
	// othersCheckedAt is when a stage was last checked since another one of its path had ended.
	othersCheckedAt map[deployment.Incarnation]time.Time
	// lastSeen is when a backend server last was on the path of an event, as far as the
	// attempts have ended.
	lastSeen map[deployment.Incarnation]time.Time
	// unproven are the ends that wait for a proof.
	unproven  map[deployment.Incarnation]*unprovenEnd
	changedAt time.Time // when the evidence last changed
	heldKeys  int
}

func newEndWatch(config *Config, transport *backend.Transport) *endWatch {
	return &endWatch{
		config: config, transport: transport, tracker: poison.NewTracker(trialJitter(config.Settings.Instance)),
		attempts: map[*watchedAttempt]bool{}, checks: map[deployment.Incarnation]chan struct{}{},
		lastSeen: map[deployment.Incarnation]time.Time{}, othersCheckedAt: map[deployment.Incarnation]time.Time{}, brokeOff: map[deployment.BackendID]bool{},
		unproven:  map[deployment.Incarnation]*unprovenEnd{},
		onPeerEnd: func(time.Time, deployment.BackendID) {},
	}
}

// trialJitter returns a number from 0 to 1 that differs between instances.
func trialJitter(instance deployment.InstanceID) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instance)) // never fails
	return float64(hash.Sum32()%1000) / 1000
}

// begin records that an attempt is sent. begun is set if the request's answer has begun
// before.
func (e *endWatch) begin(c *call, servers []deployment.Backend, begun bool, interrupt func()) *watchedAttempt {
	a := &watchedAttempt{id: attemptID(c), call: c, servers: servers, begun: begun, interrupt: interrupt, trial: c.trial}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[a] = true
	return a
}

// recordBegun records that the answer of an attempt has begun, which clears its keys.
func (e *endWatch) recordBegun(now time.Time, a *watchedAttempt) {
	e.mu.Lock()
	if a.begun {
		e.mu.Unlock()
		return
	}
	a.begun = true
	news := e.tracker.RecordBegun(now, a.call.keys)
	e.changed(now, news)
	e.mu.Unlock()
	e.tell(news)
}

// finish records that an attempt has ended. One that broke off before its answer began may
// still be blamed for a while.
func (e *endWatch) finish(now time.Time, a *watchedAttempt, broke bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, a)
	e.recordSeen(now, a)
	if !broke || a.begun {
		return
	}
	a.endedAt = now
	for len(e.broken) > 0 && (len(e.broken) >= maxBrokenAttempts || now.Sub(e.broken[0].endedAt) > brokenMemory) {
		e.broken = e.broken[1:]
	}
	e.broken = append(e.broken, a)
}

// recordSeen records when the servers of an attempt that has ended were last seen running.
func (e *endWatch) recordSeen(now time.Time, a *watchedAttempt) {
	last := a.lastEvent.Load()
	if last == nil {
		return
	}
	if len(e.lastSeen) >= maxServersSeen {
		maps.DeleteFunc(e.lastSeen, func(_ deployment.Incarnation, at time.Time) bool { return now.Sub(at) > brokenMemory })
	}
	for _, server := range a.servers {
		incarnation := server.Incarnation()
		if last.After(e.lastSeen[incarnation]) {
			e.lastSeen[incarnation] = *last
		}
	}
}

// seenRunning returns when a backend server was last seen running, zero if that is unknown.
func (e *endWatch) seenRunning(incarnation deployment.Incarnation) time.Time {
	seen := e.lastSeen[incarnation]
	for a := range e.attempts {
		if last := a.lastEvent.Load(); last != nil && last.After(seen) && a.uses(incarnation) {
			seen = *last
		}
	}
	return seen
}

// move records that an attempt goes on along another path, as an attempt of its own: there
// it may end another backend server.
func (e *endWatch) move(now time.Time, a *watchedAttempt, servers []deployment.Backend) *watchedAttempt {
	e.mu.Lock()
	begun := a.begun
	e.mu.Unlock()
	e.finish(now, a, true)
	a.call.reroutes.Add(1)
	return e.begin(a.call, servers, begun, a.interrupt)
}

// blamedFor returns the attempts that were in flight on a backend server when that ended.
func (e *endWatch) blamedFor(at time.Time, incarnation deployment.Incarnation) []poison.Blamed {
	var blamed []poison.Blamed
	for a := range e.attempts {
		if !a.begun && a.uses(incarnation) && !e.waitedAt(at, a, incarnation) {
			blamed = append(blamed, poison.Blamed{Attempt: a.id, Keys: a.call.keys})
		}
	}
	for _, a := range e.broken {
		if a.uses(incarnation) && !a.endedAt.Before(at.Add(-endTimeSlack)) && !e.waitedAt(at, a, incarnation) {
			blamed = append(blamed, poison.Blamed{Attempt: a.id, Keys: a.call.keys})
		}
	}
	return blamed
}

// waitedAt reports whether an attempt waited, when a backend server ended, for another one
// that had ended before. Such an attempt could not begin.
func (e *endWatch) waitedAt(at time.Time, a *watchedAttempt, ended deployment.Incarnation) bool {
	for _, server := range a.servers {
		other := server.Incarnation()
		earlier, ok := e.tracker.EndedAt(other)
		if ok && other != ended && earlier.Before(at.Add(-endTimeSlack)) {
			return true
		}
	}
	return false
}
