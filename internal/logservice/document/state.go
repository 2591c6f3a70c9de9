package document

import (
	"slices"
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// maxAcceptedVersions limits Entry.AcceptedVersions.
const maxAcceptedVersions = 16

// Key identifies one stage of one environment.
type Key struct {
	Environment environment.Name
	Stage       environment.Stage
}

// Result is the outcome of applying one record: Accepted, Refused or Restored.
type Result interface {
	isResult()
}

// Accepted reports that a publication took effect.
type Accepted struct {
	Entry Entry
}

// Reason is the cause of a refusal.
type Reason string

// The reasons for a refusal.
const (
	ReasonStaleBase      Reason = "stale-base"
	ReasonNotInTrial     Reason = "not-tried"
	ReasonDigestMismatch Reason = "wrong-digest"
	ReasonWrongStage     Reason = "wrong-stage"
)

// Refused reports that a publication's record has no effect. A second copy of an
// accepted record is refused too. Winner is the entry that is active when the record
// is applied; its Version is NoVersion if there is none.
type Refused struct {
	ID     PublishID
	Reason Reason
	Winner Entry
}

// Restored reports that a checkpoint made an incomplete state complete again.
type Restored struct{}

func (Accepted) isResult() {}
func (Refused) isResult()  {}
func (Restored) isResult() {}

// State is the state machine after a prefix of the stream. The zero value is not
// usable; use NewState.
type State struct {
	next    logservice.Offset
	entries map[Key]Entry
	// complete is false while records may have been missed. Publications can't
	// be validated then.
	complete bool
	// gapEnd is the first offset after the most recent gap, and pending holds
	// the publications read since then.
	gapEnd         logservice.Offset
	pending        []pendingPublication
	parts          partCollector
	lastCheckpoint time.Time
}

type pendingPublication struct {
	offset      logservice.Offset
	publication Publication
}

// NewState returns the state before the record at offset 0. HandleTrim must be
// called if the stream no longer has that record.
func NewState() *State {
	return &State{entries: map[Key]Entry{}, complete: true}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() logservice.Offset {
	return s.next
}

// Complete reports whether the state reflects every record before Next.
func (s *State) Complete() bool {
	return s.complete
}

// LastCheckpoint returns the log's time of the newest checkpoint that was read
// with all its parts, or zero if there was none.
func (s *State) LastCheckpoint() time.Time {
	return s.lastCheckpoint
}

// Entry returns the active entry. Its Version is NoVersion if there is none.
func (s *State) Entry(key Key) Entry {
	if e, ok := s.entries[key]; ok {
		return e
	}
	return Entry{Environment: key.Environment, Stage: key.Stage, Version: NoVersion}
}

// Entries returns all active entries, sorted by environment and stage.
func (s *State) Entries() []Entry {
	list := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
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

// Apply applies the next record. It ignores a record before Next and returns a
// *invariant.ViolationError for one after it.
func (s *State) Apply(record logservice.Record) ([]Result, error) {
	if record.Offset < s.next {
		return nil, nil
	}
	if err := invariant.Check(record.Offset == s.next, invariant.LogPrefix,
		"record %d applied where %d is next", record.Offset, s.next); err != nil {
		return nil, err
	}
	s.next++
	decoded, err := DecodeRecord(record.Body)
	if err != nil {
		// Every instance skips a record that can't be decoded, so their states
		// stay the same.
		return nil, nil
	}
	switch r := decoded.(type) {
	case Publication:
		return s.publish(record.Offset, r)
	case Checkpoint:
		full, ok := s.parts.add(r)
		if !ok {
			return nil, nil
		}
		if record.Time.After(s.lastCheckpoint) {
			s.lastCheckpoint = record.Time
		}
		return s.restore(full)
	}
	return nil, nil
}

func (s *State) publish(offset logservice.Offset, p Publication) ([]Result, error) {
	if !s.complete {
		s.pending = append(s.pending, pendingPublication{offset: offset, publication: p})
		return nil, nil
	}
	if reason, ok := s.validate(p); !ok {
		return []Result{Refused{ID: p.ID, Reason: reason, Winner: s.Entry(Key{p.Environment, p.Stage})}}, nil
	}
	key := Key{p.Environment, p.Stage}
	old := s.Entry(key)
	entry := Entry{
		Environment: p.Environment, Stage: p.Stage, Version: Version(offset),
		Digest: p.Digest, ID: p.ID, Body: p.Body,
		AcceptedVersions: appendAccepted(old.AcceptedVersions, AcceptedVersion{Version: Version(offset), Digest: p.Digest}),
	}
	if err := s.set(key, entry); err != nil {
		return nil, err
	}
	return []Result{Accepted{Entry: entry}}, nil
}

// validate checks only the fields of the publication, not whether this build can
// parse the document, so that instances of different builds get the same result.
func (s *State) validate(p Publication) (Reason, bool) {
	if p.Stage != environment.Trial && p.Stage != environment.Production {
		return ReasonWrongStage, false
	}
	if environment.DigestOf(p.Body) != p.Digest {
		return ReasonDigestMismatch, false
	}
	if p.Base != s.Entry(Key{p.Environment, p.Stage}).Version {
		return ReasonStaleBase, false
	}
	if p.Stage == environment.Production && !s.acceptedInTrial(p) {
		return ReasonNotInTrial, false
	}
	return "", true
}

func (s *State) acceptedInTrial(p Publication) bool {
	want := AcceptedVersion{Version: p.Promotes, Digest: p.Digest}
	return slices.Contains(s.Entry(Key{p.Environment, environment.Trial}).AcceptedVersions, want)
}

// TrialVersionOf returns the newest trial version with a digest, or NoVersion if
// the digest is not among the accepted versions that are kept.
func (s *State) TrialVersionOf(name environment.Name, digest environment.Digest) Version {
	found := NoVersion
	for _, t := range s.Entry(Key{name, environment.Trial}).AcceptedVersions {
		if t.Digest == digest {
			found = t.Version
		}
	}
	return found
}

func appendAccepted(versions []AcceptedVersion, latest AcceptedVersion) []AcceptedVersion {
	kept := append(slices.Clone(versions), latest)
	return kept[max(0, len(kept)-maxAcceptedVersions):]
}

func (s *State) set(key Key, entry Entry) error {
	old := s.Entry(key)
	if err := invariant.Check(entry.Version >= old.Version, invariant.VersionMonotone,
		"%s %s would go from version %d to %d", key.Environment, key.Stage, old.Version, entry.Version); err != nil {
		return err
	}
	s.entries[key] = entry
	return nil
}

// HandleTrim records that the stream now starts at first. If that is beyond Next,
// the records in between are missed. Active entries stay, and publications are
// held back until a checkpoint or a snapshot covers the missed records.
func (s *State) HandleTrim(first logservice.Offset) {
	if first <= s.next {
		return
	}
	s.complete = false
	s.parts = partCollector{}
	s.next = first
	s.gapEnd = first
	s.pending = nil
}

// restore makes an incomplete state complete from a checkpoint and then applies
// the pending publications that follow it. It ignores a checkpoint that does not
// reach the end of the gap, because publications between the two were missed.
func (s *State) restore(c Checkpoint) ([]Result, error) {
	if s.complete || c.AsOf < s.gapEnd-1 {
		return nil, nil
	}
	for _, e := range c.Entries {
		if err := s.set(Key{e.Environment, e.Stage}, e); err != nil {
			return nil, err
		}
	}
	pending := s.pending
	s.complete, s.pending = true, nil
	results := []Result{Restored{}}
	for _, p := range pending {
		if p.offset <= c.AsOf {
			continue
		}
		more, err := s.publish(p.offset, p.publication)
		if err != nil {
			return nil, err
		}
		results = append(results, more...)
	}
	return results, nil
}

// Snapshot returns a copy of the state for an instance that cannot read the log.
// It returns false while the state is incomplete.
func (s *State) Snapshot() (Checkpoint, bool) {
	if !s.complete {
		return Checkpoint{}, false
	}
	return Checkpoint{AsOf: s.next - 1, Entries: s.Entries()}, true
}

// InstallSnapshot replaces the state by a snapshot of a longer prefix of the
// stream and reports whether the state changed. A snapshot of a shorter prefix is
// ignored, unless the state is incomplete and the snapshot covers the gap.
func (s *State) InstallSnapshot(c Checkpoint) (bool, error) {
	if c.AsOf < s.next {
		if s.complete {
			return false, nil
		}
		results, err := s.restore(c)
		return len(results) > 0, err
	}
	for _, e := range c.Entries {
		if err := s.set(Key{e.Environment, e.Stage}, e); err != nil {
			return false, err
		}
	}
	s.next = c.AsOf + 1
	s.complete, s.pending = true, nil
	return true, nil
}
