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
	outcomeRetryDelay = 250 * time.Millisecond
)

// Appender appends a record to a stream. *logservice.Client implements it.
type Appender interface {
	Append(ctx context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error)
}

// AppendResult is the result of a claim's append: Appended, AppendRefused or
// AppendUncertain.
type AppendResult interface {
	isAppendResult()
}

// Appended reports the offset of the record that holds the claim.
type Appended struct {
	Offset logservice.Offset
}

// AppendRefused reports that the claim was not appended and never will be.
type AppendRefused struct {
	RetryAfter time.Duration
}

// AppendUncertain reports an append with unknown result: the claim may already
// be on the log, may be appended later, or may never be.
type AppendUncertain struct{}

func (Appended) isAppendResult()        {}
func (AppendRefused) isAppendResult()   {}
func (AppendUncertain) isAppendResult() {}

// BatcherStats counts the appends of a batcher, the entries in them, and the
// claims rejected because the queue was at capacity.
type BatcherStats struct {
	Appends  uint64
	Entries  uint64
	Rejected uint64
}

// Batcher combines the entries of many calls into one append. Entries that are
// queued during an append share the next one, so batching adds no delay of its
// own.
type Batcher struct {
	appender Appender
	limiter  *rate.Limiter
	wake     chan struct{}

	mu       sync.Mutex
	claims   []queuedClaim
	outcomes []Entry
	// inFlight counts the outcomes, releases and heartbeats in the append in
	// flight.
	inFlight  int
	stats     BatcherStats
	unbatched bool
}

type queuedClaim struct {
	claim Claim
	done  func(AppendResult)
}

// NewBatcher returns a batcher that appends at most appendsPerSecond times a
// second. Nothing is appended until Run is called.
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

// SetLimit changes the maximum append rate, this instance's share of the log
// service's rate limit.
func (b *Batcher) SetLimit(appendsPerSecond float64) {
	b.limiter.SetLimit(rate.Limit(appendsPerSecond))
	b.limiter.SetBurst(burst(appendsPerSecond))
}

// SetUnbatched limits every append to one entry, which is the baseline of the
// batching measurement.
func (b *Batcher) SetUnbatched(unbatched bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unbatched = unbatched
}

// Stats returns the counts since the batcher was created.
func (b *Batcher) Stats() BatcherStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// EnqueueClaim queues a claim. done is called once with the result of its
// append. If the queue is at capacity, done is called with AppendRefused before
// EnqueueClaim returns.
func (b *Batcher) EnqueueClaim(c Claim, done func(AppendResult)) {
	b.mu.Lock()
	if len(b.claims) >= maxQueuedClaims {
		b.stats.Rejected++
		b.mu.Unlock()
		done(AppendRefused{RetryAfter: b.drainTime()})
		return
	}
	b.claims = append(b.claims, queuedClaim{claim: c, done: done})
	b.mu.Unlock()
	b.signal()
}

// drainTime returns how long a full queue of claims takes to drain.
func (b *Batcher) drainTime() time.Duration {
	entriesPerSecond := float64(b.limiter.Limit()) * maxBatchEntries
	return time.Duration(maxQueuedClaims / entriesPerSecond * float64(time.Second))
}

// Enqueue queues an outcome, a release or a heartbeat. Its append is retried
// until the log accepts it; duplicates on the log have no effect. It reports
// false if the queue is at capacity.
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

// Pending returns the number of outcomes, releases and heartbeats whose append
// has not succeeded yet.
func (b *Batcher) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.outcomes) + b.inFlight
}

func (b *Batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run appends queued entries until ctx is done.
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
	claims, outcomes := b.dequeue()
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
	b.finishAppend(outcomes, err)
	if err != nil && len(outcomes) > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(outcomeRetryDelay):
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

func (b *Batcher) dequeue() ([]queuedClaim, []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := maxBatchEntries
	if b.unbatched {
		limit = 1
	}
	n := min(len(b.outcomes), limit)
	outcomes := append([]Entry(nil), b.outcomes[:n]...)
	b.outcomes = b.outcomes[n:]
	b.inFlight = n
	m := min(len(b.claims), limit-n)
	claims := append([]queuedClaim(nil), b.claims[:m]...)
	b.claims = b.claims[m:]
	return claims, outcomes
}

// finishAppend ends an append. If it failed, its outcomes return to the head of
// the queue.
func (b *Batcher) finishAppend(outcomes []Entry, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight = 0
	if err != nil {
		b.outcomes = append(append([]Entry(nil), outcomes...), b.outcomes...)
	}
}
