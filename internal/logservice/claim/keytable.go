package claim

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logservice"
)

const (
	// Window is the age up to which a key is taken. The log keeps records for
	// longer.
	Window = 6 * time.Hour
	// ClockSkew bounds how far the clocks of callers, instances and the log
	// service may differ.
	ClockSkew = 2 * time.Minute

	markInterval = 10 * time.Minute
)

// noRelease stands for a key that was never released.
const noRelease logservice.Offset = -1

// Phase is the state of a key.
type Phase uint8

// The phases of a key.
const (
	// Free: nobody owns the key.
	Free Phase = iota
	// Owned: a claimant may be running the call.
	Owned
	// Ran: the call ran and its response is recorded.
	Ran
	// Lost: the call was dispatched and nobody knows what became of it.
	Lost
	// Forgotten: records that could name the key were missed.
	Forgotten
)

// State is what the ledger knows about a key.
type State struct {
	Phase       Phase
	ID          ID
	Digest      RequestDigest
	Incarnation Incarnation
	Response    Response
	// Released is the offset of the last release, -1 if there was none.
	Released logservice.Offset
}

// Ledger is the state of all keys up to an offset of the stream.
type Ledger struct {
	next logservice.Offset
	keys map[Key]*State
	// since is the time from which on no record was missed. The zero time
	// means that the stream was read from its first record.
	since time.Time
	// resume is set when the records before the next one were trimmed.
	resume bool
	// last is the time of the last record, by the log's clock.
	last time.Time
}

// NewLedger returns the state before the first record.
func NewLedger() *Ledger {
	return &Ledger{keys: map[Key]*State{}}
}

// Next returns the offset of the record to apply next.
func (l *Ledger) Next() logservice.Offset {
	return l.next
}

// Len returns the number of keys held.
func (l *Ledger) Len() int {
	return len(l.keys)
}

// State returns what is known about a key.
func (l *Ledger) State(key Key) State {
	if !l.covers(key) {
		return State{Phase: Forgotten, Released: noRelease}
	}
	return l.held(key)
}

func (l *Ledger) held(key Key) State {
	if s, ok := l.keys[key]; ok {
		return *s
	}
	return State{Released: noRelease}
}

// covers reports whether every record that could name a key was read. A reader
// that missed the first claim would take a later one for the owner. A record
// of the very time that reading started at may have been missed.
func (l *Ledger) covers(key Key) bool {
	if l.resume {
		return false
	}
	if l.since.IsZero() {
		return true
	}
	made, ok := key.Time()
	return ok && made.Add(-ClockSkew).After(l.since)
}

// Trimmed says that the stream now starts at first, beyond Next. Keys older
// than the next record are no longer covered.
func (l *Ledger) Trimmed(first logservice.Offset) {
	if first <= l.next {
		return
	}
	l.next = first
	l.resume = true
}

// Apply takes the next record and returns the keys whose state it changed.
func (l *Ledger) Apply(record logservice.Record) ([]Key, error) {
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

func (l *Ledger) apply(offset logservice.Offset, entry Entry) (Key, bool) {
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

func (l *Ledger) claim(c Claim) bool {
	s := l.held(c.Key)
	if s.Phase != Free || c.Seen <= s.Released {
		return false
	}
	l.keys[c.Key] = &State{
		Phase: Owned, ID: c.ID, Digest: c.Digest, Incarnation: c.Incarnation, Released: s.Released,
	}
	return true
}

func (l *Ledger) outcome(o Outcome) bool {
	k, ok := l.keys[o.Key]
	if !ok || k.ID != o.ID {
		return false
	}
	switch {
	case o.Result == Done && (k.Phase == Owned || k.Phase == Lost):
		k.Phase, k.Response = Ran, o.Response
	case o.Result == Unknown && k.Phase == Owned:
		k.Phase = Lost
	default:
		return false
	}
	return true
}

func (l *Ledger) release(offset logservice.Offset, r Release) bool {
	k, ok := l.keys[r.Key]
	if !ok || k.ID != r.ID || k.Phase != Owned {
		return false
	}
	*k = State{Released: offset}
	return true
}

// MarkDue reports whether the stream needs a Mark: nothing was written for
// long, or this reader can't tell yet from when on it has read everything.
func (l *Ledger) MarkDue(now time.Time) bool {
	return l.resume || now.Sub(l.last) > markInterval
}

// Expire drops the keys that are too old to be taken, by any clock.
func (l *Ledger) Expire(now time.Time) {
	oldest := now.Add(-Window - 2*ClockSkew)
	for key := range l.keys {
		if made, ok := key.Time(); !ok || made.Before(oldest) {
			delete(l.keys, key)
		}
	}
}

func (p Phase) String() string {
	switch p {
	case Free:
		return "free"
	case Owned:
		return "owned"
	case Ran:
		return "ran"
	case Lost:
		return "lost"
	case Forgotten:
		return "forgotten"
	}
	return "invalid"
}
