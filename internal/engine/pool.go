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
	"mulberryhead.org/mulberryhead/internal/http1"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	sessionQueueSize = 64
	// The retry budget pays for retries and for reroutes away from slow runners.
	// retryRatio is the number of retries earned by each reply to a step of one
	// position, retryReserve the most that can be saved up.
	retryRatio   = 0.01
	retryReserve = 20
)

// GenerationError reports that generation ended before the answer was complete.
// Emitted is the number of tokens emitted until then.
type GenerationError struct {
	Reason  FailReason
	Emitted int
}

func (e *GenerationError) Error() string {
	return fmt.Sprintf("generation failed after %d tokens: %s", e.Emitted, e.Reason)
}

// Request describes the answer to generate.
type Request struct {
	Model environment.ModelName
	// Version is the configured version. Generate uses another one that runners
	// cover if they do not cover this one.
	Version   environment.ModelVersion
	Layers    int
	Priority  int
	Prompt    []hashmodel.Token
	MaxTokens int
	// Fingerprint identifies the request for crash tracking.
	Fingerprint Fingerprint
}

// Counts are totals since the pool was created. Dropped counts replies that match
// no outstanding step and events that a session's full queue did not accept; Paths
// counts chosen paths, including the first of each session.
type Counts struct {
	Dropped     uint64
	Paths       uint64
	StreamsLost uint64
	Steps       uint64
}

// Pool generates answers with the runners of a fleet. It is safe for concurrent
// use.
type Pool struct {
	dials        singleflight.Group
	frames       *http1.Memory // of the streams
	statusClient *RunnerClient

	mu           sync.Mutex
	fleet        *Fleet
	crashTracker *CrashTracker
	retryBudget  *retrybudget.Budget
	onCrash      func(request Fingerprint, incarnation string)
	streams      map[runner.ID]*runner.Stream
	sessions     map[runner.SessionID]*activeSession
	counts       Counts
}

// activeSession is a session in progress. currentRunner is the runner that its
// last step was sent to.
type activeSession struct {
	events        chan Event
	currentRunner runner.ID
	path          Path
	stream        *runner.Stream
	session       *Session
	// heartbeatTimedOut is true if the last lost stream ended by a heartbeat
	// timeout. The crash check is skipped then, since an unresponsive runner need
	// not have crashed.
	heartbeatTimedOut bool
}

// NewPool returns a pool without runners. WithFleet adds them.
func NewPool(zone instancelist.Zone) *Pool {
	return &Pool{
		frames:       http1.NewMemory(runner.FrameMemory),
		statusClient: NewRunnerClient(),
		fleet:        NewFleet(zone),
		crashTracker: NewCrashTracker(),
		retryBudget:  retrybudget.New(retryRatio, retryReserve),
		onCrash:      func(Fingerprint, string) {},
		streams:      map[runner.ID]*runner.Stream{},
		sessions:     map[runner.SessionID]*activeSession{},
	}
}

// WithFleet calls f with the fleet while it holds the pool's lock.
func (p *Pool) WithFleet(f func(*Fleet)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.fleet)
}

// OnCrash sets the function that is called when a session of this pool has counted a
// crash against its request, with the incarnation that crashed. It is called before
// the request runs again, and not for crashes from HandleCrashNotice.
func (p *Pool) OnCrash(notify func(request Fingerprint, incarnation string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onCrash = notify
}

// HandleCrashNotice records another instance's notice that a request was running
// on a runner that crashed. It reports whether the crash was newly recorded.
func (p *Pool) HandleCrashNotice(now time.Time, request Fingerprint, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashTracker.RecordCrash(now, request, incarnation, true)
}

// Counts returns the totals so far.
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
			r.heartbeatTimedOut = errors.As(cause, new(*runner.HeartbeatTimeoutError))
			p.push(r, StreamLost{Runner: from})
		}
	}
}

// push queues an event without blocking, since a stream's reader calls it. If the
// queue is full, the event is dropped, and the session notices the loss when its
// step stalls.
func (p *Pool) push(r *activeSession, event Event) {
	select {
	case r.events <- event:
	default:
		p.counts.Dropped++
	}
}

// Generate generates an answer and calls emit for each token, in order. It returns
// nil only for a complete answer. Otherwise the error is a *GenerationError, the
// error of ctx, or the error that emit returned.
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
	r := &activeSession{events: make(chan Event, sessionQueueSize), session: session}
	id := session.config.ID
	p.mu.Lock()
	p.sessions[id] = r
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.unassignPath(r)
		p.crashTracker.Release(request.Fingerprint)
		delete(p.sessions, id)
		p.mu.Unlock()
	}()
	d := driver{
		pool: p, active: r, request: request, emit: emit,
		prefixes: prefixHashes(request.Model, request.Version, request.Prompt),
	}
	return d.run(ctx)
}

// unassignPath stops counting the session on the runners of its path.
func (p *Pool) unassignPath(r *activeSession) {
	p.fleet.Unassign(r.path)
	r.currentRunner, r.path = "", nil
}

// stream returns the open stream to a runner, or dials one. Sessions that need the
// same runner share the dial.
func (p *Pool) stream(ctx context.Context, hop Hop) (*runner.Stream, error) {
	p.mu.Lock()
	s, ok := p.streams[hop.Runner]
	p.mu.Unlock()
	if ok && !s.Closed() {
		return s, nil
	}
	opened, err, _ := p.dials.Do(string(hop.Runner), func() (any, error) {
		s, err := runner.Dial(context.WithoutCancel(ctx), hop.Runner, hop.Address, p, p.frames)
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
