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
	publishTimeout          = 8 * time.Second
	publishTickInterval     = 50 * time.Millisecond
	checkpointCheckInterval = 5 * time.Second
	resultQueueSize         = 16
	maxRecentRecords        = 256
	// maxLogReadAge is the age of the last read up to which an instance is
	// expected to read new records from the log itself. A pending publication
	// then waits for its result from the log.
	maxLogReadAge     = 3 * time.Second
	checkpointStagger = 10 * time.Second
)

// Appender appends to the log. *logservice.Client implements it.
type Appender interface {
	Append(ctx context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error)
}

// ConflictError reports that a publication was refused, for instance because
// another one took effect first. Winner is the active entry of the stage, or of
// the trial stage if a promotion is refused before its append.
type ConflictError struct {
	Reason Reason
	Winner Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("refused (%s): version %d is in force", e.Reason, e.Winner.Version)
}

// TimeoutError reports that the result of a publication was not known in time.
type TimeoutError struct {
	// MayTakeEffect is set if the publication may still take effect, or has.
	MayTakeEffect bool
}

func (e *TimeoutError) Error() string {
	if e.MayTakeEffect {
		return "no verdict in time; the document may still come into force"
	}
	return "the log took nothing; the document is not in force"
}

// IncompleteError reports that this instance can't publish, because it has missed
// records or has not yet read the stream to its end.
type IncompleteError struct{}

func (e *IncompleteError) Error() string {
	return "this instance has not read the documents' stream whole"
}

// Config configures a Replica.
type Config struct {
	Appender Appender
	// CheckpointInterval is the age of the newest checkpoint at which the next
	// one is appended. It must be well below the log's retention.
	CheckpointInterval time.Duration
	// OnAccepted is called for each entry that takes effect, in log order, for each
	// entry that a peer's snapshot changes, and for every active entry after a
	// checkpoint restored the state.
	OnAccepted func(Entry)
	// OnAdvanced is called after records or a snapshot were applied, with the
	// offset of the last record in the state.
	OnAdvanced func(asOf logservice.Offset)
	Logger     *zap.Logger
}

// Replica follows the stream, publishes documents and appends checkpoints. Its
// methods are safe for concurrent use. The callbacks of Config are called with
// its lock held and must not call it.
type Replica struct {
	config Config

	mu     sync.Mutex
	state  *State
	loaded bool
	// readFailing is set while reads of the log fail.
	readFailing bool
	readAt      time.Time
	waiters     map[chan Result]struct{}
	// recent holds the last records applied, for peers that cannot read the log.
	recent         []logservice.Record
	checkpointRank int
	startedAt      time.Time
}

// NewReplica returns a replica without entries.
func NewReplica(config Config) *Replica {
	return &Replica{config: config, state: NewState(), waiters: map[chan Result]struct{}{}}
}

// Next implements logservice.Consumer.
func (r *Replica) Next() logservice.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Next()
}

// HandleRecords implements logservice.Consumer.
func (r *Replica) HandleRecords(now time.Time, page logservice.Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.apply(page.Records) {
		return
	}
	r.readAt = now
	if r.readFailing {
		r.readFailing = false
		r.config.Logger.Info("reading the documents stream succeeds again")
	}
	if r.state.Complete() && r.state.Next() >= page.Next {
		r.loaded = true
	}
	if len(page.Records) > 0 {
		r.config.OnAdvanced(r.state.Next() - 1)
	}
}

// apply applies records in order. It stops and returns false when one fails.
func (r *Replica) apply(records []logservice.Record) bool {
	for _, record := range records {
		fresh := record.Offset == r.state.Next()
		results, err := r.state.Apply(record)
		if err != nil {
			r.config.Logger.Error("document record not applied", zap.Int64("offset", int64(record.Offset)), zap.Error(err))
			return false
		}
		if fresh {
			r.recent = append(r.recent, record)
			r.recent = r.recent[max(0, len(r.recent)-maxRecentRecords):]
		}
		r.notify(results)
	}
	return true
}

// RecordsAfter returns the records after an offset, for a peer that has read up to
// there. It returns false if there are none or if the first is no longer kept.
func (r *Replica) RecordsAfter(asOf logservice.Offset) ([]logservice.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, record := range r.recent {
		if record.Offset == asOf+1 {
			return slices.Clone(r.recent[i:]), true
		}
	}
	return nil, false
}

// ApplyPeerRecords applies consecutive records that were received from a peer. It
// ignores them if they leave a gap, or if this replica is not loaded.
func (r *Replica) ApplyPeerRecords(records []logservice.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Next()
	if len(records) == 0 || records[0].Offset > before || !r.loaded {
		return
	}
	if r.apply(records) && r.state.Next() > before {
		r.config.OnAdvanced(r.state.Next() - 1)
	}
}

// LogReadRecently reports whether the replica is loaded and the log was read within
// maxLogReadAge. This instance then reads new records itself and does not need them
// from a peer.
func (r *Replica) LogReadRecently(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded && now.Sub(r.readAt) < maxLogReadAge
}

// HandleTrim implements logservice.Consumer.
func (r *Replica) HandleTrim(_ time.Time, first logservice.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config.Logger.Warn("documents stream was trimmed beyond the last record read", zap.Int64("first", int64(first)))
	r.state.HandleTrim(first)
	r.recent = nil
}

// HandleReadError implements logservice.Consumer.
func (r *Replica) HandleReadError(_ time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.readFailing {
		r.readFailing = true
		r.config.Logger.Warn("reading the documents stream failed; active documents stay active", zap.Error(err))
	}
}

// notify passes results to the publications that wait for one, and entries that
// took effect to OnAccepted.
func (r *Replica) notify(results []Result) {
	for _, result := range results {
		switch v := result.(type) {
		case Accepted:
			r.config.OnAccepted(v.Entry)
		case Restored:
			for _, e := range r.state.Entries() {
				r.config.OnAccepted(e)
			}
		case Refused:
		}
		for c := range r.waiters {
			select {
			case c <- result:
			default:
			}
		}
	}
}

// Loaded reports whether the state has been complete up to the end of the log, or
// equal to a peer's snapshot, at least once.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// ReadAt returns the time of the last successful read of the log.
func (r *Replica) ReadAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt
}

// AsOf returns the offset of the last record in the state, and whether the state
// is complete.
func (r *Replica) AsOf() (logservice.Offset, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Next() - 1, r.state.Complete()
}

// Entries returns all active entries, sorted by environment and stage.
func (r *Replica) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Entries()
}

// Snapshot returns a copy of the state for a peer. It returns false while this
// replica is not loaded or its state is incomplete.
func (r *Replica) Snapshot() (Checkpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return Checkpoint{}, false
	}
	return r.state.Snapshot()
}

// InstallSnapshot installs a snapshot that was received from a peer, if it is
// ahead of this state or covers a gap in it.
func (r *Replica) InstallSnapshot(c Checkpoint) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiters) > 0 && time.Since(r.readAt) < maxLogReadAge {
		// A snapshot does not contain the results that publications wait for,
		// and this instance is about to read them from the log.
		return nil
	}
	before := map[Key]Version{}
	for _, e := range r.state.Entries() {
		before[Key{e.Environment, e.Stage}] = e.Version
	}
	adopted, err := r.state.InstallSnapshot(c)
	if err != nil || !adopted {
		return err
	}
	r.loaded = true
	r.recent = nil
	for _, e := range r.state.Entries() {
		if version, ok := before[Key{e.Environment, e.Stage}]; !ok || version != e.Version {
			r.notify([]Result{Accepted{Entry: e}})
		}
	}
	r.config.OnAdvanced(r.state.Next() - 1)
	return nil
}

// Publish publishes a document that replaces the version base and waits up to 8 s
// for the result. If base is nil, the version that is active now is replaced. Publish
// ignores cancellation of ctx. The error is a *ConflictError, *TimeoutError or
// *IncompleteError.
func (r *Replica) Publish(ctx context.Context, id PublishID, stage environment.Stage, name environment.Name, base *Version, body []byte) (Entry, error) {
	publication, err := r.prepare(id, stage, name, base, body)
	if err != nil {
		return Entry{}, err
	}
	results := make(chan Result, resultQueueSize)
	r.mu.Lock()
	r.waiters[results] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waiters, results)
	}()
	return r.runPublisher(ctx, NewPublisher(publication, time.Now().Add(publishTimeout)), results)
}

// prepare builds the publication. It returns an error if the local state already
// shows that the publication would be refused.
func (r *Replica) prepare(id PublishID, stage environment.Stage, name environment.Name, base *Version, body []byte) (Publication, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.state.Complete() || !r.loaded {
		return Publication{}, &IncompleteError{}
	}
	current := r.state.Entry(Key{name, stage})
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
		p.Promotes = r.state.TrialVersionOf(name, p.Digest)
		if p.Promotes == NoVersion {
			return Publication{}, &ConflictError{Reason: ReasonNotInTrial, Winner: r.state.Entry(Key{name, environment.Trial})}
		}
	}
	return p, nil
}

func (r *Replica) runPublisher(ctx context.Context, publisher *Publisher, results <-chan Result) (Entry, error) {
	appends := make(chan PublisherEvent, 1)
	ticker := time.NewTicker(publishTickInterval)
	defer ticker.Stop()
	actions := publisher.Start()
	for {
		for _, action := range actions {
			switch a := action.(type) {
			case AppendPublication:
				go func() { appends <- r.append(ctx, a.Publication) }()
			case PublishDone:
				return outcome(a.Result)
			case PublishTimedOut:
				return Entry{}, &TimeoutError{MayTakeEffect: a.MayTakeEffect}
			}
		}
		select {
		case event := <-appends:
			actions = publisher.Handle(time.Now(), event)
		case result := <-results:
			actions = publisher.Handle(time.Now(), PublishResult{Result: result})
		case now := <-ticker.C:
			actions = publisher.Handle(now, PublishTick{})
		}
	}
}

func outcome(result Result) (Entry, error) {
	switch v := result.(type) {
	case Accepted:
		return v.Entry, nil
	case Refused:
		return Entry{}, &ConflictError{Reason: v.Reason, Winner: v.Winner}
	}
	return Entry{}, &TimeoutError{MayTakeEffect: true}
}

func (r *Replica) append(ctx context.Context, p Publication) PublisherEvent {
	body, err := EncodeRecord(p)
	if err != nil {
		return PublishRefused{}
	}
	_, err = r.config.Appender.Append(context.WithoutCancel(ctx), Stream, body)
	var refused *logservice.RefusedError
	switch {
	case err == nil:
		return PublishAppended{}
	case errors.As(err, &refused):
		return PublishRefused{}
	}
	return PublishUncertain{}
}

// SetCheckpointRank sets how many live instances rank before this one. Each of them
// delays a due checkpoint of this instance by 10 s.
func (r *Replica) SetCheckpointRank(rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkpointRank = rank
}

// Run appends checkpoints when they are due, until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	ticker := time.NewTicker(checkpointCheckInterval)
	defer ticker.Stop()
	r.mu.Lock()
	r.startedAt = time.Now()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if c, due := r.checkpointDue(now); due {
				r.writeCheckpoint(ctx, c)
			}
		}
	}
}

// checkpointDue returns the checkpoint to append and reports whether one is due.
// It is harmless if two instances append one at the same time.
func (r *Replica) checkpointDue(now time.Time) (Checkpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.state.LastCheckpoint()
	if last.IsZero() {
		last = r.startedAt
	}
	due := last.Add(r.config.CheckpointInterval + time.Duration(r.checkpointRank)*checkpointStagger)
	if !r.loaded || len(r.state.entries) == 0 || now.Before(due) {
		return Checkpoint{}, false
	}
	return r.state.Snapshot()
}

// writeCheckpoint appends the parts of a checkpoint. If an append fails, readers
// ignore the incomplete checkpoint, and one becomes due again at the next check or
// at another instance.
func (r *Replica) writeCheckpoint(ctx context.Context, c Checkpoint) {
	for _, part := range split(c, maxPartBytes) {
		body, err := EncodeRecord(part)
		if err == nil {
			_, err = r.config.Appender.Append(ctx, Stream, body)
		}
		if err != nil {
			r.config.Logger.Warn("append of checkpoint failed", zap.Error(err))
			return
		}
	}
}
