// Package lease gives one instance at a time a duty, and with it a fencing
// number that only grows.
//
// Usage: feed every record of the stream to Fold.Apply and drive a Holder for
// each duty. While Holder.Holds reports true, orders may be given under
// Holder.Fence. A lease makes work fast, never safe: whoever gets an order must
// compare fencing numbers, or the holder must read back what was done.
package lease

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logservice"
)

// Stream is the stream that holds the leases.
const Stream logservice.StreamName = "leases"

// Fence is the log offset of the record that granted a lease.
type Fence int64

const (
	// NoFence stands for a duty that nobody holds.
	NoFence Fence = -1
	// AnyFence stands for whatever is in force, named by an instance that has
	// missed it.
	AnyFence Fence = -2
)

// Duty names what a lease is about.
type Duty string

// Incarnation identifies one run of an entry instance.
type Incarnation = uuid.UUID

// Request asks for a duty that is held under Replaces, or renews it when
// Replaces is the holder's own fence and Renew is set.
type Request struct {
	Duty     Duty
	Holder   Incarnation
	Replaces Fence
	Renew    bool
}

type wireRequest struct {
	Duty     string    `cbor:"1,keyasint"`
	Holder   uuid.UUID `cbor:"2,keyasint"`
	Replaces int64     `cbor:"3,keyasint"`
	Renew    bool      `cbor:"4,keyasint,omitempty"`
}

// EncodeRequest returns the CBOR form of a request.
func EncodeRequest(r Request) ([]byte, error) {
	data, err := cbor.Marshal(wireRequest{Duty: string(r.Duty), Holder: r.Holder, Replaces: int64(r.Replaces), Renew: r.Renew})
	if err != nil {
		return nil, fmt.Errorf("encode lease request: %w", err)
	}
	return data, nil
}

// DecodeRequest reads a request from its CBOR form.
func DecodeRequest(data []byte) (Request, error) {
	var w wireRequest
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Request{}, fmt.Errorf("decode lease request: %w", err)
	}
	return Request{Duty: Duty(w.Duty), Holder: w.Holder, Replaces: Fence(w.Replaces), Renew: w.Renew}, nil
}

// Grant is who holds a duty.
type Grant struct {
	Holder Incarnation
	Fence  Fence
	// Seen is when this reader last saw the grant made or renewed, by its own
	// clock; logged is the same by the log's.
	Seen   time.Time
	logged time.Time
	// rival is when this reader, having missed records, last saw another
	// instance renew another fence. One of the two is wrong.
	rival time.Time
}

// Fold is the state of the stream up to an offset.
type Fold struct {
	next   logservice.Offset
	grants map[Duty]Grant
	// missed is set once records were trimmed unread. Such a reader learns who
	// holds a duty from renewals, which name the fence.
	missed bool
	// since is the log's time of the first record after the gap, zero before
	// it is read.
	since time.Time
	// claims holds the last claim of each duty, whether or not this reader can
	// tell that it was granted.
	claims map[Duty]claimTime
}

// claimTime is when a claim was made, by the log's clock, and read, by this
// reader's.
type claimTime struct {
	logged time.Time
	seen   time.Time
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{grants: map[Duty]Grant{}, claims: map[Duty]claimTime{}}
}

// Next returns the offset of the record to apply next.
func (f *Fold) Next() logservice.Offset {
	return f.next
}

// Missed reports whether records were trimmed unread.
func (f *Fold) Missed() bool {
	return f.missed
}

// LastClaim returns when this reader last saw a claim of a duty, zero if never.
func (f *Fold) LastClaim(duty Duty) time.Time {
	return f.claims[duty].seen
}

// Grant returns who holds a duty; its Fence is NoFence if nobody does, or if
// this reader has missed who does.
func (f *Fold) Grant(duty Duty) Grant {
	if g, ok := f.grants[duty]; ok {
		return g
	}
	return Grant{Fence: NoFence}
}

// Trimmed says that the stream now starts at first, beyond Next. What was
// granted before may have been replaced unseen, so it is forgotten.
func (f *Fold) Trimmed(first logservice.Offset) {
	if first <= f.next {
		return
	}
	f.next = first
	f.missed = true
	f.since = time.Time{}
	f.grants = map[Duty]Grant{}
}

// Apply takes the next record. A request that replaces another fence than the
// one in force changes nothing, so of racing requests the first wins.
func (f *Fold) Apply(now time.Time, record logservice.Record) error {
	if record.Offset < f.next {
		return nil
	}
	if err := invariant.Check(record.Offset == f.next, invariant.LogPrefix,
		"lease record %d applied where %d is next", record.Offset, f.next); err != nil {
		return err
	}
	f.next++
	if f.missed && f.since.IsZero() {
		f.since = record.Time
	}
	r, err := DecodeRequest(record.Body)
	if err != nil {
		// A broken record takes effect nowhere; every reader skips it alike.
		return nil
	}
	if r.Renew {
		f.renew(now, record.Time, r)
		return nil
	}
	return f.claim(now, record, r)
}

func (f *Fold) renew(now, logged time.Time, r Request) {
	held := f.Grant(r.Duty)
	switch {
	case r.Replaces == held.Fence && r.Holder == held.Holder:
		held.Seen, held.logged = now, logged
	case f.missed && r.Replaces > held.Fence:
		held = Grant{Holder: r.Holder, Fence: r.Replaces, Seen: now, logged: logged}
	case f.missed:
		held.rival = now
	default:
		return
	}
	f.grants[r.Duty] = held
}

func (f *Fold) claim(now time.Time, record logservice.Record, r Request) error {
	held := f.Grant(r.Duty)
	takesEffect := f.replaces(record.Time, r, held)
	f.claims[r.Duty] = claimTime{logged: record.Time, seen: now}
	if !takesEffect {
		return nil
	}
	granted := Grant{Holder: r.Holder, Fence: Fence(record.Offset), Seen: now, logged: record.Time}
	if err := invariant.Check(granted.Fence > held.Fence, invariant.FencingMonotone,
		"duty %s would go from fence %d to %d", r.Duty, held.Fence, granted.Fence); err != nil {
		return err
	}
	f.grants[r.Duty] = granted
	return nil
}

// replaces reports whether a claim takes effect. One that names no fence, by
// an instance that has missed which is in force, does so only where the log's
// own times show that nobody has renewed for TTL.
func (f *Fold) replaces(logged time.Time, r Request, held Grant) bool {
	switch {
	case r.Replaces == AnyFence:
	case f.missed:
		// The claimant may know a grant that this reader has missed.
		return held.Fence != NoFence && r.Replaces >= held.Fence
	default:
		return r.Replaces == held.Fence
	}
	if held.Fence != NoFence {
		return logged.Sub(held.logged) > TTL
	}
	return !f.missed || (logged.Sub(f.since) > TTL && logged.Sub(f.claims[r.Duty].logged) > TTL)
}
