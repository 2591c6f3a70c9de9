package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/singleflight"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	sessionEvents = 64
	// repeatShare is the number of repeats and moves earned by one answered
	// step, repeatReserve what is saved up.
	repeatShare   = 0.01
	repeatReserve = 20
)

// GenerationError says that an answer could not be made whole.
type GenerationError struct {
	Reason  FailReason
	Emitted int
}

func (e *GenerationError) Error() string {
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
	status *RunnerClient

	mu       sync.Mutex
	fleet    *Fleet
	suspects *CrashTracker
	repeats  *retrybudget.Budget
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
func NewPool(zone instancelist.Zone) *Pool {
	return &Pool{
		status:   NewRunnerClient(),
		fleet:    NewFleet(zone),
		suspects: NewCrashTracker(),
		repeats:  retrybudget.New(repeatShare, repeatReserve),
		notify:   func(Fingerprint, string) {},
		streams:  map[runner.ID]*runner.Stream{},
		sessions: map[runner.SessionID]*running{},
	}
}

// WithFleet gives f the fleet, under the pool's lock.
func (p *Pool) WithFleet(f func(*Fleet)) {
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

// HandleCrashNotice takes another instance's notice that a request was running on a
// runner that crashed, and reports whether that was news.
func (p *Pool) HandleCrashNotice(now time.Time, request Fingerprint, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspects.RecordCrash(now, request, incarnation, true)
}

// Counts returns what the pool has seen so far.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// HandleReply implements runner.Receiver.
func (p *Pool) HandleReply(from runner.ID, reply runner.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.sessions[reply.Session]
	if !ok {
		p.counts.Dropped++
		return
	}
	p.push(r, StepReplied{From: from, Reply: reply})
}

// HandleStreamLost implements runner.Receiver.
func (p *Pool) HandleStreamLost(from runner.ID, stream *runner.Stream, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.StreamsLost++
	if p.streams[from] == stream {
		delete(p.streams, from)
	}
	for _, r := range p.sessions {
		if r.stream == stream {
			r.stream = nil
			r.silent = errors.As(cause, new(*runner.HeartbeatTimeoutError))
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
// nil only for a whole answer; the error is a *GenerationError or ctx's.
func (p *Pool) Generate(ctx context.Context, request Request, emit func(hashmodel.Token) error) error {
	p.mu.Lock()
	request.Version = p.fleet.ServableVersion(time.Now(), environment.Model{
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
		p.suspects.Release(request.Fingerprint)
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
	if ok && !s.Closed() {
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
