package lease

import (
	"context"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

const stepInterval = 250 * time.Millisecond

// Appender appends to the log. *logservice.Client is one.
type Appender interface {
	Append(ctx context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error)
}

// Elector follows the stream and holds one duty when it can.
type Elector struct {
	appender Appender
	duty     Name

	mu     sync.Mutex
	fold   *State
	holder *Candidate
	// atEnd is set once the stream was read to its end.
	atEnd bool
}

// NewElector returns a keeper of a duty for one incarnation.
func NewElector(appender Appender, duty Name, self Incarnation) *Elector {
	return &Elector{appender: appender, duty: duty, fold: NewState(), holder: NewCandidate(duty, self)}
}

// Next implements logservice.Consumer.
func (k *Elector) Next() logservice.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Next()
}

// HandleRecords implements logservice.Consumer.
func (k *Elector) HandleRecords(now time.Time, page logservice.Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, record := range page.Records {
		if err := k.fold.Apply(now, record); err != nil {
			return
		}
	}
	k.atEnd = k.atEnd || k.fold.Next() >= page.Next
}

// HandleTrim implements logservice.Consumer.
func (k *Elector) HandleTrim(_ time.Time, first logservice.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fold.HandleTrim(first)
}

// HandleReadError implements logservice.Consumer.
func (k *Elector) HandleReadError(time.Time, error) {}

// SetPreferred tells whether this instance is the preferred one for the duty.
func (k *Elector) SetPreferred(preferred bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.SetPreferred(preferred)
}

// Token returns the fencing number while this instance holds the duty.
func (k *Elector) Token(now time.Time) (FencingToken, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	grant := k.fold.Grant(k.duty)
	return grant.Token, k.holder.Holds(now, grant)
}

// Run asks for the duty and renews it until ctx ends.
func (k *Elector) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			k.step(ctx, now)
		}
	}
}

func (k *Elector) step(ctx context.Context, now time.Time) {
	k.mu.Lock()
	if !k.atEnd {
		k.mu.Unlock()
		return
	}
	request, ok := k.holder.Step(now, k.fold)
	k.mu.Unlock()
	if !ok {
		return
	}
	body, err := EncodeRequest(request)
	if err != nil {
		return
	}
	// A request that is lost is made again at the next step; one that takes
	// effect late names a fence that has been replaced by then.
	_, _ = k.appender.Append(ctx, Stream, body)
}
