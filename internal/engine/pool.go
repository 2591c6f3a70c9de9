package engine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/singleflight"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	sessionEvents     = 64
	crashCheckTimeout = 250 * time.Millisecond
	crashCheckRetry   = 10 * time.Millisecond
	// A suspect waits up to isolationPatience for runners without others.
	isolationPatience = 600 * time.Millisecond
	isolationRetry    = 20 * time.Millisecond
)

// FailedError says that an answer could not be made whole.
type FailedError struct {
	Reason  FailReason
	Emitted int
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("answer failed after %d tokens: %s", e.Emitted, e.Reason)
}

// Request asks for an answer.
type Request struct {
	Model     environment.ModelName
	Version   environment.ModelVersion
	Layers    int
	Priority  int
	Prompt    []hashmodel.Token
	MaxTokens int
	// Fingerprint tells requests apart that may crash runners.
	Fingerprint Fingerprint
}

// Counts is what a pool has seen so far.
type Counts struct {
	Dropped     uint64
	Paths       uint64
	StreamsLost uint64
	Steps       uint64
}

// Pool makes answers with the runners of a fleet.
type Pool struct {
	dials  singleflight.Group
	status *StatusClient

	mu       sync.Mutex
	fleet    *Fleet
	suspects *Suspects
	notify   func(request Fingerprint, incarnation string)
	streams  map[runner.ID]*runner.Stream
	sessions map[runner.SessionID]*running
	counts   Counts
}

// running is a session and the runner that its outstanding step is at.
type running struct {
	events  chan Event
	at      runner.ID
	path    Path
	stream  *runner.Stream
	session *Session
	// silent says that the last stream ended by silence, not by its end.
	silent bool
}

// NewPool returns a pool without runners.
func NewPool(zone instancelist.AvailabilityZone) *Pool {
	return &Pool{
		status:   NewStatusClient(),
		fleet:    NewFleet(zone),
		suspects: NewSuspects(),
		notify:   func(Fingerprint, string) {},
		streams:  map[runner.ID]*runner.Stream{},
		sessions: map[runner.SessionID]*running{},
	}
}

// Update gives f the fleet, under the pool's lock.
func (p *Pool) Update(f func(*Fleet)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.fleet)
}

// OnCrash sets what is called when a request was running on a runner that
// crashed, before the request runs again.
func (p *Pool) OnCrash(notify func(request Fingerprint, incarnation string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify = notify
}

// Crashed takes another instance's notice that a request was running on a
// runner that crashed, and reports whether that was news.
func (p *Pool) Crashed(now time.Time, request Fingerprint, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects.Crashed(now, request, incarnation, true)
}

// Counts returns what the pool has seen so far.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Replied implements runner.Receiver.
func (p *Pool) Replied(from runner.ID, reply runner.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.sessions[reply.Session]
	if !ok {
		p.counts.Dropped++
		return
	}
	p.push(r, StepReplied{From: from, Reply: reply})
}

// Lost implements runner.Receiver.
func (p *Pool) Lost(from runner.ID, stream *runner.Stream, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.StreamsLost++
	if p.streams[from] == stream {
		delete(p.streams, from)
	}
	for _, r := range p.sessions {
		if r.stream == stream {
			r.stream = nil
			r.silent = errors.As(cause, new(*runner.SilentError))
			p.push(r, StreamLost{Runner: from})
		}
	}
}

// push never blocks the reader of a stream. A session that misses an event
// because its queue is full notices when its step stalls.
func (p *Pool) push(r *running, event Event) {
	select {
	case r.events <- event:
	default:
		p.counts.Dropped++
	}
}

// Generate makes an answer and calls emit for each token, in order. It returns
// nil only for a whole answer; the error is a *FailedError or ctx's.
func (p *Pool) Generate(ctx context.Context, request Request, emit func(hashmodel.Token) error) error {
	p.mu.Lock()
	request.Version = p.fleet.Servable(time.Now(), environment.Model{
		Name: request.Model, Version: request.Version, Layers: request.Layers,
	})
	p.mu.Unlock()
	session := NewSession(SessionConfig{
		ID: uuid.New(), Model: request.Model, Version: request.Version, Layers: request.Layers,
		Priority: request.Priority, Prompt: request.Prompt, MaxTokens: request.MaxTokens,
	})
	r := &running{events: make(chan Event, sessionEvents), session: session}
	id := session.config.ID
	p.mu.Lock()
	p.sessions[id] = r
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.settle(r)
		p.suspects.Vacate(request.Fingerprint)
		delete(p.sessions, id)
		p.mu.Unlock()
	}()
	d := driver{
		pool: p, running: r, request: request, emit: emit,
		prefixes: prefixHashes(request.Model, request.Version, request.Prompt),
	}
	return d.run(ctx)
}

// settle ends the accounting of a session's path.
func (p *Pool) settle(r *running) {
	p.fleet.Unassign(r.path)
	r.at, r.path = "", nil
}

// stream returns the open stream to a runner, opening one if there is none.
func (p *Pool) stream(ctx context.Context, hop Hop) (*runner.Stream, error) {
	p.mu.Lock()
	s, ok := p.streams[hop.Runner]
	p.mu.Unlock()
	if ok && !s.Ended() {
		return s, nil
	}
	opened, err, _ := p.dials.Do(string(hop.Runner), func() (any, error) {
		s, err := runner.Dial(context.WithoutCancel(ctx), hop.Runner, hop.Address, p)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		p.streams[hop.Runner] = s
		p.mu.Unlock()
		return s, nil
	})
	if err != nil {
		return nil, err
	}
	return opened.(*runner.Stream), nil
}

// hasCrashed reports whether a runner is another process than before, or none.
// A process that is just ending may still take a connection and drop it, so
// anything but a clear answer is asked again for a while.
func (p *Pool) hasCrashed(ctx context.Context, id runner.ID, address, before string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		report, err := p.status.Fetch(ctx, id, address)
		if err == nil {
			return report.Incarnation != before
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		time.Sleep(crashCheckRetry)
	}
	return false
}

// driver runs one session in the goroutine of its caller.
type driver struct {
	pool    *Pool
	running *running
	request Request
	emit    func(hashmodel.Token) error
	// prefixes holds the hashes of the prompt's blocks.
	prefixes []uint64
	emitted  int
	// suspect is set while the request runs as a suspect and has not made a
	// token since.
	suspect bool
	result  error
	done    bool
}

func (d *driver) run(ctx context.Context) error {
	session := d.running.session
	d.execute(ctx, session.Start())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.done {
		timer.Reset(d.untilDue())
		var event Event
		select {
		case event = <-d.running.events:
		case <-timer.C:
			event = Tick{}
		case <-ctx.Done():
			d.result = ctx.Err()
			event = Cancelled{}
		}
		if lost, ok := event.(StreamLost); ok {
			d.checkCrash(ctx, lost.Runner)
		}
		d.execute(ctx, session.Step(time.Now(), event))
		d.done = d.done || session.Ended()
	}
	return d.result
}

func (d *driver) untilDue() time.Duration {
	due := d.running.session.Due()
	if due.IsZero() {
		return time.Hour
	}
	return max(time.Until(due), time.Millisecond)
}

// execute carries out actions, and those that follow from them at once.
func (d *driver) execute(ctx context.Context, actions []Action) {
	session := d.running.session
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		if event := d.do(ctx, action); event != nil {
			actions = append(actions, session.Step(time.Now(), event)...)
		}
	}
}

// do carries out one action and returns the event that it led to, if any.
func (d *driver) do(ctx context.Context, action Action) Event {
	switch a := action.(type) {
	case ChoosePath:
		return d.choose(ctx, a)
	case SendStep:
		return d.send(ctx, a)
	case CloseStage:
		d.closeStage(a)
	case Emit:
		if err := d.emit(a.Token); err != nil {
			d.result = err
			return Cancelled{}
		}
		d.emitted++
		if d.suspect {
			d.suspect = false
			d.pool.mu.Lock()
			d.pool.suspects.Passed(d.request.Fingerprint)
			d.pool.mu.Unlock()
		}
	case BlameRunner:
		d.pool.Update(func(f *Fleet) { f.Failed(time.Now(), a.Runner) })
	case DropReply:
		d.pool.mu.Lock()
		d.pool.counts.Dropped++
		d.pool.mu.Unlock()
	case ObserveStep:
		d.pool.Update(func(f *Fleet) { f.Observed(time.Now(), a.Runner, a.Took) })
	case ProposeMove:
		return MoveAnswered{Better: d.betterWithout(a)}
	case Finish:
		d.pool.mu.Lock()
		d.pool.suspects.Cleared(d.request.Fingerprint)
		d.pool.mu.Unlock()
		d.done = true
	case Fail:
		d.result = &FailedError{Reason: a.Reason, Emitted: d.emitted}
		d.done = true
	}
	return nil
}

func (d *driver) choose(ctx context.Context, a ChoosePath) Event {
	patience := time.Now().Add(isolationPatience)
	for {
		now := time.Now()
		event, retry := d.tryChoose(now, a, now.Before(patience))
		if !retry || ctx.Err() != nil {
			return event
		}
		time.Sleep(isolationRetry)
	}
}

// tryChoose chooses a path. With isolate set, a suspect gets one without other
// suspects; retry says that there is none now.
func (d *driver) tryChoose(now time.Time, a ChoosePath, isolate bool) (event Event, retry bool) {
	p := d.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle(d.running)
	request := d.request.Fingerprint
	if p.suspects.Quarantined(now, request) {
		return Quarantined{}, false
	}
	query := Query{
		Model: d.request.Model, Version: d.request.Version, Layers: d.request.Layers,
		Positions: a.Positions, Avoid: a.Avoid, Prefixes: d.prefixes,
	}
	suspect := p.suspects.Suspect(request)
	if suspect && isolate {
		query.Avoid = maps.Clone(a.Avoid)
		for _, r := range p.fleet.Runners() {
			query.Avoid[r.ID] = query.Avoid[r.ID] || !p.suspects.Free(request, r.ID)
		}
	}
	path, err := p.fleet.Choose(now, query)
	if err != nil {
		return NoPath{}, suspect && isolate
	}
	if suspect && isolate && !p.fleet.Local(path) {
		// Another zone must not pay for the isolation.
		query.Avoid = a.Avoid
		if shared, err := p.fleet.Choose(now, query); err == nil && p.fleet.Local(shared) {
			return NoPath{}, true
		}
	}
	p.counts.Paths++
	d.running.path = path
	p.fleet.Assign(path)
	if suspect {
		d.suspect = true
		p.suspects.Occupy(request, path)
	}
	for _, hop := range path {
		p.fleet.Prefilled(now, hop.Runner, d.prefixes)
	}
	return PathChosen{Path: path}, false
}

// betterWithout reports whether a path without a runner is predicted to take
// less than half of what the slow runner alone takes.
func (d *driver) betterWithout(a ProposeMove) bool {
	p := d.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	path, err := p.fleet.Choose(time.Now(), Query{
		Model: d.request.Model, Version: d.request.Version, Layers: d.request.Layers,
		Positions: 1, Avoid: a.Avoid,
	})
	if err != nil {
		return false
	}
	total := time.Duration(0)
	for _, hop := range path {
		total += hop.Expected
	}
	return total < a.Took/2
}

// checkCrash asks a runner whose stream ended whether it still is the process
// that it was. If not, this request was running when it crashed.
func (d *driver) checkCrash(ctx context.Context, id runner.ID) {
	p := d.pool
	p.mu.Lock()
	r, ok := p.fleet.Runner(id)
	if !ok || d.running.silent || d.running.at != id {
		p.mu.Unlock()
		return
	}
	address, before := r.Address, r.Report.Incarnation
	p.mu.Unlock()
	if !p.hasCrashed(ctx, id, address, before) {
		return
	}
	p.mu.Lock()
	request := d.request.Fingerprint
	news := p.suspects.Crashed(time.Now(), request, before, p.suspects.Alone(request, id))
	notify := p.notify
	p.mu.Unlock()
	if news {
		notify(request, before)
	}
}

func (d *driver) send(ctx context.Context, a SendStep) Event {
	d.account(a.Hop.Runner)
	stream, err := d.pool.stream(ctx, a.Hop)
	if err != nil {
		return RunnerUnreachable{Runner: a.Hop.Runner}
	}
	d.pool.mu.Lock()
	d.running.stream = stream
	d.pool.mu.Unlock()
	if stream.Send(a.Step) {
		return nil
	}
	return d.notSent(a, stream)
}

// notSent reports a stream's end once: Lost may have reported it already.
func (d *driver) notSent(a SendStep, stream *runner.Stream) Event {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	if d.running.stream != stream {
		return nil
	}
	d.running.stream = nil
	return StreamLost{Runner: a.Hop.Runner}
}

// account moves the session's outstanding step to a runner.
func (d *driver) account(id runner.ID) {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	d.running.at = id
	d.pool.counts.Steps++
}

func (d *driver) closeStage(a CloseStage) {
	d.pool.mu.Lock()
	stream := d.pool.streams[a.Hop.Runner]
	d.pool.mu.Unlock()
	if stream != nil {
		stream.Close(a.Close)
	}
}
