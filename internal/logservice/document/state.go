package document

import (
	"slices"
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// maxTried bounds the versions that a stage remembers as accepted.
const maxTried = 16

// Key names one stage of one environment.
type Key struct {
	Environment environment.Name
	Stage       environment.Stage
}

// Result says what became of one record: Accepted, Refused or Restored.
type Result interface {
	isVerdict()
}

// Accepted says that a publication is in force now.
type Accepted struct {
	Entry Entry
}

// Reason says why a publication was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonStaleBase      Reason = "stale-base"
	ReasonNotInTrial     Reason = "not-tried"
	ReasonDigestMismatch Reason = "wrong-digest"
	ReasonWrongStage     Reason = "wrong-stage"
)

// Refused says that a publication never comes into force. Winner is what was
// in force instead; its Version is NoVersion when nothing was.
type Refused struct {
	ID     PublishID
	Reason Reason
	Winner Entry
}

// Restored says that a checkpoint made an incomplete state whole again.
type Restored struct{}

func (Accepted) isVerdict() {}
func (Refused) isVerdict()  {}
func (Restored) isVerdict() {}

// State is the state of the stream up to an offset. The zero value is not
// ready; use NewState.
type State struct {
	next    logservice.Offset
	entries map[Key]Entry
	// whole is false while records may have been missed, so that no
	// publication can be judged.
	whole bool
	// floor is where the reading started after a gap, and pending holds the
	// publications read since.
	floor      logservice.Offset
	pending    []pendingPublication
	parts      partCollector
	checkpoint time.Time
}

type pendingPublication struct {
	offset      logservice.Offset
	publication Publication
}

// NewState returns the state before the first record of a stream that was
// never trimmed.
func NewState() *State {
	return &State{entries: map[Key]Entry{}, whole: true}
}

// Next returns the offset of the record to apply next.
func (f *State) Next() logservice.Offset {
	return f.next
}

// Complete reports whether the fold has missed no record.
func (f *State) Complete() bool {
	return f.whole
}

// LastCheckpoint returns the log's time of the newest checkpoint applied, zero
// if none was.
func (f *State) LastCheckpoint() time.Time {
	return f.checkpoint
}

// Entry returns what is in force; its Version is NoVersion if nothing is.
func (f *State) Entry(key Key) Entry {
	if e, ok := f.entries[key]; ok {
		return e
	}
	return Entry{Environment: key.Environment, Stage: key.Stage, Version: NoVersion}
}

// Entries returns all that is in force, sorted by environment and stage.
func (f *State) Entries() []Entry {
	list := make([]Entry, 0, len(f.entries))
	for _, e := range f.entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Environment != list[j].Environment {
			return list[i].Environment < list[j].Environment
		}
		return list[i].Stage < list[j].Stage
	})
	return list
}

// Apply takes the next record. A record that was applied before is ignored;
// one that leaves a gap is refused with a *invariant.ViolationError.
func (f *State) Apply(record logservice.Record) ([]Result, error) {
	if record.Offset < f.next {
		return nil, nil
	}
	if err := invariant.Check(record.Offset == f.next, invariant.LogPrefix,
		"record %d applied where %d is next", record.Offset, f.next); err != nil {
		return nil, err
	}
	f.next++
	decoded, err := DecodeRecord(record.Body)
	if err != nil {
		// A broken record takes effect nowhere; every reader skips it alike.
		return nil, nil
	}
	switch r := decoded.(type) {
	case Publication:
		return f.publish(record.Offset, r)
	case Checkpoint:
		whole, ok := f.parts.add(r)
		if !ok {
			return nil, nil
		}
		if record.Time.After(f.checkpoint) {
			f.checkpoint = record.Time
		}
		return f.restore(whole)
	}
	return nil, nil
}

func (f *State) publish(offset logservice.Offset, p Publication) ([]Result, error) {
	if !f.whole {
		f.pending = append(f.pending, pendingPublication{offset: offset, publication: p})
		return nil, nil
	}
	if reason, ok := f.judge(p); !ok {
		return []Result{Refused{ID: p.ID, Reason: reason, Winner: f.Entry(Key{p.Environment, p.Stage})}}, nil
	}
	key := Key{p.Environment, p.Stage}
	old := f.Entry(key)
	entry := Entry{
		Environment: p.Environment, Stage: p.Stage, Version: Version(offset),
		Digest: p.Digest, ID: p.ID, Body: p.Body,
		AcceptedVersions: remember(old.AcceptedVersions, AcceptedVersion{Version: Version(offset), Digest: p.Digest}),
	}
	if err := f.set(key, entry); err != nil {
		return nil, err
	}
	return []Result{Accepted{Entry: entry}}, nil
}

// judge looks at the envelope only, never at whether this build can read the
// document, so that instances of different builds agree.
func (f *State) judge(p Publication) (Reason, bool) {
	if p.Stage != environment.Trial && p.Stage != environment.Production {
		return ReasonWrongStage, false
	}
	if environment.DigestOf(p.Body) != p.Digest {
		return ReasonDigestMismatch, false
	}
	if p.Base != f.Entry(Key{p.Environment, p.Stage}).Version {
		return ReasonStaleBase, false
	}
	if p.Stage == environment.Production && !f.tried(p) {
		return ReasonNotInTrial, false
	}
	return "", true
}

func (f *State) tried(p Publication) bool {
	want := AcceptedVersion{Version: p.Promotes, Digest: p.Digest}
	return slices.Contains(f.Entry(Key{p.Environment, environment.Trial}).AcceptedVersions, want)
}

// TrialVersionOf returns the newest trial version that had a digest, NoVersion if
// none is remembered.
func (f *State) TrialVersionOf(name environment.Name, digest environment.Digest) Version {
	found := NoVersion
	for _, t := range f.Entry(Key{name, environment.Trial}).AcceptedVersions {
		if t.Digest == digest {
			found = t.Version
		}
	}
	return found
}

func remember(tried []AcceptedVersion, latest AcceptedVersion) []AcceptedVersion {
	kept := append(slices.Clone(tried), latest)
	return kept[max(0, len(kept)-maxTried):]
}

func (f *State) set(key Key, entry Entry) error {
	old := f.Entry(key)
	if err := invariant.Check(entry.Version >= old.Version, invariant.VersionMonotone,
		"%s %s would go from version %d to %d", key.Environment, key.Stage, old.Version, entry.Version); err != nil {
		return err
	}
	f.entries[key] = entry
	return nil
}

// HandleTrim says that the stream now starts at first, beyond Next. What is in
// force stays; publications wait until a checkpoint or a snapshot covers the
// records that were missed.
func (f *State) HandleTrim(first logservice.Offset) {
	if first <= f.next {
		return
	}
	f.whole = false
	f.parts = partCollector{}
	f.next = first
	f.floor = first
	f.pending = nil
}

// restore uses a checkpoint when the fold has gaps. A checkpoint older than
// the place where reading started can't help: publications between the two
// were missed.
func (f *State) restore(c Checkpoint) ([]Result, error) {
	if f.whole || c.AsOf < f.floor-1 {
		return nil, nil
	}
	for _, e := range c.Entries {
		if err := f.set(Key{e.Environment, e.Stage}, e); err != nil {
			return nil, err
		}
	}
	pending := f.pending
	f.whole, f.pending = true, nil
	verdicts := []Result{Restored{}}
	for _, p := range pending {
		if p.offset <= c.AsOf {
			continue
		}
		more, err := f.publish(p.offset, p.publication)
		if err != nil {
			return nil, err
		}
		verdicts = append(verdicts, more...)
	}
	return verdicts, nil
}

// Snapshot returns the state for an instance that cannot read the log. It
// reports false while records are missing.
func (f *State) Snapshot() (Checkpoint, bool) {
	if !f.whole {
		return Checkpoint{}, false
	}
	return Checkpoint{AsOf: f.next - 1, Entries: f.Entries()}, true
}

// InstallSnapshot takes a snapshot of a longer prefix of the stream than the fold has
// read, and reports whether it did. A shorter one changes nothing.
func (f *State) InstallSnapshot(c Checkpoint) (bool, error) {
	if c.AsOf < f.next {
		if f.whole {
			return false, nil
		}
		verdicts, err := f.restore(c)
		return len(verdicts) > 0, err
	}
	for _, e := range c.Entries {
		if err := f.set(Key{e.Environment, e.Stage}, e); err != nil {
			return false, err
		}
	}
	f.next = c.AsOf + 1
	f.whole, f.pending = true, nil
	return true, nil
}
