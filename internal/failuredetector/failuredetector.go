// Package failuredetector finds stages of paths that have stopped responding while streams pass
// through them, so that the streams can be moved before their clients notice the pause. It
// addresses the load condition in which several backend servers are lost at once and hundreds of
// streams wait for them.
//
// A stream is silent when its events are overdue. The stages of its path that no other stream has
// shown to be healthy since are probed in parallel. A stage that does not answer, although others
// of its zone do, is suspected.
//
// Usage: tell a Detector of streams and events, call Step at the times that it asks for, open the
// connections that it returns, and tell it how they ended:
//
//	detector := failuredetector.New(now)
//	id := detector.Begin(now, targetGap, path)
//	detector.Event(now, id)
//	step := detector.Step(now)
//	for _, address := range step.Probes { go connect(address) }
//	detector.Answered(now, address)
//
// A Detector has no goroutine, clock or I/O, and is not safe for concurrent use.
package failuredetector

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// minSilence is the shortest silence. Healthy events come up to 100 ms apart, and
	// a connection within the zone takes 0.4 ms, so that a shorter one only adds probes.
	minSilence = 50 * time.Millisecond
	// maxSilenceShare is the share of the target gap after which a stream is silent at the
	// latest. The rest is for probes, the reroute and the prefill of the next stage.
	maxSilenceShare = 0.4
	// probeTimeout is how long a stage may take to answer a probe. A connection to a healthy one
	// takes 0.4 ms in its zone and 1.5 ms across zones.
	probeTimeout = 40 * time.Millisecond
	// probeAgain is the time without an answer after which another connection is opened, up to
	// maxConnections: a packet may have been lost, or the stage may go on.
	probeAgain     = 15 * time.Millisecond
	maxConnections = 3
	// reportedTimeout is how long a stage that a peer suspects may take to answer a probe, if own
	// streams through it are silent.
	reportedTimeout = 10 * time.Millisecond
	// slowLinkFactor is the multiple of the slowest answer from a zone that other probes of
	// that zone may take, up to maxProbeTimeout.
	slowLinkFactor  = 4
	maxProbeTimeout = 200 * time.Millisecond
	// roundInterval is the minimum interval between rounds of probes for one path.
	roundInterval = 300 * time.Millisecond
	// maxStreamSign is the number of unanswered probes of a zone up to which a stream is a sign that
	// links to the zone work. Where more are unanswered, a slow link is the likelier cause.
	maxStreamSign = 3
	// reportAge is how long the report of one peer about a stage of own streams is kept.
	reportAge = 300 * time.Millisecond
	// MaxStep is the longest time between two steps that counts as passed. In a longer one this
	// instance had no processor time, and events may wait to be read.
	MaxStep = 30 * time.Millisecond
	// catchUp is the time that open probes get after such a step.
	catchUp = 20 * time.Millisecond
	// idleStep is the time until the next step if nothing is due, and probingStep while probes
	// are open. minStep bounds the processor time of steps.
	idleStep    = 25 * time.Millisecond
	probingStep = 10 * time.Millisecond
	minStep     = 5 * time.Millisecond
)

// StreamID identifies a stream of a Detector.
type StreamID uint64

// Stage is a backend server on a path.
type Stage struct {
	Address deployment.Address
	Zone    deployment.Zone
}

// stream is the state of a stream. Times are on the detector's clock.
type stream struct {
	id        StreamID
	targetGap time.Duration
	path      []Stage
	pathKey   string
	intervals intervals
	last      time.Duration // last event
	// started is set once the stream had an event on its current path.
	started bool
}

// threshold returns the time without an event after which the stream is silent.
func (s *stream) threshold() time.Duration {
	limit := max(minSilence, time.Duration(maxSilenceShare*float64(s.targetGap)))
	return min(limit, max(minSilence, s.intervals.bound(limit)))
}

// expected returns the typical interval between events.
func (s *stream) expected() time.Duration {
	if s.intervals.known() {
		return s.intervals.mean
	}
	return s.threshold()
}

func (s *stream) passes(address deployment.Address) bool {
	return slices.ContainsFunc(s.path, func(stage Stage) bool { return stage.Address == address })
}

// Detector finds the stages that don't respond.
type Detector struct {
	// clock is the time that has passed in steps of at most MaxStep.
	clock     time.Duration
	steppedAt time.Time
	lastID    StreamID
	streams   map[StreamID]*stream
	rounds    map[string]time.Duration // when the last round for a path began
	probes    map[deployment.Address]*probe
	reports   map[deployment.Address]time.Duration // of one peer, about stages of own streams
}

// New returns a Detector without streams.
func New(now time.Time) *Detector {
	return &Detector{
		steppedAt: now, streams: map[StreamID]*stream{}, rounds: map[string]time.Duration{}, probes: map[deployment.Address]*probe{},
		reports: map[deployment.Address]time.Duration{},
	}
}

// at returns the time on the detector's clock.
func (d *Detector) at(now time.Time) time.Duration {
	return d.clock + min(MaxStep, max(0, now.Sub(d.steppedAt)))
}

// Begin adds a stream along a path, which has had no event on it yet.
func (d *Detector) Begin(now time.Time, targetGap time.Duration, path []Stage) StreamID {
	if len(d.streams) == 0 {
		d.steppedAt = now // Step need not be called without streams
	}
	d.lastID++
	d.streams[d.lastID] = &stream{id: d.lastID, targetGap: targetGap, path: path, pathKey: pathKey(path), last: d.at(now)}
	return d.lastID
}

func pathKey(path []Stage) string {
	var key strings.Builder
	for _, stage := range path {
		key.WriteString(string(stage.Address) + " ")
	}
	return key.String()
}

// Event records an event of a stream.
func (d *Detector) Event(now time.Time, id StreamID) {
	s, ok := d.streams[id]
	if !ok {
		return
	}
	at := d.at(now)
	if s.started {
		s.intervals.add(min(at-s.last, s.targetGap))
	}
	s.started = true
	s.last = at
}

// Move records that a stream goes on along another path.
func (d *Detector) Move(now time.Time, id StreamID, path []Stage) {
	if s, ok := d.streams[id]; ok {
		s.path, s.pathKey, s.started, s.last = path, pathKey(path), false, d.at(now)
	}
}

// End removes a stream.
func (d *Detector) End(id StreamID) { delete(d.streams, id) }

// Streams returns the number of streams.
func (d *Detector) Streams() int { return len(d.streams) }

// Silence returns how long a stream has had no event, the time from which on it is silent, and
// whether it is. A stream that waits for its first event on a path is not silent.
func (d *Detector) Silence(now time.Time, id StreamID) (since, threshold time.Duration, silent bool) {
	s, ok := d.streams[id]
	if !ok {
		return 0, 0, false
	}
	since, threshold = d.at(now)-s.last, s.threshold()
	return since, threshold, s.started && since >= threshold
}

// Interval returns the typical interval between the events of a stream, an upper bound if it is
// not known.
func (d *Detector) Interval(id StreamID) time.Duration {
	if s, ok := d.streams[id]; ok {
		return s.expected()
	}
	return 0
}

// Step is what follows from the passage of time.
type Step struct {
	Probes    []deployment.Address // to connect to
	Suspected []Suspicion
	Rounds    []Round
	Next      time.Duration // until the next step
}

// Suspicion is a stage that does not respond.
type Suspicion struct {
	Address deployment.Address
	// Reported is set if a peer's report was accepted, unset if the stage did not answer a probe.
	Reported bool
	// Waited is how long the probe waited for an answer.
	Waited time.Duration
}

// Round is a round of probes that has begun.
type Round struct {
	Streams []StreamID // silent on the path
	Stages  int        // probed, including those whose probes were open
}

// Step advances the detector to a time.
func (d *Detector) Step(now time.Time) Step {
	d.advance(now)
	silent, next := d.silentStreams()
	step := Step{Suspected: append(d.settleReports(), d.settleProbes()...)}
	step.Rounds = d.beginRounds(silent)
	step.Probes = d.dueProbes()
	step.Next = min(idleStep, next)
	if len(d.probes) > 0 {
		step.Next = min(step.Next, probingStep)
	}
	step.Next = max(minStep, step.Next)
	maps.DeleteFunc(d.rounds, func(_ string, at time.Duration) bool { return d.clock-at > roundInterval })
	return step
}

func (d *Detector) advance(now time.Time) {
	stoodStill := now.Sub(d.steppedAt) > MaxStep
	d.clock = d.at(now)
	if now.After(d.steppedAt) {
		d.steppedAt = now
	}
	if !stoodStill {
		return
	}
	for _, p := range d.probes {
		p.lenient = max(p.lenient, d.clock+catchUp)
	}
}

// silentStreams returns the silent streams in the order in which they began, and the time until
// the next one becomes silent.
func (d *Detector) silentStreams() (silent []*stream, next time.Duration) {
	next = idleStep
	for _, s := range d.streams {
		if !s.started {
			continue
		}
		if left := s.threshold() - (d.clock - s.last); left > 0 {
			next = min(next, left)
		} else {
			silent = append(silent, s)
		}
	}
	slices.SortFunc(silent, func(a, b *stream) int { return int(a.id) - int(b.id) })
	return silent, next
}

// beginRounds begins the rounds that are due, and returns them.
func (d *Detector) beginRounds(silent []*stream) []Round {
	var rounds []Round
	var passed map[deployment.Address]time.Duration
	begun := map[string]int{}
	for _, s := range silent {
		if at, ok := begun[s.pathKey]; ok {
			rounds[at].Streams = append(rounds[at].Streams, s.id)
			continue
		}
		if last, ok := d.rounds[s.pathKey]; ok && d.clock-last < roundInterval {
			continue
		}
		if passed == nil {
			passed = d.lastPassed()
		}
		stages := doubtful(s, passed)
		if len(stages) == 0 {
			continue
		}
		if stages[0] != s.path[0] {
			stages = append(stages, s.path[0]) // a control, which shows that links work
		}
		for _, stage := range stages {
			d.beginProbe(stage)
		}
		begun[s.pathKey] = len(rounds)
		d.rounds[s.pathKey] = d.clock
		rounds = append(rounds, Round{Streams: []StreamID{s.id}, Stages: len(stages)})
	}
	return rounds
}

// lastPassed returns when the last event of any stream through each stage came.
func (d *Detector) lastPassed() map[deployment.Address]time.Duration {
	passed := map[deployment.Address]time.Duration{}
	for _, s := range d.streams {
		if !s.started {
			continue
		}
		for _, stage := range s.path {
			passed[stage.Address] = max(passed[stage.Address], s.last)
		}
	}
	return passed
}

// doubtful returns the stages of a silent stream's path through which no stream has gone on since
// it became overdue. If a stage was lost after that, the streams through it become silent
// themselves. The bound minSilence keeps a group of streams with intervals near the limit from
// being probed for each late event, which would use up the round of the path.
func doubtful(silent *stream, passed map[deployment.Address]time.Duration) []Stage {
	overdue := silent.last + min(minSilence, silent.expected())
	var stages []Stage
	for _, stage := range silent.path {
		if passed[stage.Address] <= overdue {
			stages = append(stages, stage)
		}
	}
	return stages
}
