// Package document is a replicated state machine on one stream of the log. It
// decides which version of each environment's document is active.
//
// Usage: pass every record of the stream to State.Apply, in order. Instances
// that have read the same prefix of the stream have the same state. A Publisher
// takes one publication from the append to its result. State.Snapshot and
// State.InstallSnapshot copy the state to an instance that cannot read the log.
//
// Replica combines these for one instance. It is a logservice.Consumer, so it is
// fed by logservice.Tail:
//
//	replica := document.NewReplica(config)
//	go logservice.Tail(ctx, client, document.Stream, replica)
//	go replica.Run(ctx) // appends checkpoints
//	entry, err := replica.Publish(ctx, id, environment.Trial, name, nil, body)
package document

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// Stream is the stream that holds the documents.
const Stream logservice.StreamName = "documents"

// Version identifies an accepted document by the log offset of its publication.
type Version int64

// NoVersion is the version of a stage that has no document.
const NoVersion Version = -1

// PublishID identifies one publication. All appends of it carry the same ID.
type PublishID = uuid.UUID

// Record is a decoded record of the stream: a Publication or a Checkpoint.
type Record interface {
	isRecord()
}

// Publication requests that a document replaces the version Base. It is refused
// when another version is active.
type Publication struct {
	Environment environment.Name
	Stage       environment.Stage
	Base        Version
	Digest      environment.Digest
	ID          PublishID
	Body        []byte
	// Promotes is the trial version that a production document copies, or
	// NoVersion for a trial document. It is a version because a digest can be
	// published to trial again: a promotion that was refused could then be
	// accepted when a delayed copy of its record reaches the log.
	Promotes Version
}

// Checkpoint is a copy of the state after the record at AsOf, or one part of the
// copy: a large state is split over several records.
type Checkpoint struct {
	AsOf logservice.Offset
	// Part is the index of this part, from 0 to Parts-1. A checkpoint with
	// Parts of 0 or 1 is complete.
	Part  int
	Parts int
	// ID is the same in all parts of one checkpoint.
	ID      uuid.UUID
	Entries []Entry
}

// Entry is the active document of one stage of one environment.
type Entry struct {
	Environment environment.Name
	Stage       environment.Stage
	Version     Version
	Digest      environment.Digest
	ID          PublishID
	Body        []byte
	// AcceptedVersions lists the versions most recently accepted in this stage,
	// newest last.
	AcceptedVersions []AcceptedVersion
}

// AcceptedVersion identifies a document that is or was active in a stage.
type AcceptedVersion struct {
	Version Version
	Digest  environment.Digest
}

func (Publication) isRecord() {}
func (Checkpoint) isRecord()  {}

type wirePublication struct {
	Environment string    `cbor:"1,keyasint"`
	Stage       string    `cbor:"2,keyasint"`
	Base        int64     `cbor:"3,keyasint"`
	Digest      string    `cbor:"4,keyasint"`
	ID          uuid.UUID `cbor:"5,keyasint"`
	Body        []byte    `cbor:"6,keyasint"`
	Promotes    int64     `cbor:"7,keyasint"`
}

type wireAcceptedVersion struct {
	Version int64  `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

type wireEntry struct {
	Environment      string                `cbor:"1,keyasint"`
	Stage            string                `cbor:"2,keyasint"`
	Version          int64                 `cbor:"3,keyasint"`
	Digest           string                `cbor:"4,keyasint"`
	ID               uuid.UUID             `cbor:"5,keyasint"`
	Body             []byte                `cbor:"6,keyasint"`
	AcceptedVersions []wireAcceptedVersion `cbor:"7,keyasint"`
}

type wireCheckpoint struct {
	AsOf    int64       `cbor:"1,keyasint"`
	Entries []wireEntry `cbor:"2,keyasint"`
	Part    int         `cbor:"3,keyasint,omitempty"`
	Parts   int         `cbor:"4,keyasint,omitempty"`
	ID      uuid.UUID   `cbor:"5,keyasint,omitempty"`
}

type wireRecord struct {
	Publication *wirePublication `cbor:"1,keyasint,omitempty"`
	Checkpoint  *wireCheckpoint  `cbor:"2,keyasint,omitempty"`
}

// EncodeRecord returns the CBOR encoding of a record.
func EncodeRecord(record Record) ([]byte, error) {
	var wire wireRecord
	switch r := record.(type) {
	case Publication:
		wire.Publication = &wirePublication{
			Environment: string(r.Environment), Stage: string(r.Stage), Base: int64(r.Base),
			Digest: string(r.Digest), ID: r.ID, Body: r.Body, Promotes: int64(r.Promotes),
		}
	case Checkpoint:
		wire.Checkpoint = checkpointToWire(r)
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode document record: %w", err)
	}
	return data, nil
}

// DecodeRecord decodes a record from CBOR. It returns a nil Record and no error
// for a kind of record that this build does not know.
func DecodeRecord(data []byte) (Record, error) {
	var wire wireRecord
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("decode document record: %w", err)
	}
	switch {
	case wire.Publication != nil:
		p := wire.Publication
		return Publication{
			Environment: environment.Name(p.Environment), Stage: environment.Stage(p.Stage), Base: Version(p.Base),
			Digest: environment.Digest(p.Digest), ID: p.ID, Body: p.Body, Promotes: Version(p.Promotes),
		}, nil
	case wire.Checkpoint != nil:
		return checkpointFromWire(wire.Checkpoint), nil
	}
	return nil, nil
}

func checkpointToWire(c Checkpoint) *wireCheckpoint {
	wire := &wireCheckpoint{AsOf: int64(c.AsOf), Part: c.Part, Parts: c.Parts, ID: c.ID}
	for _, e := range c.Entries {
		w := wireEntry{
			Environment: string(e.Environment), Stage: string(e.Stage), Version: int64(e.Version),
			Digest: string(e.Digest), ID: e.ID, Body: e.Body,
		}
		for _, t := range e.AcceptedVersions {
			w.AcceptedVersions = append(w.AcceptedVersions, wireAcceptedVersion{Version: int64(t.Version), Digest: string(t.Digest)})
		}
		wire.Entries = append(wire.Entries, w)
	}
	return wire
}

func checkpointFromWire(wire *wireCheckpoint) Checkpoint {
	c := Checkpoint{AsOf: logservice.Offset(wire.AsOf), Part: wire.Part, Parts: wire.Parts, ID: wire.ID}
	for _, w := range wire.Entries {
		e := Entry{
			Environment: environment.Name(w.Environment), Stage: environment.Stage(w.Stage), Version: Version(w.Version),
			Digest: environment.Digest(w.Digest), ID: w.ID, Body: w.Body,
		}
		for _, t := range w.AcceptedVersions {
			e.AcceptedVersions = append(e.AcceptedVersions, AcceptedVersion{Version: Version(t.Version), Digest: environment.Digest(t.Digest)})
		}
		c.Entries = append(c.Entries, e)
	}
	return c
}
