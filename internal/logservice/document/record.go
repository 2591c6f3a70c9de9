// Package document decides which version of each environment's document is in
// force, from the records of one stream of the log.
//
// Usage: feed every record of the stream to State.Apply. All who read the same
// prefix of the stream hold the same state. A Publisher drives one publication
// from the append to its verdict; Snapshot and InstallSnapshot carry the state to an
// instance that cannot read the log.
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

// Version is the log offset of the record that brought a document into force.
type Version int64

// NoVersion stands for a stage without a document.
const NoVersion Version = -1

// PublishID identifies one publication over all of its appends.
type PublishID = uuid.UUID

// Record is a record of the stream: a Publication or a Checkpoint.
type Record interface {
	isRecord()
}

// Publication asks for a document to replace the version Base.
type Publication struct {
	Environment environment.Name
	Stage       environment.Stage
	Base        Version
	Digest      environment.Digest
	ID          PublishID
	Body        []byte
	// Promotes is the trial version that a production document repeats,
	// NoVersion for a trial document. A version, unlike a digest, can't come
	// back, so that a refusal holds for every late copy of the record.
	Promotes Version
}

// Checkpoint repeats the state after the record at AsOf, or one part of it: a
// large state takes several records.
type Checkpoint struct {
	AsOf logservice.Offset
	// Part counts from 0 up to Parts, excluded. Parts of 0 or 1 stand for the
	// whole state.
	Part  int
	Parts int
	// ID ties the parts of one checkpoint together.
	ID      uuid.UUID
	Entries []Entry
}

// Entry is what is in force in one stage of one environment.
type Entry struct {
	Environment environment.Name
	Stage       environment.Stage
	Version     Version
	Digest      environment.Digest
	ID          PublishID
	Body        []byte
	// AcceptedVersions lists what was last accepted in this stage, newest last.
	AcceptedVersions []AcceptedVersion
}

// AcceptedVersion is a document that was in force in a stage.
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

type wireTried struct {
	Version int64  `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
}

type wireEntry struct {
	Environment string      `cbor:"1,keyasint"`
	Stage       string      `cbor:"2,keyasint"`
	Version     int64       `cbor:"3,keyasint"`
	Digest      string      `cbor:"4,keyasint"`
	ID          uuid.UUID   `cbor:"5,keyasint"`
	Body        []byte      `cbor:"6,keyasint"`
	Tried       []wireTried `cbor:"7,keyasint"`
}

type wireCheckpoint struct {
	AsOf    int64       `cbor:"1,keyasint"`
	Entries []wireEntry `cbor:"2,keyasint"`
	Part    int         `cbor:"3,keyasint,omitempty"`
	Parts   int         `cbor:"4,keyasint,omitempty"`
	Set     uuid.UUID   `cbor:"5,keyasint,omitempty"`
}

type wireRecord struct {
	Publication *wirePublication `cbor:"1,keyasint,omitempty"`
	Checkpoint  *wireCheckpoint  `cbor:"2,keyasint,omitempty"`
}

// EncodeRecord returns the CBOR form of a record.
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

// DecodeRecord reads a record from its CBOR form. A record of a kind that this
// build does not know gives a nil Record.
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
	wire := &wireCheckpoint{AsOf: int64(c.AsOf), Part: c.Part, Parts: c.Parts, Set: c.ID}
	for _, e := range c.Entries {
		w := wireEntry{
			Environment: string(e.Environment), Stage: string(e.Stage), Version: int64(e.Version),
			Digest: string(e.Digest), ID: e.ID, Body: e.Body,
		}
		for _, t := range e.AcceptedVersions {
			w.Tried = append(w.Tried, wireTried{Version: int64(t.Version), Digest: string(t.Digest)})
		}
		wire.Entries = append(wire.Entries, w)
	}
	return wire
}

func checkpointFromWire(wire *wireCheckpoint) Checkpoint {
	c := Checkpoint{AsOf: logservice.Offset(wire.AsOf), Part: wire.Part, Parts: wire.Parts, ID: wire.Set}
	for _, w := range wire.Entries {
		e := Entry{
			Environment: environment.Name(w.Environment), Stage: environment.Stage(w.Stage), Version: Version(w.Version),
			Digest: environment.Digest(w.Digest), ID: w.ID, Body: w.Body,
		}
		for _, t := range w.Tried {
			e.AcceptedVersions = append(e.AcceptedVersions, AcceptedVersion{Version: Version(t.Version), Digest: environment.Digest(t.Digest)})
		}
		c.Entries = append(c.Entries, e)
	}
	return c
}
