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

// NoFence stands for a duty that nobody holds.
const NoFence Fence = -1

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
	// clock.
	Seen time.Time
	// tentative marks a grant that a reader took on trust because the records
	// before it were trimmed. A renewal of another grant corrects it.
	tentative bool
}

// Fold is the state of the stream up to an offset.
type Fold struct {
	next   logservice.Offset
	grants map[Duty]Grant
	// missed is set once records were trimmed unread.
	missed bool
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{grants: map[Duty]Grant{}}
}

// Next returns the offset of the record to apply next.
func (f *Fold) Next() logservice.Offset {
	return f.next
}

// Grant returns who holds a duty; its Fence is NoFence if nobody does.
func (f *Fold) Grant(duty Duty) Grant {
	if g, ok := f.grants[duty]; ok {
		return g
	}
	return Grant{Fence: NoFence}
}

// Trimmed says that the stream now starts at first, beyond Next. What was
// granted before stays known, but may have been replaced unseen.
func (f *Fold) Trimmed(first logservice.Offset) {
	if first <= f.next {
		return
	}
	f.next = first
	f.missed = true
	for duty, g := range f.grants {
		g.tentative = true
		f.grants[duty] = g
	}
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
	r, err := DecodeRequest(record.Body)
	if err != nil {
		// A broken record takes effect nowhere; every reader skips it alike.
		return nil
	}
	held := f.Grant(r.Duty)
	trusting := held.tentative || (f.missed && held.Fence == NoFence)
	switch {
	case r.Renew && r.Replaces == held.Fence && r.Holder == held.Holder:
		held.Seen, held.tentative = now, false
		f.grants[r.Duty] = held
	case r.Renew && trusting:
		f.grants[r.Duty] = Grant{Holder: r.Holder, Fence: r.Replaces, Seen: now, tentative: true}
	case !r.Renew && (r.Replaces == held.Fence || trusting):
		granted := Grant{Holder: r.Holder, Fence: Fence(record.Offset), Seen: now}
		granted.tentative = r.Replaces != held.Fence || held.tentative
		if err := invariant.Check(granted.Fence > held.Fence, invariant.FencingMonotone,
			"duty %s would go from fence %d to %d", r.Duty, held.Fence, granted.Fence); err != nil {
			return err
		}
		f.grants[r.Duty] = granted
	}
	return nil
}
