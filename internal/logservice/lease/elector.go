package lease

import (
	"context"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

const stepInterval = 250 * time.Millisecond

// Appender appends to the log. *logservice.Client implements it.
type Appender interface {
	Append(ctx context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error)
}

// Elector follows the stream and acquires and renews one lease for one instance. It
// is a logservice.Consumer. Its methods are safe for concurrent use.
type Elector struct {
	appender Appender
	lease    Name

	mu        sync.Mutex
	state     *State
	candidate *Candidate
	// caughtUp is set once the stream was read to its end. No request is made
	// before that.
	caughtUp bool
}

// NewElector returns an elector that requests a lease for self.
func NewElector(appender Appender, lease Name, self Incarnation) *Elector {
	return &Elector{appender: appender, lease: lease, state: NewState(), candidate: NewCandidate(lease, self)}
}

// Next implements logservice.Consumer.
func (e *Elector) Next() logservice.Offset {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Next()
}

// HandleRecords implements logservice.Consumer.
func (e *Elector) HandleRecords(now time.Time, page logservice.Page) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range page.Records {
		if err := e.state.Apply(now, record); err != nil {
			return
		}
	}
	e.caughtUp = e.caughtUp || e.state.Next() >= page.Next
}

// HandleTrim implements logservice.Consumer.
func (e *Elector) HandleTrim(_ time.Time, first logservice.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.HandleTrim(first)
}

// HandleReadError implements logservice.Consumer.
func (e *Elector) HandleReadError(time.Time, error) {}

// SetPreferred sets whether this instance is the preferred holder of the lease. See
// Candidate.SetPreferred.
func (e *Elector) SetPreferred(preferred bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.candidate.SetPreferred(preferred)
}

// Token returns the fencing token of the current grant, and reports whether this
// instance holds the lease. The token must not be used if it does not.
func (e *Elector) Token(now time.Time) (FencingToken, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	grant := e.state.Grant(e.lease)
	return grant.Token, e.candidate.Holds(now, grant)
}

// Run requests the lease and renews it until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.step(ctx, now)
		}
	}
}

func (e *Elector) step(ctx context.Context, now time.Time) {
	e.mu.Lock()
	if !e.caughtUp {
		e.mu.Unlock()
		return
	}
	request, ok := e.candidate.Step(now, e.state)
	e.mu.Unlock()
	if !ok {
		return
	}
	body, err := EncodeRequest(request)
	if err != nil {
		return
	}
	// A lost request is repeated by a later step. A request that reaches the log
	// late, after its token was replaced, has no effect at readers without a gap. A
	// reader with a gap may accept it if it has missed the replacement; otherwise it
	// records a late renewal as a conflict. A request with AnyToken takes effect only
	// if the lease has not been renewed for TTL.
	_, _ = e.appender.Append(ctx, Stream, body)
}
