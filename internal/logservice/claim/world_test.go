package claim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// flaw names a fault that is planted to show that the proof catches it.
type flaw int

const (
	noFlaw flaw = iota
	// dispatchBeforeReadBack takes the append's answer for the ownership.
	dispatchBeforeReadBack
	// lostTakenForNotWritten repeats a call whose response was lost.
	lostTakenForNotWritten
	// releaseVoidsNothing lets attempts that began before a release own the
	// key after it.
	releaseVoidsNothing
	// gapsIgnored judges keys although records were missed.
	gapsIgnored
	// notRunWithoutClaim tells not-run when the claim could not be made.
	notRunWithoutClaim
	// loserTellsNotRun lets an attempt that waited tell not-run at a release.
	loserTellsNotRun
	// expiredKeyTaken claims a key that other instances may have forgotten.
	expiredKeyTaken
	// leaseTakeover dispatches a key whose owner is silent for long.
	leaseTakeover
)

// world is several instances, one log and one service that runs whatever
// reaches it.
type world struct {
	flaw    flaw
	now     time.Time
	first   logservice.Offset
	log     []logservice.Record
	late    []Entry
	nodes   []*node
	keys    []Key
	ran     map[Key]int
	flights []flight
	calls   int
	// notRun holds the number of calls begun when not-run was last told.
	notRun map[Key]int
	fault  error
	trace  []string
}

// note keeps what happened, for the report of a fault.
func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// flight is a dispatched call that reaches the service later.
type flight struct {
	key  Key
	call int
}

type node struct {
	world       *world
	incarnation Incarnation
	ledger      *KeyTable
	calls       []*simCall
	outbox      []Entry
	paused      bool
}

type simCall struct {
	node      *node
	number    int
	key       Key
	call      *Call
	claim     *Claim
	offset    logservice.Offset
	dispatch  bool
	reply     *Reply
	beganWith KeyState
}

var worldStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newWorld(f flaw, nodes, keys int) *world {
	w := &world{flaw: f, now: worldStart, ran: map[Key]int{}, notRun: map[Key]int{}}
	for range nodes {
		n := &node{world: w}
		n.restart()
		w.nodes = append(w.nodes, n)
	}
	for i := range keys {
		w.keys = append(w.keys, Key{Team: "t", UUID: keyAt(w.now.Add(MaxClockSkew), byte(i))})
	}
	return w
}

// keyAt returns a UUIDv7 made at a time.
func keyAt(at time.Time, last byte) uuid.UUID {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, last
	return id
}

func (w *world) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format+"\n%s", append(args, strings.Join(w.trace, "\n"))...)
	}
}

// restart loses all that the node knew.
func (n *node) restart() {
	n.incarnation = uuid.New()
	n.world.note("node restarts")
	n.ledger = NewKeyTable()
	n.calls, n.outbox, n.paused = nil, nil, false
}

// begin starts an attempt under a key.
func (n *node) begin(key Key) *simCall {
	w := n.world
	w.calls++
	c := &simCall{node: n, number: w.calls, key: key, offset: -1, beganWith: n.state(key)}
	expires := key.Expires()
	if w.flaw == expiredKeyTaken {
		expires = w.now.Add(time.Hour)
	}
	c.call = NewCall(CallConfig{
		Claim:         Claim{Key: key, ID: uuid.New(), Incarnation: n.incarnation, ReadOffset: n.ledger.Next()},
		ClaimDeadline: w.now.Add(claimTimeout), AnswerDeadline: w.now.Add(5 * time.Second), Expires: expires,
	})
	n.calls = append(n.calls, c)
	c.step(StateUpdate{State: c.beganWith})
	return c
}

func (n *node) state(key Key) KeyState {
	if n.world.flaw == gapsIgnored {
		return n.ledger.held(key)
	}
	return n.ledger.State(key)
}

func (c *simCall) step(event Event) {
	c.node.world.note("call %d gets %T %+v", c.number, event, event)
	for _, action := range c.call.Handle(c.node.world.now, event) {
		c.act(action)
	}
}

func (c *simCall) act(action Action) {
	c.node.world.note("call %d does %T %+v", c.number, action, action)
	switch a := action.(type) {
	case Append:
		if claim, ok := a.Entry.(Claim); ok {
			c.claim = &claim
			return
		}
		c.node.outbox = append(c.node.outbox, a.Entry)
	case Dispatch:
		c.dispatch = true
	case Reply:
		c.told(a)
	}
}

// told checks the answer against what really ran.
func (c *simCall) told(r Reply) {
	w := c.node.world
	if w.flaw == notRunWithoutClaim && r.Code == CodeLogUnavailable {
		r.Answer = OutcomeNotRun
	}
	if w.flaw == loserTellsNotRun && r.Code == CodeInProgress {
		r.Answer = OutcomeNotRun
	}
	c.reply = &r
	flying := slices.ContainsFunc(w.flights, func(f flight) bool { return f.key == c.key })
	switch r.Answer {
	case OutcomeNotRun:
		if w.ran[c.key] > 0 || flying {
			w.fail("call %d told not-run, but the key ran or is on its way", c.number)
		}
		w.notRun[c.key] = w.calls
	case OutcomeDone:
		if w.ran[c.key] != 1 {
			w.fail("call %d told done, but the key ran %d times", c.number, w.ran[c.key])
		}
	case OutcomeUnknown:
	}
}

// execute is the service running a call.
func (w *world) execute(f flight) {
	w.ran[f.key]++
	w.note("service runs call %d", f.call)
	if w.ran[f.key] > 1 {
		w.fail("key ran %d times", w.ran[f.key])
	}
	if f.call <= w.notRun[f.key] {
		w.fail("call %d ran after not-run was told", f.call)
	}
}

// Ways in which an append can end.
const (
	appendTaken = iota
	appendRefused
	appendLandedUnanswered
	appendLandsLate
	appendNeverLands
	appendEndings
)

func (w *world) land(entry Entry) logservice.Offset {
	if w.flaw == releaseVoidsNothing {
		if claim, ok := entry.(Claim); ok {
			claim.ReadOffset = 1 << 40
			entry = claim
		}
	}
	body, err := EncodeBatch([]Entry{entry})
	if err != nil {
		panic(err)
	}
	offset := w.first + logservice.Offset(len(w.log))
	w.note("log %d: %T %+v", offset, entry, entry)
	w.log = append(w.log, logservice.Record{Offset: offset, Time: w.now, Body: body})
	return offset
}

// appendClaim ends the append of a call's claim.
func (c *simCall) appendClaim(ending int) {
	w, claim := c.node.world, *c.claim
	c.claim = nil
	switch ending {
	case appendTaken:
		c.offset = w.land(claim)
		if w.flaw == dispatchBeforeReadBack {
			c.step(StateUpdate{State: KeyState{Phase: PhaseOwned, ID: claim.ID, Digest: claim.Digest}})
		}
	case appendRefused:
		c.step(Refused{})
	case appendLandedUnanswered:
		w.land(claim)
	case appendLandsLate:
		w.late = append(w.late, claim)
	}
}

// flush ends the append of the node's oldest outcome or release. It stays
// queued until the log has said that it took it.
func (n *node) flush(ending int) {
	entry := n.outbox[0]
	switch ending {
	case appendTaken:
		n.outbox = n.outbox[1:]
		n.world.land(entry)
	case appendLandedUnanswered:
		n.world.land(entry)
	case appendLandsLate:
		n.world.late = append(n.world.late, entry)
	}
}

// read lets a node read its next record, and reports whether there was one.
// Calls can miss what it says and find out at their next tick.
func (n *node) read(tell bool) bool {
	w := n.world
	if n.ledger.Next() < w.first {
		n.ledger.HandleTrim(w.first)
	}
	at := int(n.ledger.Next() - w.first)
	if at >= len(w.log) {
		return false
	}
	record := w.log[at]
	changed, err := n.ledger.Apply(record)
	if err != nil {
		w.fail("%v", err)
	}
	for _, c := range slices.Clone(n.calls) {
		switch {
		case !tell:
		case c.offset == record.Offset:
			c.step(Settled{State: n.state(c.key)})
		case slices.Contains(changed, c.key):
			c.step(StateUpdate{State: n.state(c.key)})
		}
	}
	return true
}

// Ways in which a dispatch can end.
const (
	dispatchNotWritten = iota
	dispatchLostBefore
	dispatchLostAfter
	dispatchLostLate
	dispatchAnswered
	dispatchEndings
)

func (c *simCall) endDispatch(ending int) {
	w := c.node.world
	c.dispatch = false
	f := flight{key: c.key, call: c.number}
	var event Event = ResponseLost{}
	if w.flaw == lostTakenForNotWritten {
		event = NotSent{}
	}
	switch ending {
	case dispatchNotWritten:
		event = NotSent{}
	case dispatchLostAfter:
		w.execute(f)
	case dispatchLostLate:
		w.flights = append(w.flights, f)
	case dispatchAnswered:
		w.execute(f)
		event = ResponseReceived{Response: Response{Status: 200}}
	}
	c.step(event)
}

func (n *node) tick() {
	for _, c := range slices.Clone(n.calls) {
		c.step(StateUpdate{State: n.state(c.key)})
		c.step(Tick{})
		state := n.state(c.key)
		silent := state.Phase == PhaseOwned && n.world.now.Sub(worldStart) > 3*time.Second
		if n.world.flaw == leaseTakeover && silent && c.reply == nil && !c.dispatch {
			state.ID = c.call.claim.ID
			c.step(StateUpdate{State: state})
		}
	}
}

// randomStep lets one thing happen anywhere.
func (w *world) randomStep(c prove.Chooser) {
	n := w.nodes[c.Choose(len(w.nodes))]
	switch c.Choose(12) {
	case 0, 1:
		if !n.paused && len(n.calls) < 4 {
			n.begin(w.keys[c.Choose(len(w.keys))])
		}
	case 2, 3:
		for _, call := range n.calls {
			if call.claim != nil {
				call.appendClaim(c.Choose(appendEndings))
				break
			}
		}
	case 4:
		if len(n.outbox) > 0 && !n.paused {
			n.flush(c.Choose(appendEndings))
		}
	case 5, 6:
		for range c.Choose(4) {
			if n.paused || !n.read(c.Choose(4) > 0) {
				break
			}
		}
	case 7, 8:
		for _, call := range n.calls {
			if call.dispatch && !n.paused {
				// Half of the dispatches write nothing, so that owners release.
				call.endDispatch(c.Choose(2) * c.Choose(dispatchEndings))
				break
			}
		}
	case 9:
		w.now = w.now.Add(time.Duration(c.Choose(3)) * time.Second)
		for _, n := range w.nodes {
			if !n.paused {
				n.tick()
			}
		}
	case 10:
		w.landLate(c)
	case 11:
		w.disturb(c, n)
	}
}

func (w *world) landLate(c prove.Chooser) {
	if len(w.late) > 0 {
		i := c.Choose(len(w.late))
		w.land(w.late[i])
		// A duplicate may follow.
		if c.Choose(2) == 0 {
			w.late = slices.Delete(w.late, i, i+1)
		}
	}
	if len(w.flights) > 0 && c.Choose(2) == 0 {
		f := w.flights[0]
		w.flights = w.flights[1:]
		w.execute(f)
	}
}

func (w *world) disturb(c prove.Chooser, n *node) {
	switch c.Choose(6) {
	case 5:
		// Seldom, since no key runs any more after it.
		if c.Choose(4) == 0 {
			w.now = w.now.Add(MaxKeyAge + 4*MaxClockSkew)
		}
		for _, n := range w.nodes {
			n.ledger.Expire(w.now)
		}
	case 0:
		n.restart()
	case 1, 2:
		n.paused = !n.paused
	case 3:
		keep := c.Choose(len(w.log) + 1)
		w.first += logservice.Offset(len(w.log) - keep)
		w.log = w.log[len(w.log)-keep:]
		w.note("log now starts at %d", w.first)
	case 4:
		w.now = w.now.Add(time.Second)
		w.land(Heartbeat{})
	}
}
