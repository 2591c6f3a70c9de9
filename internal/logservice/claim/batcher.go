package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

const (
	maxBatchEntries   = 256
	maxQueuedClaims   = 2048
	maxQueuedOutcomes = 8192
	outcomeRetry      = 250 * time.Millisecond
)

// Appender appends to the log. *logservice.Client is one.
type Appender interface {
	Append(ctx context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error)
}

// AppendResult says what became of a claim's append.
type AppendResult interface {
	isAppendResult()
}

// Appended gives the offset of the record that holds the claim.
type Appended struct {
	Offset logservice.Offset
}

// AppendRefused says that the claim is not on the log and never will be.
type AppendRefused struct {
	RetryAfter time.Duration
}

// AppendUncertain says that the claim may be on the log now, later or never.
type AppendUncertain struct{}

func (Appended) isAppendResult()        {}
func (AppendRefused) isAppendResult()   {}
func (AppendUncertain) isAppendResult() {}

// BatcherStats counts what a batcher has done.
type BatcherStats struct {
	Appends uint64
	Entries uint64
	Refused uint64
}

// Batcher puts the entries of many calls into one append. Entries that come in
// during an append share the next one, so batching adds no wait of its own.
type Batcher struct {
	appender Appender
	limiter  *rate.Limiter
	wake     chan struct{}

	mu       sync.Mutex
	claims   []queuedClaim
	outcomes []Entry
	// sending counts the outcomes in the append that is under way.
	sending int
	stats   BatcherStats
	single  bool
}

type queuedClaim struct {
	claim Claim
	done  func(AppendResult)
}

// NewBatcher returns a batcher that appends at most appendsPerSecond times a
// second. Run must be called for it to work.
func NewBatcher(appender Appender, appendsPerSecond float64) *Batcher {
	return &Batcher{
		appender: appender,
		limiter:  rate.NewLimiter(rate.Limit(appendsPerSecond), burst(appendsPerSecond)),
		wake:     make(chan struct{}, 1),
	}
}

func burst(appendsPerSecond float64) int {
	const seconds = 0.1
	return max(1, int(appendsPerSecond*seconds))
}

// SetLimit changes the share of the log's rate that this batcher may use.
func (b *Batcher) SetLimit(appendsPerSecond float64) {
	b.limiter.SetLimit(rate.Limit(appendsPerSecond))
	b.limiter.SetBurst(burst(appendsPerSecond))
}

// SetUnbatched makes every append carry one entry: the baseline of the batching
// measurement.
func (b *Batcher) SetUnbatched(single bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.single = single
}

// Stats returns what the batcher has done so far.
func (b *Batcher) Stats() BatcherStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// EnqueueClaim queues a claim. done is called once, with what became of its append.
// Over the queue's limit it is refused at once.
func (b *Batcher) EnqueueClaim(c Claim, done func(AppendResult)) {
	b.mu.Lock()
	if len(b.claims) >= maxQueuedClaims {
		b.stats.Refused++
		b.mu.Unlock()
		done(AppendRefused{RetryAfter: b.drainTime()})
		return
	}
	b.claims = append(b.claims, queuedClaim{claim: c, done: done})
	b.mu.Unlock()
	b.signal()
}

// drainTime is how long a full queue takes to empty.
func (b *Batcher) drainTime() time.Duration {
	perSecond := float64(b.limiter.Limit()) * maxBatchEntries
	return time.Duration(maxQueuedClaims / perSecond * float64(time.Second))
}

// Enqueue queues an outcome or a release. It is appended again until the log
// takes it; a second copy on the log changes nothing. It reports false when
// the queue is full.
func (b *Batcher) Enqueue(entry Entry) bool {
	b.mu.Lock()
	if len(b.outcomes) >= maxQueuedOutcomes {
		b.mu.Unlock()
		return false
	}
	b.outcomes = append(b.outcomes, entry)
	b.mu.Unlock()
	b.signal()
	return true
}

// Pending returns the number of outcomes and releases not on the log yet.
func (b *Batcher) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.outcomes) + b.sending
}

func (b *Batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run appends until ctx ends.
func (b *Batcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for ctx.Err() == nil && b.appendNext(ctx) {
		}
	}
}

// appendNext appends one batch and reports whether more may be queued.
func (b *Batcher) appendNext(ctx context.Context) bool {
	if err := b.limiter.Wait(ctx); err != nil {
		return false
	}
	claims, outcomes := b.take()
	if len(claims)+len(outcomes) == 0 {
		return false
	}
	entries := append([]Entry(nil), outcomes...)
	for _, c := range claims {
		entries = append(entries, c.claim)
	}
	offset, err := b.append(ctx, entries)
	for _, c := range claims {
		c.done(claimResult(offset, err))
	}
	b.sent(outcomes, err)
	if err != nil && len(outcomes) > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(outcomeRetry):
		}
	}
	return true
}

func (b *Batcher) append(ctx context.Context, entries []Entry) (logservice.Offset, error) {
	body, err := EncodeBatch(entries)
	if err != nil {
		return 0, &logservice.RefusedError{Stream: Stream, Cause: err}
	}
	offset, err := b.appender.Append(ctx, Stream, body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Appends++
	b.stats.Entries += uint64(len(entries))
	return offset, err
}

func claimResult(offset logservice.Offset, err error) AppendResult {
	if err == nil {
		return Appended{Offset: offset}
	}
	var refused *logservice.RefusedError
	if errors.As(err, &refused) {
		return AppendRefused{RetryAfter: refused.RetryAfter}
	}
	return AppendUncertain{}
}

func (b *Batcher) take() ([]queuedClaim, []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := maxBatchEntries
	if b.single {
		limit = 1
	}
	n := min(len(b.outcomes), limit)
	outcomes := append([]Entry(nil), b.outcomes[:n]...)
	b.outcomes = b.outcomes[n:]
	b.sending = n
	m := min(len(b.claims), limit-n)
	claims := append([]queuedClaim(nil), b.claims[:m]...)
	b.claims = b.claims[m:]
	return claims, outcomes
}

// sent ends an append; what the log did not take is queued again, first.
func (b *Batcher) sent(outcomes []Entry, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sending = 0
	if err != nil {
		b.outcomes = append(append([]Entry(nil), outcomes...), b.outcomes...)
	}
}
