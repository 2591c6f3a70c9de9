// Package lease grants named leases, each to one instance at a time, with fencing
// tokens that only increase. The grants are a replicated state machine on one stream
// of the log.
//
// Usage: create an Elector for a lease, follow the stream with it, and act as the
// holder only while Elector.Token returns true:
//
//	elector := lease.NewElector(client, "orders/zone-a", incarnation)
//	go logservice.Tail(ctx, client, lease.Stream, elector)
//	go elector.Run(ctx)
//	elector.SetPreferred(true)
//	if token, held := elector.Token(time.Now()); held {
//		// Send orders that carry the token.
//	}
//
// Elector combines a State and a Candidate. To use these directly, pass every record
// of the stream to State.Apply and call Candidate.Step regularly. While
// Candidate.Holds returns true for State.Grant(name), State.Grant(name).Token is the
// fencing token.
//
// A lease is an optimization and does not guarantee mutual exclusion: an order may
// be delayed until after another instance has become the holder. The receiver of an
// order must therefore reject tokens lower than the highest one it has seen, or the
// holder must read back the state of the receiver and correct it.
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

// FencingToken identifies a grant by the log offset of the record that made it. A
// later grant of the same lease has a higher token.
type FencingToken int64

const (
	// NoToken is the token of a lease that has no known grant.
	NoToken FencingToken = -1
	// AnyToken is the value of Request.Replaces that stands for whichever token is
	// current. An instance uses it when it has missed records and does not know
	// the token.
	AnyToken FencingToken = -2
)

// Name identifies a lease.
type Name string

// Incarnation identifies one run of the process of an instance.
type Incarnation = uuid.UUID

// Request is a record of the stream. It requests a lease whose current token is
// Replaces. With Renew set, it renews the holder's own grant, and Replaces is the
// token of that grant.
type Request struct {
	Lease    Name
	Holder   Incarnation
	Replaces FencingToken
	Renew    bool
}

type wireRequest struct {
	Lease    string    `cbor:"1,keyasint"`
	Holder   uuid.UUID `cbor:"2,keyasint"`
	Replaces int64     `cbor:"3,keyasint"`
	Renew    bool      `cbor:"4,keyasint,omitempty"`
}

// EncodeRequest returns the CBOR encoding of a request.
func EncodeRequest(r Request) ([]byte, error) {
	data, err := cbor.Marshal(wireRequest{Lease: string(r.Lease), Holder: r.Holder, Replaces: int64(r.Replaces), Renew: r.Renew})
	if err != nil {
		return nil, fmt.Errorf("encode lease request: %w", err)
	}
	return data, nil
}

// DecodeRequest decodes a request from CBOR.
func DecodeRequest(data []byte) (Request, error) {
	var w wireRequest
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Request{}, fmt.Errorf("decode lease request: %w", err)
	}
	return Request{Lease: Name(w.Lease), Holder: w.Holder, Replaces: FencingToken(w.Replaces), Renew: w.Renew}, nil
}

// Grant is the holder of a lease as known to one reader of the stream.
type Grant struct {
	Holder Incarnation
	Token  FencingToken
	// RenewedAt is when this reader last saw the grant made or renewed, by its own
	// clock. loggedAt is the time of that record by the log's clock.
	RenewedAt time.Time
	loggedAt  time.Time
	// conflictAt is when this reader, having missed records, last saw a renewal
	// that does not match this grant. Only one of the two grants can be valid.
	conflictAt time.Time
}

// State is the state machine after a prefix of the stream. The zero value is not
// usable; use NewState.
type State struct {
	next   logservice.Offset
	grants map[Name]Grant
	// hasGap is set once records were trimmed before they were read. Such a
	// reader learns the holder of a lease from renewals, which carry the token.
	hasGap bool
	// gapEndedAt is the log's time of the first record after the gap, zero
	// before that record is read.
	gapEndedAt time.Time
	// lastAcquires has the last acquire request for each lease, whether or not it
	// was granted: a reader with a gap may not know whether it was.
	lastAcquires map[Name]acquireTime
}

// acquireTime is when an acquire request was appended, by the log's clock, and
// when it was read, by this reader's clock.
type acquireTime struct {
	loggedAt time.Time
	seenAt   time.Time
}

// NewState returns the state before the record at offset 0.
func NewState() *State {
	return &State{grants: map[Name]Grant{}, lastAcquires: map[Name]acquireTime{}}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() logservice.Offset {
	return s.next
}

// HasGap reports whether records were trimmed before they were read.
func (s *State) HasGap() bool {
	return s.hasGap
}

// LastAcquire returns when this reader last saw an acquire request for a lease, or
// zero if it has seen none.
func (s *State) LastAcquire(lease Name) time.Time {
	return s.lastAcquires[lease].seenAt
}

// Grant returns the last known grant of a lease, which may have expired. Its Token is
// NoToken if there was none, or if this reader has missed it.
func (s *State) Grant(lease Name) Grant {
	if g, ok := s.grants[lease]; ok {
		return g
	}
	return Grant{Token: NoToken}
}

// HandleTrim records that the stream now starts at first. If that is beyond Next, all
// grants are discarded: a missed record may have replaced them.
func (s *State) HandleTrim(first logservice.Offset) {
	if first <= s.next {
		return
	}
	s.next = first
	s.hasGap = true
	s.gapEndedAt = time.Time{}
	s.grants = map[Name]Grant{}
}

// Apply applies the next record, which is read at now. It ignores a record before
// Next and returns a *invariant.ViolationError for one after it. A request to replace
// a token other than the current one has no effect, so the first of several
// concurrent requests wins. There are two exceptions. AnyToken replaces any token once
// the lease has not been renewed for TTL. A reader with a gap may have missed a grant:
// it accepts a renewal of a higher token and, if it knows any grant, a request to
// replace a higher token. It records any other renewal that does not match its grant as
// a conflict.
func (s *State) Apply(now time.Time, record logservice.Record) error {
	if record.Offset < s.next {
		return nil
	}
	if err := invariant.Check(record.Offset == s.next, invariant.LogPrefix,
		"lease record %d applied where %d is next", record.Offset, s.next); err != nil {
		return err
	}
	s.next++
	if s.hasGap && s.gapEndedAt.IsZero() {
		s.gapEndedAt = record.Time
	}
	r, err := DecodeRequest(record.Body)
	if err != nil {
		// Every instance skips a record that can't be decoded, so their states
		// stay the same.
		return nil
	}
	if r.Renew {
		s.renew(now, record.Time, r)
		return nil
	}
	return s.acquire(now, record, r)
}

func (s *State) renew(now, loggedAt time.Time, r Request) {
	current := s.Grant(r.Lease)
	switch {
	case r.Replaces == current.Token && r.Holder == current.Holder:
		current.RenewedAt, current.loggedAt = now, loggedAt
	case s.hasGap && r.Replaces > current.Token:
		current = Grant{Holder: r.Holder, Token: r.Replaces, RenewedAt: now, loggedAt: loggedAt}
	case s.hasGap:
		current.conflictAt = now
	default:
		return
	}
	s.grants[r.Lease] = current
}

func (s *State) acquire(now time.Time, record logservice.Record, r Request) error {
	current := s.Grant(r.Lease)
	takesEffect := s.canAcquire(record.Time, r, current)
	s.lastAcquires[r.Lease] = acquireTime{loggedAt: record.Time, seenAt: now}
	if !takesEffect {
		return nil
	}
	granted := Grant{Holder: r.Holder, Token: FencingToken(record.Offset), RenewedAt: now, loggedAt: record.Time}
	if err := invariant.Check(granted.Token > current.Token, invariant.FencingMonotone,
		"lease %s would go from token %d to %d", r.Lease, current.Token, granted.Token); err != nil {
		return err
	}
	s.grants[r.Lease] = granted
	return nil
}

// canAcquire reports whether an acquire request takes effect. A request with AnyToken
// does so only if, by the log's own times, no instance has renewed the lease for TTL.
func (s *State) canAcquire(loggedAt time.Time, r Request, current Grant) bool {
	switch {
	case r.Replaces == AnyToken:
	case s.hasGap:
		// The requester may know a later grant that this reader has missed.
		return current.Token != NoToken && r.Replaces >= current.Token
	default:
		return r.Replaces == current.Token
	}
	if current.Token != NoToken {
		return loggedAt.Sub(current.loggedAt) > TTL
	}
	return !s.hasGap || (loggedAt.Sub(s.gapEndedAt) > TTL && loggedAt.Sub(s.lastAcquires[r.Lease].loggedAt) > TTL)
}
