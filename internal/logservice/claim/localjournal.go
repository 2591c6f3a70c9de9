package claim

import (
	"context"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

// LocalJournal is the journal of keys that are bound to this incarnation. No
// other instance ever dispatches such a key, so its ledger needs no log. It is
// lost with the process.
type LocalJournal struct {
	mu      sync.Mutex
	tracker *Executor
	next    logservice.Offset
}

// NewLocalExecutor returns a tracker whose ledger lives in this process only.
func NewLocalExecutor() *Executor {
	journal := &LocalJournal{}
	journal.tracker = NewExecutor(journal, func(context.Context, *Executor) error { return nil })
	return journal.tracker
}

// EnqueueClaim implements Journal.
func (j *LocalJournal) EnqueueClaim(c Claim, done func(AppendResult)) {
	done(Appended{Offset: j.take(c)})
}

// Enqueue implements Journal. A local ledger misses nothing, so it needs no
// marks.
func (j *LocalJournal) Enqueue(entry Entry) bool {
	if _, ok := entry.(Heartbeat); !ok {
		j.take(entry)
	}
	return true
}

func (j *LocalJournal) take(entry Entry) logservice.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	body, err := EncodeBatch([]Entry{entry})
	if err != nil {
		return -1
	}
	offset := j.next
	j.next++
	j.tracker.HandleRecords(now, logservice.Page{
		Next:    j.next,
		Records: []logservice.Record{{Offset: offset, Time: now, Body: body}},
	})
	return offset
}
