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

// Keeper follows the stream and holds one duty when it can.
type Keeper struct {
	appender Appender
	duty     Duty

	mu     sync.Mutex
	fold   *Fold
	holder *Holder
	// atEnd is set once the stream was read to its end.
	atEnd bool
}

// NewKeeper returns a keeper of a duty for one incarnation.
func NewKeeper(appender Appender, duty Duty, self Incarnation) *Keeper {
	return &Keeper{appender: appender, duty: duty, fold: NewFold(), holder: NewHolder(duty, self)}
}

// Next implements logservice.Follower.
func (k *Keeper) Next() logservice.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Next()
}

// Records implements logservice.Follower.
func (k *Keeper) Records(now time.Time, page logservice.Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, record := range page.Records {
		if err := k.fold.Apply(now, record); err != nil {
			return
		}
	}
	k.atEnd = k.atEnd || k.fold.Next() >= page.Next
}

// Trimmed implements logservice.Follower.
func (k *Keeper) Trimmed(_ time.Time, first logservice.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fold.Trimmed(first)
}

// Failed implements logservice.Follower.
func (k *Keeper) Failed(time.Time, error) {}

// Prefer tells whether this instance is the preferred one for the duty.
func (k *Keeper) Prefer(preferred bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.Prefer(preferred)
}

// Held returns the fencing number while this instance holds the duty.
func (k *Keeper) Held(now time.Time) (Fence, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	grant := k.fold.Grant(k.duty)
	return grant.Fence, k.holder.Holds(now, grant)
}

// Run asks for the duty and renews it until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
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

func (k *Keeper) step(ctx context.Context, now time.Time) {
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
