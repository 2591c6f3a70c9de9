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

// scriptedLog answers appends with the errors of a script, then takes them.
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

// TestBatcherResults checks what a claim is told for each ending of its append.
func TestBatcherResults(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want AppendResult
	}{
		"taken":     {nil, Appended{Offset: 0}},
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

// TestBatcherSharesAppends queues claims before the log is asked: they go in
// one append.
func TestBatcherSharesAppends(t *testing.T) {
	log := &scriptedLog{}
	b := NewBatcher(log, 1000)
	var told sync.WaitGroup
	for range maxBatchEntries {
		told.Add(1)
		b.EnqueueClaim(Claim{ID: uuid.New()}, func(AppendResult) { told.Done() })
	}
	go b.Run(t.Context())
	told.Wait()
	assert.Equal(t, len(log.batches), 1)
	assert.Equal(t, b.Stats().Entries, uint64(maxBatchEntries))
}

// TestBatcherPushesBack fills the queue: the next claim is refused at once and
// told when to come back.
func TestBatcherPushesBack(t *testing.T) {
	b := NewBatcher(&scriptedLog{}, 10)
	var last AppendResult
	for range maxQueuedClaims + 1 {
		b.EnqueueClaim(Claim{}, func(r AppendResult) { last = r })
	}
	refused, ok := last.(AppendRefused)
	assert.Assert(t, ok)
	assert.Assert(t, refused.RetryAfter > 0)
}

// TestBatcherRepeatsOutcomes keeps an outcome until the log has taken it.
func TestBatcherRepeatsOutcomes(t *testing.T) {
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
