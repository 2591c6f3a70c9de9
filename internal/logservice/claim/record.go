// Package claim makes non-idempotent calls run at most once: the first claim
// of a key in log order owns it, and only its claimant may ever dispatch.
//
// Usage: feed every record of the stream to KeyTable.Apply, drive each call with
// a Call, and append its entries through a Batcher, which puts the entries of
// many calls into one record.
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

// AttemptID identifies one attempt to own a key.
type AttemptID = uuid.UUID

// Incarnation identifies one run of an entry instance.
type Incarnation = uuid.UUID

// Key is an idempotency key of one tenant.
type Key struct {
	Team environment.TeamName
	UUID uuid.UUID
}

// RequestDigest tells two requests under the same key apart.
type RequestDigest [16]byte

// Entry is one change of the ledger: a Claim, an Outcome, a
// Release or a Heartbeat.
type Entry interface {
	isEntry()
}

// Claim asks for the ownership of a key.
type Claim struct {
	Key         Key
	ID          AttemptID
	Digest      RequestDigest
	Incarnation Incarnation
	// ReadOffset is the offset up to which, excluded, the claimant had read the
	// stream when the attempt began. A release at or after it voids the claim:
	// whoever was told not-run on the strength of that release must stay right.
	ReadOffset logservice.Offset
}

// Result says what became of a dispatched call.
type Result uint8

// The results that an owner records.
const (
	// ResultDone: the call ran and Response is its answer.
	ResultDone Result = iota + 1
	// ResultUnknown: the call was dispatched and its answer was lost.
	ResultUnknown
)

// Response is the answer of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated says that the body was too large to keep.
	Truncated bool
}

// Outcome records the result of an owned key.
type Outcome struct {
	Key      Key
	ID       AttemptID
	Result   Result
	Response Response
}

// Release gives a key back. Its claimant has not dispatched and never will.
type Release struct {
	Key Key
	ID  AttemptID
}

// Heartbeat changes nothing. It keeps the stream from running empty, so that a
// reader that starts late still knows from when on it has read everything.
type Heartbeat struct{}

func (Claim) isEntry()     {}
func (Outcome) isEntry()   {}
func (Release) isEntry()   {}
func (Heartbeat) isEntry() {}

// Time returns when the key was made, read off its UUIDv7. It reports false
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

// Expires returns when instances may start to forget the key; the zero time
// for a UUID of another version.
func (k Key) Expires() time.Time {
	made, ok := k.Time()
	if !ok {
		return time.Time{}
	}
	return made.Add(MaxKeyAge + MaxClockSkew)
}

type wireEntry struct {
	Kind        uint8     `cbor:"1,keyasint"`
	Tenant      string    `cbor:"2,keyasint"`
	UUID        uuid.UUID `cbor:"3,keyasint"`
	ID          uuid.UUID `cbor:"4,keyasint"`
	Digest      []byte    `cbor:"5,keyasint,omitempty"`
	Incarnation []byte    `cbor:"6,keyasint,omitempty"`
	Result      uint8     `cbor:"7,keyasint,omitempty"`
	Status      int       `cbor:"8,keyasint,omitempty"`
	ContentType string    `cbor:"9,keyasint,omitempty"`
	Body        []byte    `cbor:"10,keyasint,omitempty"`
	Truncated   bool      `cbor:"11,keyasint,omitempty"`
	Seen        int64     `cbor:"12,keyasint,omitempty"`
}

const (
	wireClaim uint8 = iota + 1
	wireOutcome
	wireRelease
	wireMark
)

// EncodeBatch returns the CBOR form of the entries of one record.
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

// DecodeBatch reads the entries of one record. Entries of a kind that this
// build does not know are left out.
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
			Kind: wireClaim, Tenant: string(e.Key.Team), UUID: e.Key.UUID, ID: e.ID,
			Digest: e.Digest[:], Incarnation: e.Incarnation[:], Seen: int64(e.ReadOffset),
		}
	case Outcome:
		return wireEntry{
			Kind: wireOutcome, Tenant: string(e.Key.Team), UUID: e.Key.UUID, ID: e.ID,
			Result: uint8(e.Result), Status: e.Response.Status, ContentType: e.Response.ContentType,
			Body: e.Response.Body, Truncated: e.Response.Truncated,
		}
	case Release:
		return wireEntry{Kind: wireRelease, Tenant: string(e.Key.Team), UUID: e.Key.UUID, ID: e.ID}
	case Heartbeat:
		return wireEntry{Kind: wireMark}
	}
	return wireEntry{}
}

func entryFromWire(w *wireEntry) Entry {
	key := Key{Team: environment.TeamName(w.Tenant), UUID: w.UUID}
	switch w.Kind {
	case wireClaim:
		claim := Claim{Key: key, ID: w.ID, ReadOffset: logservice.Offset(w.Seen)}
		copy(claim.Digest[:], w.Digest)
		copy(claim.Incarnation[:], w.Incarnation)
		return claim
	case wireOutcome:
		return Outcome{Key: key, ID: w.ID, Result: Result(w.Result), Response: Response{
			Status: w.Status, ContentType: w.ContentType, Body: w.Body, Truncated: w.Truncated,
		}}
	case wireRelease:
		return Release{Key: key, ID: w.ID}
	case wireMark:
		return Heartbeat{}
	}
	return nil
}
