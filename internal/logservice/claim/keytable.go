package claim

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logservice"
)

const (
	// MaxKeyAge is the age up to which a key is taken. The log keeps records for
	// longer.
	MaxKeyAge = 6 * time.Hour
	// MaxClockSkew bounds how far the clocks of callers, instances and the log
	// service may differ.
	MaxClockSkew = 2 * time.Minute

	markInterval = 10 * time.Minute
)

// noRelease stands for a key that was never released.
const noRelease logservice.Offset = -1

// Phase is the state of a key.
type Phase uint8

// The phases of a key.
const (
	// PhaseFree: nobody owns the key.
	PhaseFree Phase = iota
	// PhaseOwned: a claimant may be running the call.
	PhaseOwned
	// PhaseCompleted: the call ran and its response is recorded.
	PhaseCompleted
	// PhaseOutcomeUnknown: the call was dispatched and nobody knows what became of it.
	PhaseOutcomeUnknown
	// PhaseTrimmed: records that could name the key were missed.
	PhaseTrimmed
)

// KeyState is what the ledger knows about a key.
type KeyState struct {
	Phase       Phase
	ID          AttemptID
	Digest      RequestDigest
	Incarnation Incarnation
	Response    Response
	// Released is the offset of the last release, -1 if there was none.
	Released logservice.Offset
}

// KeyTable is the state of all keys up to an offset of the stream.
type KeyTable struct {
	next logservice.Offset
	keys map[Key]*KeyState
	// since is the time from which on no record was missed. The zero time
	// means that the stream was read from its first record.
	since time.Time
	// resume is set when the records before the next one were trimmed.
	resume bool
	// last is the time of the last record, by the log's clock.
	last time.Time
}

// NewKeyTable returns the state before the first record.
func NewKeyTable() *KeyTable {
	return &KeyTable{keys: map[Key]*KeyState{}}
}

// Next returns the offset of the record to apply next.
func (l *KeyTable) Next() logservice.Offset {
	return l.next
}

// Len returns the number of keys held.
func (l *KeyTable) Len() int {
	return len(l.keys)
}

// State returns what is known about a key.
func (l *KeyTable) State(key Key) KeyState {
	if !l.covers(key) {
		return KeyState{Phase: PhaseTrimmed, Released: noRelease}
	}
	return l.held(key)
}

func (l *KeyTable) held(key Key) KeyState {
	if s, ok := l.keys[key]; ok {
		return *s
	}
	return KeyState{Released: noRelease}
}

// covers reports whether every record that could name a key was read. A reader
// that missed the first claim would take a later one for the owner. A record
// of the very time that reading started at may have been missed.
func (l *KeyTable) covers(key Key) bool {
	if l.resume {
		return false
	}
	if l.since.IsZero() {
		return true
	}
	made, ok := key.Time()
	return ok && made.Add(-MaxClockSkew).After(l.since)
}

// HandleTrim says that the stream now starts at first, beyond Next. Keys older
// than the next record are no longer covered.
func (l *KeyTable) HandleTrim(first logservice.Offset) {
	if first <= l.next {
		return
	}
	l.next = first
	l.resume = true
}

// Apply takes the next record and returns the keys whose state it changed.
func (l *KeyTable) Apply(record logservice.Record) ([]Key, error) {
	if record.Offset < l.next {
		return nil, nil
	}
	if err := invariant.Check(record.Offset == l.next, invariant.LogPrefix,
		"claim record %d applied where %d is next", record.Offset, l.next); err != nil {
		return nil, err
	}
	l.next++
	l.last = record.Time
	if l.resume {
		l.since, l.resume = record.Time, false
	}
	entries, err := DecodeBatch(record.Body)
	if err != nil {
		// A broken record takes effect nowhere; every reader skips it alike.
		return nil, nil
	}
	var changed []Key
	for _, entry := range entries {
		if key, ok := l.apply(record.Offset, entry); ok {
			changed = append(changed, key)
		}
	}
	return changed, nil
}

func (l *KeyTable) apply(offset logservice.Offset, entry Entry) (Key, bool) {
	switch e := entry.(type) {
	case Claim:
		return e.Key, l.claim(e)
	case Outcome:
		return e.Key, l.outcome(e)
	case Release:
		return e.Key, l.release(offset, e)
	}
	return Key{}, false
}

func (l *KeyTable) claim(c Claim) bool {
	s := l.held(c.Key)
	if s.Phase != PhaseFree || c.ReadOffset <= s.Released {
		return false
	}
	l.keys[c.Key] = &KeyState{
		Phase: PhaseOwned, ID: c.ID, Digest: c.Digest, Incarnation: c.Incarnation, Released: s.Released,
	}
	return true
}

func (l *KeyTable) outcome(o Outcome) bool {
	k, ok := l.keys[o.Key]
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

func (l *KeyTable) release(offset logservice.Offset, r Release) bool {
	k, ok := l.keys[r.Key]
	if !ok || k.ID != r.ID || k.Phase != PhaseOwned {
		return false
	}
	*k = KeyState{Released: offset}
	return true
}

// HeartbeatDue reports whether the stream needs a Heartbeat: nothing was written for
// long, or this reader can't tell yet from when on it has read everything.
func (l *KeyTable) HeartbeatDue(now time.Time) bool {
	return l.resume || now.Sub(l.last) > markInterval
}

// Expire drops the keys that are too old to be taken, by any clock.
func (l *KeyTable) Expire(now time.Time) {
	oldest := now.Add(-MaxKeyAge - 2*MaxClockSkew)
	for key := range l.keys {
		if made, ok := key.Time(); !ok || made.Before(oldest) {
			delete(l.keys, key)
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
