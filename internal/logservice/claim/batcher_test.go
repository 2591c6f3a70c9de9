package claim

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

// scriptedLog fails appends with the errors of a script, then accepts them.
type scriptedLog struct {
	mu      sync.Mutex
	script  []error
	batches [][]Entry
}

func (l *scriptedLog) Append(_ context.Context, _ logservice.StreamName, body []byte) (logservice.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.script) > 0 {
		err := l.script[0]
		l.script = l.script[1:]
		return 0, err
	}
	entries, err := DecodeBatch(body)
	if err != nil {
		return 0, err
	}
	l.batches = append(l.batches, entries)
	return logservice.Offset(len(l.batches) - 1), nil
}

// TestBatcherResults checks the result that a claim gets for each result of its
// append.
func TestBatcherResults(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want AppendResult
	}{
		"accepted":  {nil, Appended{Offset: 0}},
		"refused":   {&logservice.RefusedError{Cause: errors.New("down")}, AppendRefused{}},
		"uncertain": {&logservice.UncertainError{Cause: errors.New("lost")}, AppendUncertain{}},
	} {
		t.Run(name, func(t *testing.T) {
			log := &scriptedLog{}
			if test.err != nil {
				log.script = []error{test.err}
			}
			b := NewBatcher(log, 1000)
			results := make(chan AppendResult, 1)
			b.EnqueueClaim(Claim{ID: uuid.New()}, func(r AppendResult) { results <- r })
			go b.Run(t.Context())
			assert.Equal(t, <-results, test.want)
		})
	}
}

// TestBatcherCombinesClaims checks that claims queued before an append share it.
func TestBatcherCombinesClaims(t *testing.T) {
	log := &scriptedLog{}
	b := NewBatcher(log, 1000)
	var done sync.WaitGroup
	for range maxBatchEntries {
		done.Add(1)
		b.EnqueueClaim(Claim{ID: uuid.New()}, func(AppendResult) { done.Done() })
	}
	go b.Run(t.Context())
	done.Wait()
	assert.Equal(t, len(log.batches), 1)
	assert.Equal(t, b.Stats().Entries, uint64(maxBatchEntries))
}

// TestBatcherRejectsWhenFull checks that a claim beyond the capacity of the queue
// is rejected immediately, with a Retry-After.
func TestBatcherRejectsWhenFull(t *testing.T) {
	b := NewBatcher(&scriptedLog{}, 10)
	var last AppendResult
	for range maxQueuedClaims + 1 {
		b.EnqueueClaim(Claim{}, func(r AppendResult) { last = r })
	}
	refused, ok := last.(AppendRefused)
	assert.Assert(t, ok)
	assert.Assert(t, refused.RetryAfter > 0)
}

// TestBatcherRetriesOutcomes checks that an outcome is retried after failed
// appends until the log accepts it.
func TestBatcherRetriesOutcomes(t *testing.T) {
	log := &scriptedLog{script: []error{
		&logservice.RefusedError{Cause: errors.New("down")}, &logservice.UncertainError{Cause: errors.New("lost")},
	}}
	b := NewBatcher(log, 1000)
	outcome := Outcome{Key: Key{Team: "t"}, Result: ResultDone}
	assert.Assert(t, b.Enqueue(outcome))
	done := make(chan AppendResult, 1)
	go b.Run(t.Context())
	for b.Pending() > 0 {
		b.EnqueueClaim(Claim{}, func(r AppendResult) { done <- r })
		<-done
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	found := 0
	for _, batch := range log.batches {
		for _, entry := range batch {
			if got, ok := entry.(Outcome); ok {
				assert.DeepEqual(t, got, outcome)
				found++
			}
		}
	}
	assert.Equal(t, found, 1)
}
