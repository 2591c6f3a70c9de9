// Package poison decides which requests are not sent to backend servers because servers
// have ended while they ran such requests.
//
// A server's end breaks off everything in flight there, and nearly all of that is sound.
// What is to blame is known only by what several ends have in common. A request has keys:
// one for each part of its prompt that it shares with others, and one for the request as
// a whole. An end is evidence against the keys of the requests that were in flight on the
// server and had not begun to be answered. An answer that begins clears the keys of its
// request of all earlier ends, since servers end as they begin to write. A key with enough
// uncleared ends is held: its requests are not sent, except for one trial after a while.
//
// The evidence is a set that instances exchange. It can be merged in any order and any
// number of times, and each instance computes the verdict from what it has.
//
// Usage: record ends and begun answers, ask at each dispatch, and exchange evidence:
//
//	tracker := poison.NewTracker(jitter)
//	tracker.RecordEnd(now, at, incarnation, blamed)
//	tracker.RecordBegun(now, keys)
//	if tracker.Judge(now, keys) == poison.Held { ... }
//	news := tracker.Merge(now, evidence)
//
// A Tracker is not safe for concurrent use.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Key identifies what requests have in common: a part of their prompts, or all of it.
type Key uint64

// The first byte of what is hashed to a Key, so that parts and requests differ.
const (
	partDomain    = "p"
	requestDomain = "r"
)

// PartKey returns the key of a part of a prompt.
func PartKey(part deployment.PromptPartID) Key {
	return Key(xxhash.Sum64String(partDomain + string(part)))
}

// RequestKey returns the key of a request as a whole, which a repeat shares. Headers are
// not included.
func RequestKey(method, host, uri string, team deployment.Team, body []byte) Key {
	hash := xxhash.New()
	for _, field := range []string{requestDomain, method, host, uri, string(team)} {
		// Writes to the hash never fail.
		_, _ = hash.WriteString(field)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Key(hash.Sum64())
}

// Attempt identifies one send of a request along one path.
type Attempt uint64

// Blamed is an attempt that was in flight on a server when that ended, and that had not
// begun to be answered. Its keys are ordered from the most general to the most specific, and
// the last one is that of the request as a whole.
type Blamed struct {
	Attempt Attempt
	Keys    []Key
}

// End is the end of a server, as instances exchange it.
type End struct {
	Incarnation deployment.Incarnation
	Age         time.Duration // since the end
	// Answered is set once an answer to any request has begun after the end, AnsweredAge ago.
	Answered    bool
	AnsweredAge time.Duration
	Blamed      []Blamed
}

// KeyAge is a key with the time since something happened to it.
type KeyAge struct {
	Key Key
	Age time.Duration
}

// Evidence is what instances exchange.
type Evidence struct {
	Ends   []End
	Begun  []KeyAge // when answers to requests with a key last began
	Trials []KeyAge // when a held request was last sent as a trial
}

// Empty reports whether the evidence says nothing.
func (e Evidence) Empty() bool { return len(e.Ends) == 0 && len(e.Begun) == 0 && len(e.Trials) == 0 }

// Verdict is what is to be done with a request.
type Verdict int

// The verdicts. A Suspected request may be sent, but not again after a server that it was
// in flight on has ended. A Held request must not be sent.
const (
	Clear Verdict = iota
	Suspected
	Held
)

func (v Verdict) String() string { return [...]string{"clear", "suspected", "held"}[v] }
