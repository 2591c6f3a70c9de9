// Package lease gives one instance at a time a duty, and with it a fencing
// number that only grows.
//
// Usage: feed every record of the stream to State.Apply and drive a Candidate for
// each duty. While Candidate.Holds reports true, orders may be given under
// Grant.Token. A lease makes work fast, never safe: whoever gets an order must
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

// FencingToken is the log offset of the record that granted a lease.
type FencingToken int64

const (
	// NoToken stands for a duty that nobody holds.
	NoToken FencingToken = -1
	// AnyToken stands for whatever is in force, named by an instance that has
	// missed it.
	AnyToken FencingToken = -2
)

// Name names what a lease is about.
type Name string

// Incarnation identifies one run of an entry instance.
type Incarnation = uuid.UUID

// Request asks for a duty that is held under Replaces, or renews it when
// Replaces is the holder's own fence and Renew is set.
type Request struct {
	Lease    Name
	Holder   Incarnation
	Replaces FencingToken
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
	data, err := cbor.Marshal(wireRequest{Duty: string(r.Lease), Holder: r.Holder, Replaces: int64(r.Replaces), Renew: r.Renew})
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
	return Request{Lease: Name(w.Duty), Holder: w.Holder, Replaces: FencingToken(w.Replaces), Renew: w.Renew}, nil
}

// Grant is who holds a duty.
type Grant struct {
	Holder Incarnation
	Token  FencingToken
	// RenewedAt is when this reader last saw the grant made or renewed, by its own
	// clock; logged is the same by the log's.
	RenewedAt time.Time
	logged    time.Time
	// rival is when this reader, having missed records, last saw another
	// instance renew another fence. One of the two is wrong.
	rival time.Time
}

// State is the state of the stream up to an offset.
type State struct {
	next   logservice.Offset
	grants map[Name]Grant
	// missed is set once records were trimmed unread. Such a reader learns who
	// holds a duty from renewals, which name the fence.
	missed bool
	// since is the log's time of the first record after the gap, zero before
	// it is read.
	since time.Time
	// claims holds the last claim of each duty, whether or not this reader can
	// tell that it was granted.
	claims map[Name]claimTime
}

// claimTime is when a claim was made, by the log's clock, and read, by this
// reader's.
type claimTime struct {
	logged time.Time
	seen   time.Time
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{grants: map[Name]Grant{}, claims: map[Name]claimTime{}}
}

// Next returns the offset of the record to apply next.
func (f *State) Next() logservice.Offset {
	return f.next
}

// HasGap reports whether records were trimmed unread.
func (f *State) HasGap() bool {
	return f.missed
}

// LastAcquire returns when this reader last saw a claim of a duty, zero if never.
func (f *State) LastAcquire(duty Name) time.Time {
	return f.claims[duty].seen
}

// Grant returns who holds a duty; its Token is NoToken if nobody does, or if
// this reader has missed who does.
func (f *State) Grant(duty Name) Grant {
	if g, ok := f.grants[duty]; ok {
		return g
	}
	return Grant{Token: NoToken}
}

// HandleTrim says that the stream now starts at first, beyond Next. What was
// granted before may have been replaced unseen, so it is forgotten.
func (f *State) HandleTrim(first logservice.Offset) {
	if first <= f.next {
		return
	}
	f.next = first
	f.missed = true
	f.since = time.Time{}
	f.grants = map[Name]Grant{}
}

// Apply takes the next record. A request that replaces another fence than the
// one in force changes nothing, so of racing requests the first wins.
func (f *State) Apply(now time.Time, record logservice.Record) error {
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

func (f *State) renew(now, logged time.Time, r Request) {
	held := f.Grant(r.Lease)
	switch {
	case r.Replaces == held.Token && r.Holder == held.Holder:
		held.RenewedAt, held.logged = now, logged
	case f.missed && r.Replaces > held.Token:
		held = Grant{Holder: r.Holder, Token: r.Replaces, RenewedAt: now, logged: logged}
	case f.missed:
		held.rival = now
	default:
		return
	}
	f.grants[r.Lease] = held
}

func (f *State) claim(now time.Time, record logservice.Record, r Request) error {
	held := f.Grant(r.Lease)
	takesEffect := f.replaces(record.Time, r, held)
	f.claims[r.Lease] = claimTime{logged: record.Time, seen: now}
	if !takesEffect {
		return nil
	}
	granted := Grant{Holder: r.Holder, Token: FencingToken(record.Offset), RenewedAt: now, logged: record.Time}
	if err := invariant.Check(granted.Token > held.Token, invariant.FencingMonotone,
		"duty %s would go from fence %d to %d", r.Lease, held.Token, granted.Token); err != nil {
		return err
	}
	f.grants[r.Lease] = granted
	return nil
}

// replaces reports whether a claim takes effect. One that names no fence, by
// an instance that has missed which is in force, does so only where the log's
// own times show that nobody has renewed for TTL.
func (f *State) replaces(logged time.Time, r Request, held Grant) bool {
	switch {
	case r.Replaces == AnyToken:
	case f.missed:
		// The claimant may know a grant that this reader has missed.
		return held.Token != NoToken && r.Replaces >= held.Token
	default:
		return r.Replaces == held.Token
	}
	if held.Token != NoToken {
		return logged.Sub(held.logged) > TTL
	}
	return !f.missed || (logged.Sub(f.since) > TTL && logged.Sub(f.claims[r.Lease].logged) > TTL)
}
