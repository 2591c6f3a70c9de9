package gateway

import (
	"context"
	"hash/fnv"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
)

const (
	// endCheckDelay is the time between a failed attempt and the check whether its backend
	// server has ended.
	endCheckDelay   = 30 * time.Millisecond
	endCheckTimeout = 300 * time.Millisecond
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

// watchedAttempt is an attempt that may be blamed for the end of a backend server.
type watchedAttempt struct {
	id        poison.Attempt
	call      *call
	servers   []deployment.Backend
	interrupt func() // nil if the attempt is not interrupted when its request is held
	trial     bool
	// begun is set once the answer to the request has begun, in this attempt or before.
	begun     bool
	endedAt   time.Time                 // zero while in flight
	lastEvent atomic.Pointer[time.Time] // nil before the first event of this attempt
}

// recordEvent records that an event arrived, so that all servers of the path were running.
func (a *watchedAttempt) recordEvent(now time.Time) { a.lastEvent.Store(&now) }

// endWatch knows the attempts in flight, finds out which backend servers have ended, and
// holds requests back that are to blame. It is safe for concurrent use.
type endWatch struct {
	config    *Config
	transport *backend.Transport

	mu       sync.Mutex
	tracker  *poison.Tracker
	attempts map[*watchedAttempt]bool
	broken   []*watchedAttempt // that had not begun, the earliest first
	// checks are under way. The channel of a check is closed when it is done.
	checks map[poison.Incarnation]chan struct{}
	// lastSeen is when a backend server last was on the path of an event, as far as the
	// attempts have ended.
	lastSeen  map[poison.Incarnation]time.Time
	changedAt time.Time // when the evidence last changed
	heldKeys  int
}

func newEndWatch(config *Config, transport *backend.Transport) *endWatch {
	return &endWatch{
		config: config, transport: transport, tracker: poison.NewTracker(trialJitter(config.Settings.Instance)),
		attempts: map[*watchedAttempt]bool{}, checks: map[poison.Incarnation]chan struct{}{},
		lastSeen: map[poison.Incarnation]time.Time{},
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

// attemptID returns the identifier of a request's current attempt along its current path.
func attemptID(c *call) poison.Attempt {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.id + " " + strconv.Itoa(c.attempts) + " " + strconv.Itoa(int(c.reroutes.Load())))) // never fails
	return poison.Attempt(hash.Sum64())
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
		maps.DeleteFunc(e.lastSeen, func(_ poison.Incarnation, at time.Time) bool { return now.Sub(at) > brokenMemory })
	}
	for _, server := range a.servers {
		incarnation := poison.IncarnationOf(server)
		if last.After(e.lastSeen[incarnation]) {
			e.lastSeen[incarnation] = *last
		}
	}
}

// seenRunning returns when a backend server was last seen running, zero if that is unknown.
func (e *endWatch) seenRunning(incarnation poison.Incarnation) time.Time {
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

// checkEnds checks which of an attempt's backend servers have ended, as far as they are
// suspected of it, and waits for the results. It reports whether one has.
func (e *endWatch) checkEnds(ctx context.Context, at time.Time, suspected []deployment.Backend) bool {
	ended := false
	for _, server := range suspected {
		ended = e.checkEnd(ctx, at, server) || ended
	}
	return ended
}

// checkEnd checks whether a backend server has ended, at a time, unless that is known.
func (e *endWatch) checkEnd(ctx context.Context, at time.Time, server deployment.Backend) bool {
	incarnation := poison.IncarnationOf(server)
	e.mu.Lock()
	if e.tracker.Ended(incarnation) {
		e.mu.Unlock()
		e.recordEnd(at, server) // the attempt that asks may be blamed too
		return true
	}
	done, underWay := e.checks[incarnation]
	if !underWay {
		done = make(chan struct{})
		e.checks[incarnation] = done
		go e.runCheck(at, server, done)
	}
	e.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Ended(incarnation)
}

// runCheck connects to a backend server. Where the connection is refused, the process has
// ended; where it gets no response, the machine or the network may have failed.
func (e *endWatch) runCheck(at time.Time, server deployment.Backend, done chan struct{}) {
	time.Sleep(endCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	refused := e.transport.Refused(ctx, server.Address)
	cancel()
	if refused && e.config.Fleet.Serving(poison.IncarnationOf(server)) {
		e.recordEnd(at, server)
	}
	e.mu.Lock()
	delete(e.checks, poison.IncarnationOf(server))
	e.mu.Unlock()
	close(done)
}

// recordEnd records that a backend server ended at a time, and blames this instance's
// attempts that were in flight there.
func (e *endWatch) recordEnd(at time.Time, server deployment.Backend) {
	now := time.Now()
	incarnation := poison.IncarnationOf(server)
	e.mu.Lock()
	if seen := e.seenRunning(incarnation); !seen.IsZero() && seen.Before(at) {
		at = seen // found out later: streams wait for a while for a stage that has ended
	}
	blamed := e.blamedFor(at, incarnation)
	known := e.tracker.Ended(incarnation)
	news := e.tracker.RecordEnd(now, at, incarnation, blamed)
	e.changed(now, news)
	e.mu.Unlock()
	e.tell(news)
	if !known {
		e.logEnd(server, noticedHere, "", len(blamed))
	}
}

// blamedFor returns the attempts that were in flight on a backend server when that ended.
func (e *endWatch) blamedFor(at time.Time, incarnation poison.Incarnation) []poison.Blamed {
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
func (e *endWatch) waitedAt(at time.Time, a *watchedAttempt, ended poison.Incarnation) bool {
	for _, server := range a.servers {
		other := poison.IncarnationOf(server)
		earlier, ok := e.tracker.EndedAt(other)
		if ok && other != ended && earlier.Before(at.Add(-endTimeSlack)) {
			return true
		}
	}
	return false
}

func (a *watchedAttempt) uses(incarnation poison.Incarnation) bool {
	for _, server := range a.servers {
		if poison.IncarnationOf(server) == incarnation {
			return true
		}
	}
	return false
}

// merge adds the evidence of another instance and what this one has to add to it. It
// returns what was new of the peer's.
func (e *endWatch) merge(now time.Time, from deployment.InstanceID, evidence poison.Evidence) poison.Evidence {
	e.mu.Lock()
	var fresh []poison.End
	for _, end := range evidence.Ends {
		if !e.tracker.Ended(end.Incarnation) {
			fresh = append(fresh, end)
		}
	}
	news := e.tracker.Merge(now, evidence)
	var own poison.Evidence
	for _, end := range fresh {
		at := now.Add(-end.Age)
		added := e.tracker.RecordEnd(now, at, end.Incarnation, e.blamedFor(at, end.Incarnation))
		own.Ends = append(own.Ends, added.Ends...)
		own.Begun = append(own.Begun, added.Begun...)
	}
	e.changed(now, news)
	e.changed(now, own)
	e.mu.Unlock()
	e.tell(own)
	for _, end := range fresh {
		e.logEnd(deployment.Backend{ID: end.Incarnation.Server, StartedAt: time.UnixMilli(end.Incarnation.StartedAt)}, toldByPeer, from, len(end.Blamed))
	}
	return news
}

// changed interrupts the attempts whose requests have come to be held. It is called with mu
// held.
func (e *endWatch) changed(now time.Time, news poison.Evidence) {
	if news.Empty() {
		return
	}
	e.changedAt = now
	held := e.tracker.HeldKeys(now)
	if held != e.heldKeys {
		e.config.Metrics.setHeldKeys(held)
		e.config.Logger.Info("requests held back", zap.Int("parts-or-requests", held), zap.Int("before", e.heldKeys))
	}
	e.heldKeys = held
	if held == 0 {
		return
	}
	for a := range e.attempts {
		if !a.begun && !a.trial && a.interrupt != nil && e.tracker.Judge(now, a.call.keys) == poison.Held {
			a.interrupt()
		}
	}
}

// tell passes news to the other instances.
func (e *endWatch) tell(news poison.Evidence) {
	if !news.Empty() {
		e.config.OnPoisonEvidence(news)
	}
}

func (e *endWatch) logEnd(server deployment.Backend, source noticeSource, from deployment.InstanceID, blamed int) {
	e.config.Metrics.countBackendEnd(source)
	e.config.Logger.Info("backend server ended", zap.String("backend", string(server.ID)), zap.String("address", string(server.Address)),
		zap.Time("started-at", server.StartedAt), zap.String("source", string(source)), zap.String("told-by", string(from)), zap.Int("blamed", blamed))
}

// judge returns the verdict on a request.
func (e *endWatch) judge(now time.Time, c *call) poison.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Judge(now, c.keys)
}

// admit returns a *heldBackError if a request must not be sent now.
func (e *endWatch) admit(now time.Time, c *call) error {
	verdict := e.judge(now, c)
	ended := c.endedServer.Load()
	if verdict == poison.Held && (ended || !c.trial) || verdict == poison.Suspected && ended {
		return &heldBackError{verdict: verdict}
	}
	return nil
}

// admitTrial lets a held request be sent once as a trial where one is due.
func (e *endWatch) admitTrial(now time.Time, c *call) {
	e.mu.Lock()
	if e.tracker.Judge(now, c.keys) != poison.Held {
		e.mu.Unlock()
		return
	}
	news, ok := e.tracker.Try(now, c.keys)
	c.trial = ok
	e.mu.Unlock()
	if ok {
		e.config.Logger.Info("held request sent as a trial", zap.String("request", c.id), partsField(c))
	}
	e.tell(news)
}

// evidence returns all that this instance knows, and when that last changed.
func (e *endWatch) evidence(now time.Time) (poison.Evidence, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Evidence(now), e.changedAt
}
