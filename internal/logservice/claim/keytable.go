package claim

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logservice"
)

const (
	// MaxKeyAge is the maximum age of a key at which new calls are accepted. The
	// log must retain records for longer: an instance that has missed trimmed
	// records reports keys from before the first record that it read as
	// PhaseTrimmed.
	MaxKeyAge = 6 * time.Hour
	// MaxClockSkew bounds how far the clocks of callers, instances and the log
	// service may differ.
	MaxClockSkew = 2 * time.Minute

	heartbeatInterval = 10 * time.Minute
)

// noRelease is the value of KeyState.Released for a key that was never released.
const noRelease logservice.Offset = -1

// Phase is the state of a key.
type Phase uint8

// The phases of a key.
const (
	// PhaseFree: no claim owns the key.
	PhaseFree Phase = iota
	// PhaseOwned: a claim owns the key; its call may be running.
	PhaseOwned
	// PhaseCompleted: the call ran and its response is recorded.
	PhaseCompleted
	// PhaseOutcomeUnknown: the call was dispatched and its response was lost, so
	// it may or may not have run.
	PhaseOutcomeUnknown
	// PhaseTrimmed: records that may concern the key were not read, because they
	// were trimmed from the log.
	PhaseTrimmed
)

// KeyState is the state of a key as of the last record applied.
type KeyState struct {
	Phase       Phase
	ID          AttemptID
	Digest      RequestDigest
	Incarnation Incarnation
	Response    Response
	// Released is the offset of the last release, -1 if there was none.
	Released logservice.Offset
}

// KeyTable is the state of all keys after the records before an offset of the
// stream. It is not safe for concurrent use.
type KeyTable struct {
	next logservice.Offset
	keys map[Key]*KeyState
	// coveredSince is the time after which no record was missed. The zero time means
	// that the stream was read from its first record.
	coveredSince time.Time
	// trimmed is set from a trim of unread records to the next record applied.
	trimmed bool
	// lastRecordTime is the time of the last record applied, by the log's clock.
	lastRecordTime time.Time
}

// NewKeyTable returns an empty table, which expects the first record of the
// stream.
func NewKeyTable() *KeyTable {
	return &KeyTable{keys: map[Key]*KeyState{}}
}

// Next returns the offset of the record to apply next.
func (t *KeyTable) Next() logservice.Offset {
	return t.next
}

// Len returns the number of keys in the table.
func (t *KeyTable) Len() int {
	return len(t.keys)
}

// State returns the state of a key, PhaseTrimmed if records that may concern it
// were not read.
func (t *KeyTable) State(key Key) KeyState {
	if !t.covers(key) {
		return KeyState{Phase: PhaseTrimmed, Released: noRelease}
	}
	return t.lookup(key)
}

func (t *KeyTable) lookup(key Key) KeyState {
	if s, ok := t.keys[key]; ok {
		return *s
	}
	return KeyState{Released: noRelease}
}

// covers reports whether all records that may concern a key were read. A reader
// that missed the first claim would treat a later one as the owner. The
// comparison is strict, since a record with the time coveredSince itself may have
// been missed.
func (t *KeyTable) covers(key Key) bool {
	if t.trimmed {
		return false
	}
	if t.coveredSince.IsZero() {
		return true
	}
	created, ok := key.Time()
	return ok && created.Add(-MaxClockSkew).After(t.coveredSince)
}

// HandleTrim handles a trim of unread records: the stream now starts at first.
// Keys created before the next record are no longer covered. A first at or
// before Next has no effect.
func (t *KeyTable) HandleTrim(first logservice.Offset) {
	if first <= t.next {
		return
	}
	t.next = first
	t.trimmed = true
}

// Apply applies the next record and returns the keys whose state it changed. It
// ignores records before Next; a record after Next violates an invariant.
func (t *KeyTable) Apply(record logservice.Record) ([]Key, error) {
	if record.Offset < t.next {
		return nil, nil
	}
	if err := invariant.Check(record.Offset == t.next, invariant.LogPrefix,
		"claim record %d applied, but the next offset is %d", record.Offset, t.next); err != nil {
		return nil, err
	}
	t.next++
	t.lastRecordTime = record.Time
	if t.trimmed {
		t.coveredSince, t.trimmed = record.Time, false
	}
	entries, err := DecodeBatch(record.Body)
	if err != nil {
		// All readers skip a record that cannot be decoded, so it has no effect on
		// any instance.
		return nil, nil
	}
	var changed []Key
	for _, entry := range entries {
		if key, ok := t.applyEntry(record.Offset, entry); ok {
			changed = append(changed, key)
		}
	}
	return changed, nil
}

func (t *KeyTable) applyEntry(offset logservice.Offset, entry Entry) (Key, bool) {
	switch e := entry.(type) {
	case Claim:
		return e.Key, t.applyClaim(e)
	case Outcome:
		return e.Key, t.applyOutcome(e)
	case Release:
		return e.Key, t.applyRelease(offset, e)
	}
	return Key{}, false
}

func (t *KeyTable) applyClaim(c Claim) bool {
	s := t.lookup(c.Key)
	if s.Phase != PhaseFree || c.ReadOffset <= s.Released {
		return false
	}
	t.keys[c.Key] = &KeyState{
		Phase: PhaseOwned, ID: c.ID, Digest: c.Digest, Incarnation: c.Incarnation, Released: s.Released,
	}
	return true
}

func (t *KeyTable) applyOutcome(o Outcome) bool {
	k, ok := t.keys[o.Key]
	if !ok || k.ID != o.ID {
		return false
	}
	switch {
	case o.Result == ResultDone && (k.Phase == PhaseOwned || k.Phase == PhaseOutcomeUnknown):
		k.Phase, k.Response = PhaseCompleted, o.Response
	case o.Result == ResultUnknown && k.Phase == PhaseOwned:
		k.Phase = PhaseOutcomeUnknown
	default:
		return false
	}
	return true
}

func (t *KeyTable) applyRelease(offset logservice.Offset, r Release) bool {
	k, ok := t.keys[r.Key]
	if !ok || k.ID != r.ID || k.Phase != PhaseOwned {
		return false
	}
	*k = KeyState{Released: offset}
	return true
}

// HeartbeatDue reports whether the stream needs a Heartbeat: the last record is
// older than heartbeatInterval, or this reader waits for a record after a trim to
// learn the time from which it has read all records.
func (t *KeyTable) HeartbeatDue(now time.Time) bool {
	return t.trimmed || now.Sub(t.lastRecordTime) > heartbeatInterval
}

// Expire evicts the keys that every instance rejects as too old, whatever the
// skew of its clock, and keys whose UUID is not of version 7. An instance whose
// clock is MaxClockSkew behind may run a delayed call until Key.Expires by that
// clock, which is MaxKeyAge + 2*MaxClockSkew after the key's creation by this one.
func (t *KeyTable) Expire(now time.Time) {
	oldestCreation := now.Add(-MaxKeyAge - 2*MaxClockSkew)
	for key := range t.keys {
		if created, ok := key.Time(); !ok || created.Before(oldestCreation) {
			delete(t.keys, key)
		}
	}
}

func (p Phase) String() string {
	switch p {
	case PhaseFree:
		return "free"
	case PhaseOwned:
		return "owned"
	case PhaseCompleted:
		return "ran"
	case PhaseOutcomeUnknown:
		return "lost"
	case PhaseTrimmed:
		return "forgotten"
	}
	return "invalid"
}
