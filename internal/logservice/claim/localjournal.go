package claim

import (
	"context"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

// LocalJournal is the Journal of keys that are bound to this incarnation. No
// other instance ever dispatches such a key, so its entries need no log. They
// are lost when the process exits.
type LocalJournal struct {
	mu       sync.Mutex
	executor *Executor
	next     logservice.Offset
}

// NewLocalExecutor returns an executor whose keys are stored in this process
// only.
func NewLocalExecutor() *Executor {
	journal := &LocalJournal{}
	journal.executor = NewExecutor(journal, func(context.Context, *Executor) error { return nil })
	return journal.executor
}

// EnqueueClaim implements Journal.
func (j *LocalJournal) EnqueueClaim(c Claim, done func(AppendResult)) {
	done(Appended{Offset: j.apply(c)})
}

// Enqueue implements Journal. It drops heartbeats, since a local table misses no
// records.
func (j *LocalJournal) Enqueue(entry Entry) bool {
	if _, ok := entry.(Heartbeat); !ok {
		j.apply(entry)
	}
	return true
}

func (j *LocalJournal) apply(entry Entry) logservice.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	body, err := EncodeBatch([]Entry{entry})
	if err != nil {
		return -1
	}
	offset := j.next
	j.next++
	j.executor.HandleRecords(now, logservice.Page{
		Next:    j.next,
		Records: []logservice.Record{{Offset: offset, Time: now, Body: body}},
	})
	return offset
}
