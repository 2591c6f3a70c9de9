package document

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	publishTimeout  = 8 * time.Second
	publishTick     = 50 * time.Millisecond
	checkpointCheck = 5 * time.Second
	verdictQueue    = 16
	recentRecords   = 256
	// adoptDelay is how recently the log must have been read for a publication
	// to wait for its verdict there.
	adoptDelay        = 3 * time.Second
	checkpointStagger = 10 * time.Second
)

// Appender appends to the log. *logservice.Client is one.
type Appender interface {
	Append(ctx context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error)
}

// ConflictError says that another publication came first.
type ConflictError struct {
	Reason Reason
	Winner Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("refused (%s): version %d is in force", e.Reason, e.Winner.Version)
}

// TimeoutError says that a publication got no verdict in time.
type TimeoutError struct {
	// MayTakeEffect says that it may still come into force.
	MayTakeEffect bool
}

func (e *TimeoutError) Error() string {
	if e.MayTakeEffect {
		return "no verdict in time; the document may still come into force"
	}
	return "the log took nothing; the document is not in force"
}

// IncompleteError says that this instance has missed records and can't judge.
type IncompleteError struct{}

func (e *IncompleteError) Error() string {
	return "this instance has not read the documents' stream whole"
}

// Config is what a keeper works with.
type Config struct {
	Appender Appender
	// CheckpointInterval is the age of the newest checkpoint at which another one
	// is appended. It must be well below the log's retention.
	CheckpointInterval time.Duration
	// OnAccepted is called for each entry that comes into force, in order.
	OnAccepted func(Entry)
	// OnAdvanced is called after the state took more records.
	OnAdvanced func(asOf logservice.Offset)
	Logger     *zap.Logger
}

// Replica follows the stream, publishes, and writes checkpoints.
type Replica struct {
	config Config

	mu     sync.Mutex
	fold   *State
	loaded bool
	// down is set while reads fail.
	down    bool
	readAt  time.Time
	waiting map[chan Result]struct{}
	// recent holds the last records, for peers that cannot read the log.
	recent   []logservice.Record
	rank     int
	sinceLog time.Time
}

// NewReplica returns a keeper with nothing in force.
func NewReplica(config Config) *Replica {
	return &Replica{config: config, fold: NewState(), waiting: map[chan Result]struct{}{}}
}

// Next implements logservice.Consumer.
func (k *Replica) Next() logservice.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Next()
}

// HandleRecords implements logservice.Consumer.
func (k *Replica) HandleRecords(now time.Time, page logservice.Page) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.apply(page.Records) {
		return
	}
	k.readAt = now
	if k.down {
		k.down = false
		k.config.Logger.Info("documents' stream can be read again")
	}
	if k.fold.Complete() && k.fold.Next() >= page.Next {
		k.loaded = true
	}
	if len(page.Records) > 0 {
		k.config.OnAdvanced(k.fold.Next() - 1)
	}
}

// apply takes records in order, and reports false when one was refused.
func (k *Replica) apply(records []logservice.Record) bool {
	for _, record := range records {
		fresh := record.Offset == k.fold.Next()
		verdicts, err := k.fold.Apply(record)
		if err != nil {
			k.config.Logger.Error("document record refused", zap.Int64("offset", int64(record.Offset)), zap.Error(err))
			return false
		}
		if fresh {
			k.recent = append(k.recent, record)
			k.recent = k.recent[max(0, len(k.recent)-recentRecords):]
		}
		k.tell(verdicts)
	}
	return true
}

// RecordsAfter returns the records after an offset, for a peer that has read up to
// there. It reports false when they are no longer held.
func (k *Replica) RecordsAfter(asOf logservice.Offset) ([]logservice.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, record := range k.recent {
		if record.Offset == asOf+1 {
			return slices.Clone(k.recent[i:]), true
		}
	}
	return nil, false
}

// ApplyPeerRecords takes records that a peer has read, as far as they follow on what was
// read here.
func (k *Replica) ApplyPeerRecords(records []logservice.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.fold.Next()
	if len(records) == 0 || records[0].Offset > before || !k.loaded {
		return
	}
	if k.apply(records) && k.fold.Next() > before {
		k.config.OnAdvanced(k.fold.Next() - 1)
	}
}

// LogReadRecently reports whether the log was read a moment ago, so that this instance
// will read for itself what its peers announce.
func (k *Replica) LogReadRecently(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded && now.Sub(k.readAt) < adoptDelay
}

// HandleTrim implements logservice.Consumer.
func (k *Replica) HandleTrim(_ time.Time, first logservice.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Logger.Warn("documents' stream was trimmed beyond what was read", zap.Int64("first", int64(first)))
	k.fold.HandleTrim(first)
	k.recent = nil
}

// HandleReadError implements logservice.Consumer.
func (k *Replica) HandleReadError(_ time.Time, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.down {
		k.down = true
		k.config.Logger.Warn("documents' stream can't be read; what is in force stays", zap.Error(err))
	}
}

// tell hands verdicts to those who wait, and what came into force to the
// instance.
func (k *Replica) tell(verdicts []Result) {
	for _, verdict := range verdicts {
		switch v := verdict.(type) {
		case Accepted:
			k.config.OnAccepted(v.Entry)
		case Restored:
			for _, e := range k.fold.Entries() {
				k.config.OnAccepted(e)
			}
		case Refused:
		}
		for c := range k.waiting {
			select {
			case c <- verdict:
			default:
			}
		}
	}
}

// Loaded reports whether the state was whole and at the end of the log, or of
// a peer's state, at least once.
func (k *Replica) Loaded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded
}

// ReadAt returns when the log was last read.
func (k *Replica) ReadAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readAt
}

// AsOf returns the offset of the last record in the state, and whether the
// state is whole.
func (k *Replica) AsOf() (logservice.Offset, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Next() - 1, k.fold.Complete()
}

// Entries returns all that is in force.
func (k *Replica) Entries() []Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Entries()
}

// Snapshot returns the state for a peer, and false while records are missing.
func (k *Replica) Snapshot() (Checkpoint, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.loaded {
		return Checkpoint{}, false
	}
	return k.fold.Snapshot()
}

// InstallSnapshot takes a peer's snapshot if it is ahead of this state.
func (k *Replica) InstallSnapshot(c Checkpoint) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.waiting) > 0 && time.Since(k.readAt) < adoptDelay {
		// A snapshot carries no verdicts; this instance reads them off the log
		// in a moment.
		return nil
	}
	before := map[Key]Version{}
	for _, e := range k.fold.Entries() {
		before[Key{e.Environment, e.Stage}] = e.Version
	}
	adopted, err := k.fold.InstallSnapshot(c)
	if err != nil || !adopted {
		return err
	}
	k.loaded = true
	k.recent = nil
	for _, e := range k.fold.Entries() {
		if version, ok := before[Key{e.Environment, e.Stage}]; !ok || version != e.Version {
			k.tell([]Result{Accepted{Entry: e}})
		}
	}
	k.config.OnAdvanced(k.fold.Next() - 1)
	return nil
}

// Publish asks for a document to replace base, and waits for the verdict. A
// base of nil stands for the version in force now. The error is a
// *ConflictError, *TimeoutError or *IncompleteError.
func (k *Replica) Publish(ctx context.Context, id PublishID, stage environment.Stage, name environment.Name, base *Version, body []byte) (Entry, error) {
	publication, err := k.prepare(id, stage, name, base, body)
	if err != nil {
		return Entry{}, err
	}
	verdicts := make(chan Result, verdictQueue)
	k.mu.Lock()
	k.waiting[verdicts] = struct{}{}
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.waiting, verdicts)
	}()
	return k.drive(ctx, NewPublisher(publication, time.Now().Add(publishTimeout)), verdicts)
}

// prepare builds the record, and refuses at once what this state already shows
// to be lost.
func (k *Replica) prepare(id PublishID, stage environment.Stage, name environment.Name, base *Version, body []byte) (Publication, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.fold.Complete() || !k.loaded {
		return Publication{}, &IncompleteError{}
	}
	current := k.fold.Entry(Key{name, stage})
	p := Publication{
		Environment: name, Stage: stage, Base: current.Version,
		Digest: environment.DigestOf(body), ID: id, Body: body, Promotes: NoVersion,
	}
	if base != nil {
		p.Base = *base
	}
	if p.Base != current.Version {
		return Publication{}, &ConflictError{Reason: ReasonStaleBase, Winner: current}
	}
	if stage == environment.Production {
		p.Promotes = k.fold.TrialVersionOf(name, p.Digest)
		if p.Promotes == NoVersion {
			return Publication{}, &ConflictError{Reason: ReasonNotInTrial, Winner: k.fold.Entry(Key{name, environment.Trial})}
		}
	}
	return p, nil
}

func (k *Replica) drive(ctx context.Context, publisher *Publisher, verdicts <-chan Result) (Entry, error) {
	appends := make(chan PublisherEvent, 1)
	ticker := time.NewTicker(publishTick)
	defer ticker.Stop()
	actions := publisher.Start()
	for {
		for _, action := range actions {
			switch a := action.(type) {
			case AppendPublication:
				go func() { appends <- k.append(ctx, a.Publication) }()
			case PublishDone:
				return outcome(a.Result)
			case PublishTimedOut:
				return Entry{}, &TimeoutError{MayTakeEffect: a.MayTakeEffect}
			}
		}
		select {
		case event := <-appends:
			actions = publisher.Handle(time.Now(), event)
		case verdict := <-verdicts:
			actions = publisher.Handle(time.Now(), PublishResult{Result: verdict})
		case now := <-ticker.C:
			actions = publisher.Handle(now, PublishTick{})
		}
	}
}

func outcome(verdict Result) (Entry, error) {
	switch v := verdict.(type) {
	case Accepted:
		return v.Entry, nil
	case Refused:
		return Entry{}, &ConflictError{Reason: v.Reason, Winner: v.Winner}
	}
	return Entry{}, &TimeoutError{MayTakeEffect: true}
}

func (k *Replica) append(ctx context.Context, p Publication) PublisherEvent {
	body, err := EncodeRecord(p)
	if err != nil {
		return PublishRefused{}
	}
	_, err = k.config.Appender.Append(context.WithoutCancel(ctx), Stream, body)
	var refused *logservice.RefusedError
	switch {
	case err == nil:
		return PublishAppended{}
	case errors.As(err, &refused):
		return PublishRefused{}
	}
	return PublishUncertain{}
}

// SetCheckpointRank tells the keeper how many live instances come before it in the order
// of writing checkpoints.
func (k *Replica) SetCheckpointRank(rank int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rank = rank
}

// Run writes checkpoints until ctx ends.
func (k *Replica) Run(ctx context.Context) {
	ticker := time.NewTicker(checkpointCheck)
	defer ticker.Stop()
	k.mu.Lock()
	k.sinceLog = time.Now()
	k.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if c, due := k.checkpointDue(now); due {
				k.writeCheckpoint(ctx, c)
			}
		}
	}
}

// checkpointDue reports whether this instance should append a checkpoint. Two
// instances that do so at once do no harm.
func (k *Replica) checkpointDue(now time.Time) (Checkpoint, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	last := k.fold.LastCheckpoint()
	if last.IsZero() {
		last = k.sinceLog
	}
	due := last.Add(k.config.CheckpointInterval + time.Duration(k.rank)*checkpointStagger)
	if !k.loaded || len(k.fold.entries) == 0 || now.Before(due) {
		return Checkpoint{}, false
	}
	return k.fold.Snapshot()
}

// writeCheckpoint appends a checkpoint. One that stops halfway counts for
// nothing, and another instance writes the next.
func (k *Replica) writeCheckpoint(ctx context.Context, c Checkpoint) {
	for _, part := range split(c, maxPartBytes) {
		body, err := EncodeRecord(part)
		if err == nil {
			_, err = k.config.Appender.Append(ctx, Stream, body)
		}
		if err != nil {
			k.config.Logger.Warn("checkpoint not appended", zap.Error(err))
			return
		}
	}
}
