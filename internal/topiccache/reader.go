package topiccache

import (
	"time"

	"mulberryhead.org/mulberryhead/platform"
)

const (
	// MaxPushAge is how long after a push an instance leaves reading the store to its peer.
	// It is well below the times within which the platform requires that a new configuration
	// is active and that a draining backend server gets no more new requests.
	MaxPushAge = 1100 * time.Millisecond
	// NewestSpread is the time over which the instances of a zone spread their reads of the newest
	// records, after the store has dropped what they have not read. What a peer sends meanwhile may
	// spare them the read. Together with MaxPushAge it is below the times named there.
	NewestSpread = 400 * time.Millisecond
	// pushCheckInterval is the interval between checks whether a peer still reads the topic for
	// this instance, and retryDelay the delay after a failed call.
	pushCheckInterval = 100 * time.Millisecond
	retryDelay        = 200 * time.Millisecond
	// overdueMargin is how late an expected response of the store may be before a peer is asked.
	overdueMargin = 400 * time.Millisecond
)

// Evidence is what an instance hears of a topic: StoreUpdate, Push, Copy, Dropped or Failed.
type Evidence interface{ evidence() }

// StoreUpdate is what this instance has read from the store. It shows that the list is current, and that the
// store has the records that follow.
type StoreUpdate struct{ Update Update }

// Push is what a peer has read from the store a moment ago. It shows that the list is current once the position
// has reached its end, for MaxPushAge.
type Push struct{ Update Update }

// Copy is what a peer holds, read at any time before. It shows its records, and neither that the list is
// current nor that the store has the records that follow.
type Copy struct{ Update Update }

// Dropped is the store's response that it has dropped the records from an offset on. It shows that the list
// isn't current.
type Dropped struct {
	From  platform.Offset
	First platform.Offset // the oldest record that the store has, 0 if it did not say
	// Delay is how long other instances may take to send what is missing, before this one reads the newest
	// records.
	Delay time.Duration
}

// Failed is a call to the store without a usable response. It shows nothing of the list.
type Failed struct{}

func (StoreUpdate) evidence() {}
func (Push) evidence()        {}
func (Copy) evidence()        {}
func (Dropped) evidence()     {}
func (Failed) evidence()      {}

// Effect is what an update means for the records that an instance has applied.
type Effect int

// The effects of an update.
const (
	NoEffect   Effect = iota // it is older than what was applied, or records in between are missing
	Changes                  // its records follow those that were applied
	Everything               // its records take the place of those that were applied
)

// Call is what a Reader does next: Rest, ReadChanges or ReadNewest.
type Call interface{ call() }

// Rest makes no call for a time.
type Rest struct {
	For     time.Duration
	Current bool // a peer's push has shown that the list is current
}

// ReadChanges reads the records from an offset on.
type ReadChanges struct{ From platform.Offset }

// ReadNewest reads the newest record of each key.
type ReadNewest struct{}

func (Rest) call()        {}
func (ReadChanges) call() {}
func (ReadNewest) call()  {}

// Reader decides what one instance reads of a topic and when, what it takes from peers, and how current it is.
// Holding all records before an offset is one fact, and that the store has those that follow it is another one:
// peers may show the first, only the store the second. It is not safe for concurrent use.
//
//	switch call := reader.Next(now, interval, readsForAll).(type) { ... }
//	effect := reader.Record(now, topiccache.StoreUpdate{Update: update})
type Reader struct {
	next     platform.Offset // up to which the records are known
	complete bool            // the newest record of each key before next is known
	// retained is the first offset from which the store may have all records, by what it has said. Below, only
	// the newest record of each key shows what follows.
	retained  platform.Offset
	currentAt time.Time // when the store or a push last showed that the list is current
	pushedAt  time.Time // when a push last did, or a read that ReadOnce asked for
	readsOnce bool      // the next read is made in place of the peers
	fails     bool      // the last call to the store failed
	calledAt  time.Time
	interval  time.Duration // between calls
	callAt    time.Time     // no call is made before
}

// Position returns the offset up to which the records are known, and whether the newest record of each key
// before it is.
func (r *Reader) Position() (next platform.Offset, complete bool) { return r.next, r.complete }

// Follows reports whether the store may have the records that follow the position, as far as it has said.
func (r *Reader) Follows() bool { return r.complete && r.next >= r.retained }

// Fails reports whether the last call to the store failed.
func (r *Reader) Fails() bool { return r.fails }

// ReceivesPushes reports whether a peer reads the topic for this instance.
func (r *Reader) ReceivesPushes(now time.Time) bool {
	return r.complete && now.Sub(r.pushedAt) < MaxPushAge
}

// Overdue reports whether peers should be asked for records: what is known has not been shown to be current for
// longer than a response of the store, or a push, should take, or the store has not the records that follow.
func (r *Reader) Overdue(now time.Time, expected time.Duration) bool {
	return !r.Follows() || now.Sub(r.currentAt) > expected+overdueMargin
}

// ReadOnce makes this instance read the store once itself, as a push has told it of records that it lacks.
func (r *Reader) ReadOnce() {
	r.pushedAt = time.Time{}
	r.readsOnce = true
}

// Next returns what to do now. interval is the time between calls to the store, from the beginning of one to that
// of the next, and readsForAll tells whether this instance reads whatever its peers push.
func (r *Reader) Next(now time.Time, interval time.Duration, readsForAll bool) Call {
	if !readsForAll && r.ReceivesPushes(now) {
		return Rest{For: pushCheckInterval, Current: true}
	}
	if wait := r.callAt.Sub(now); wait > 0 {
		return Rest{For: wait}
	}
	r.calledAt, r.interval = now, interval
	if r.Follows() {
		return ReadChanges{From: r.next}
	}
	return ReadNewest{}
}

// Record records evidence, and returns what its update means.
func (r *Reader) Record(now time.Time, evidence Evidence) Effect {
	switch evidence := evidence.(type) {
	case StoreUpdate:
		return r.recordStoreUpdate(now, evidence.Update)
	case Push:
		effect := r.take(evidence.Update)
		if r.complete && r.next >= evidence.Update.Next {
			r.currentAt, r.pushedAt = now, now
		}
		return effect
	case Copy:
		return r.take(evidence.Update)
	case Dropped:
		r.recordDropped(now, evidence)
	case Failed:
		r.fails = true
		r.callAt = now.Add(retryDelay)
	}
	return NoEffect
}

func (r *Reader) recordStoreUpdate(now time.Time, update Update) Effect {
	r.fails = false
	r.currentAt = now
	r.callAt = r.calledAt.Add(r.interval)
	if r.readsOnce {
		r.readsOnce, r.pushedAt = false, now
	}
	if !update.Snapshot {
		return r.take(update)
	}
	if r.Follows() && update.Next < r.next {
		return NoEffect // peers have sent later records during the read
	}
	// Otherwise the position may go back: offsets restart if the store has lost the topic.
	r.next, r.complete, r.retained = update.Next, true, update.Next
	return Everything
}

func (r *Reader) recordDropped(now time.Time, dropped Dropped) {
	r.fails = false
	r.retained = max(r.retained, dropped.First, dropped.From+1)
	r.callAt = now
	if !r.Follows() {
		r.callAt = now.Add(dropped.Delay)
	}
}

// take moves the position to the end of an update if that is later and no record in between is missing.
func (r *Reader) take(update Update) Effect {
	if r.complete && update.Next <= r.next {
		return NoEffect
	}
	if update.Snapshot {
		r.next, r.complete = update.Next, true
		return Everything
	}
	if !r.complete || update.From > r.next || update.Compacted && update.From != r.next {
		return NoEffect
	}
	r.next = update.Next
	return Changes
}
