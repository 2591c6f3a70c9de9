// Package claim runs non-idempotent calls at most once: the first claim of an
// idempotency key in log order owns the key, and only its claimant may dispatch
// the call, until it releases the key without having sent the call.
//
// Usage: an Executor follows the stream and runs the calls; a Batcher appends
// their entries, those of many calls in one record:
//
//	batcher := claim.NewBatcher(client, appendsPerSecond)
//	executor := claim.NewExecutor(batcher, refresh)
//	go batcher.Run(ctx)
//	go logservice.Tail(ctx, client, claim.Stream, executor)
//	reply := executor.Run(ctx, claim.Request{Claim: c, Timeout: timeout, Dispatcher: dispatcher})
//
// The Executor is built from two state machines without I/O: KeyTable applies
// every record of the stream, and Call decides the next actions of one call.
package claim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// Stream is the stream that holds the claims.
const Stream logservice.StreamName = "claims"

// AttemptID identifies one attempt to claim a key.
type AttemptID = uuid.UUID

// Incarnation identifies one run of the process of an entry instance.
type Incarnation = uuid.UUID

// Key is an idempotency key of one team.
type Key struct {
	Team environment.TeamName
	UUID uuid.UUID
}

// RequestDigest is a hash of a request. It detects the use of one key for two
// different requests.
type RequestDigest [16]byte

// Entry is one entry of a record of the stream: a Claim, an Outcome, a Release
// or a Heartbeat.
type Entry interface {
	isEntry()
}

// Claim requests ownership of a key.
type Claim struct {
	Key         Key
	ID          AttemptID
	Digest      RequestDigest
	Incarnation Incarnation
	// ReadOffset is the next offset that the claimant was to read when the attempt
	// started. A release at or after it invalidates the claim, since the attempt
	// that released the key may have replied not-run to its caller, which must
	// stay true.
	ReadOffset logservice.Offset
}

// Result is the result of a dispatched call.
type Result uint8

// The results that the owner of a key records.
const (
	// ResultDone: the call ran and Response is its response.
	ResultDone Result = iota + 1
	// ResultUnknown: the call was dispatched and its response was lost.
	ResultUnknown
)

// Response is the response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated reports that the body was too large to store.
	Truncated bool
}

// Outcome records the result of an owned key.
type Outcome struct {
	Key      Key
	ID       AttemptID
	Result   Result
	Response Response
}

// Release gives up ownership of a key. No backend server has received the call
// from its claimant, and none ever will under this claim.
type Release struct {
	Key Key
	ID  AttemptID
}

// Heartbeat changes no key. It keeps the stream from becoming empty, so that a
// reader that starts after records were trimmed can determine the time from which
// it has read all records.
type Heartbeat struct{}

func (Claim) isEntry()     {}
func (Outcome) isEntry()   {}
func (Release) isEntry()   {}
func (Heartbeat) isEntry() {}

// Time returns the creation time encoded in the key's UUIDv7. It reports false
// for a UUID of another version.
func (k Key) Time() (time.Time, bool) {
	if k.UUID.Version() != 7 {
		return time.Time{}, false
	}
	millis := int64(0)
	for _, b := range k.UUID[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// Expires returns the earliest time, by this instance's clock, at which another
// instance may evict the key: KeyTable.Expire adds 2*MaxClockSkew to MaxKeyAge, and
// the clock of the other instance may be MaxClockSkew ahead. It returns the zero
// time for a UUID of another version.
func (k Key) Expires() time.Time {
	created, ok := k.Time()
	if !ok {
		return time.Time{}
	}
	return created.Add(MaxKeyAge + MaxClockSkew)
}

type wireEntry struct {
	Kind        uint8     `cbor:"1,keyasint"`
	Team        string    `cbor:"2,keyasint"`
	UUID        uuid.UUID `cbor:"3,keyasint"`
	ID          uuid.UUID `cbor:"4,keyasint"`
	Digest      []byte    `cbor:"5,keyasint,omitempty"`
	Incarnation []byte    `cbor:"6,keyasint,omitempty"`
	Result      uint8     `cbor:"7,keyasint,omitempty"`
	Status      int       `cbor:"8,keyasint,omitempty"`
	ContentType string    `cbor:"9,keyasint,omitempty"`
	Body        []byte    `cbor:"10,keyasint,omitempty"`
	Truncated   bool      `cbor:"11,keyasint,omitempty"`
	ReadOffset  int64     `cbor:"12,keyasint,omitempty"`
}

const (
	wireClaim uint8 = iota + 1
	wireOutcome
	wireRelease
	wireHeartbeat
)

// EncodeBatch encodes the entries of one record as CBOR.
func EncodeBatch(entries []Entry) ([]byte, error) {
	wire := make([]wireEntry, 0, len(entries))
	for _, entry := range entries {
		wire = append(wire, entryToWire(entry))
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return data, nil
}

// DecodeBatch decodes the entries of one record. It skips entries of kinds that
// this build does not know.
func DecodeBatch(data []byte) ([]Entry, error) {
	var wire []wireEntry
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("decode claims: %w", err)
	}
	entries := make([]Entry, 0, len(wire))
	for i := range wire {
		if entry := entryFromWire(&wire[i]); entry != nil {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func entryToWire(entry Entry) wireEntry {
	switch e := entry.(type) {
	case Claim:
		return wireEntry{
			Kind: wireClaim, Team: string(e.Key.Team), UUID: e.Key.UUID, ID: e.ID,
			Digest: e.Digest[:], Incarnation: e.Incarnation[:], ReadOffset: int64(e.ReadOffset),
		}
	case Outcome:
		return wireEntry{
			Kind: wireOutcome, Team: string(e.Key.Team), UUID: e.Key.UUID, ID: e.ID,
			Result: uint8(e.Result), Status: e.Response.Status, ContentType: e.Response.ContentType,
			Body: e.Response.Body, Truncated: e.Response.Truncated,
		}
	case Release:
		return wireEntry{Kind: wireRelease, Team: string(e.Key.Team), UUID: e.Key.UUID, ID: e.ID}
	case Heartbeat:
		return wireEntry{Kind: wireHeartbeat}
	}
	return wireEntry{}
}

func entryFromWire(w *wireEntry) Entry {
	key := Key{Team: environment.TeamName(w.Team), UUID: w.UUID}
	switch w.Kind {
	case wireClaim:
		claim := Claim{Key: key, ID: w.ID, ReadOffset: logservice.Offset(w.ReadOffset)}
		copy(claim.Digest[:], w.Digest)
		copy(claim.Incarnation[:], w.Incarnation)
		return claim
	case wireOutcome:
		return Outcome{Key: key, ID: w.ID, Result: Result(w.Result), Response: Response{
			Status: w.Status, ContentType: w.ContentType, Body: w.Body, Truncated: w.Truncated,
		}}
	case wireRelease:
		return Release{Key: key, ID: w.ID}
	case wireHeartbeat:
		return Heartbeat{}
	}
	return nil
}
