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

// injectedBug is a bug that the simulation adds to the code under test, to show
// that its checks detect it.
type injectedBug int

const (
	noBug injectedBug = iota
	// dispatchBeforeReadBack treats a successful append as ownership.
	dispatchBeforeReadBack
	// lostTreatedAsNotSent dispatches a call again whose response was lost.
	lostTreatedAsNotSent
	// releaseInvalidatesNothing lets attempts that began before a release own the
	// key after it.
	releaseInvalidatesNothing
	// trimIgnored uses the state of keys although records were missed.
	trimIgnored
	// notRunWithoutClaim replies not-run when the claim was refused or timed out.
	notRunWithoutClaim
	// nonOwnerRepliesNotRun replies not-run, instead of unknown, for an attempt
	// that ends because of another attempt, such as at a release by the owner.
	nonOwnerRepliesNotRun
	// expiredKeyAccepted claims a key that other instances may have evicted.
	expiredKeyAccepted
	// ownerTakeover takes over any key that is still owned more than 3 s after the
	// simulation started.
	ownerTakeover
)

// simulation consists of several instances, one log, and one service that runs
// every request it receives.
type simulation struct {
	bug       injectedBug
	now       time.Time
	first     logservice.Offset
	log       []logservice.Record
	delayed   []Entry
	instances []*simInstance
	keys      []Key
	ran       map[Key]int
	inFlight  []inFlightRequest
	calls     int
	// notRun holds, for each key, the number of calls started when not-run was last
	// returned.
	notRun    map[Key]int
	violation error
	trace     []string
}

// tracef records a step for the report of a violation.
func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf(format, args...))
}

// inFlightRequest is a dispatched request that reaches the service later.
type inFlightRequest struct {
	key  Key
	call int
}

type simInstance struct {
	simulation  *simulation
	incarnation Incarnation
	table       *KeyTable
	calls       []*simCall
	outbox      []Entry
	paused      bool
}

type simCall struct {
	instance        *simInstance
	number          int
	key             Key
	call            *Call
	pendingClaim    *Claim
	offset          logservice.Offset
	dispatchPending bool
	reply           *Reply
	initialState    KeyState
}

var simulationStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newSimulation(injected injectedBug, instances, keys int) *simulation {
	sim := &simulation{bug: injected, now: simulationStart, ran: map[Key]int{}, notRun: map[Key]int{}}
	for range instances {
		inst := &simInstance{simulation: sim}
		inst.restart()
		sim.instances = append(sim.instances, inst)
	}
	for i := range keys {
		sim.keys = append(sim.keys, Key{Team: "t", UUID: keyAt(sim.now.Add(MaxClockSkew), byte(i))})
	}
	return sim
}

// keyAt returns a UUIDv7 created at a time.
func keyAt(at time.Time, last byte) uuid.UUID {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, last
	return id
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf(format+"\n%s", append(args, strings.Join(sim.trace, "\n"))...)
	}
}

// restart discards the state of the instance and starts a new incarnation.
func (inst *simInstance) restart() {
	inst.incarnation = uuid.New()
	inst.simulation.tracef("instance restarts")
	inst.table = NewKeyTable()
	inst.calls, inst.outbox, inst.paused = nil, nil, false
}

// begin starts an attempt under a key.
func (inst *simInstance) begin(key Key) *simCall {
	sim := inst.simulation
	sim.calls++
	c := &simCall{instance: inst, number: sim.calls, key: key, offset: -1, initialState: inst.state(key)}
	expires := key.Expires()
	if sim.bug == expiredKeyAccepted {
		expires = sim.now.Add(time.Hour)
	}
	c.call = NewCall(CallConfig{
		Claim:         Claim{Key: key, ID: uuid.New(), Incarnation: inst.incarnation, ReadOffset: inst.table.Next()},
		ClaimDeadline: sim.now.Add(claimTimeout), ReplyDeadline: sim.now.Add(5 * time.Second), Expires: expires,
	})
	inst.calls = append(inst.calls, c)
	c.handle(StateUpdate{State: c.initialState})
	return c
}

func (inst *simInstance) state(key Key) KeyState {
	if inst.simulation.bug == trimIgnored {
		return inst.table.lookup(key)
	}
	return inst.table.State(key)
}

func (c *simCall) handle(event Event) {
	c.instance.simulation.tracef("call %d gets %T %+v", c.number, event, event)
	for _, action := range c.call.Handle(c.instance.simulation.now, event) {
		c.perform(action)
	}
}

func (c *simCall) perform(action Action) {
	c.instance.simulation.tracef("call %d does %T %+v", c.number, action, action)
	switch a := action.(type) {
	case Append:
		if claim, ok := a.Entry.(Claim); ok {
			c.pendingClaim = &claim
			return
		}
		c.instance.outbox = append(c.instance.outbox, a.Entry)
	case Dispatch:
		c.dispatchPending = true
	case Reply:
		c.checkReply(a)
	}
}

// checkReply checks a reply against what ran.
func (c *simCall) checkReply(r Reply) {
	sim := c.instance.simulation
	if sim.bug == notRunWithoutClaim && r.Code == CodeLogUnavailable {
		r.Outcome = OutcomeNotRun
	}
	if sim.bug == nonOwnerRepliesNotRun && r.Code == CodeInProgress {
		r.Outcome = OutcomeNotRun
	}
	c.reply = &r
	inFlight := slices.ContainsFunc(sim.inFlight, func(request inFlightRequest) bool { return request.key == c.key })
	switch r.Outcome {
	case OutcomeNotRun:
		if sim.ran[c.key] > 0 || inFlight {
			sim.fail("call %d got not-run, but the key ran or is in flight", c.number)
		}
		sim.notRun[c.key] = sim.calls
	case OutcomeDone:
		if sim.ran[c.key] != 1 {
			sim.fail("call %d got done, but the key ran %d times", c.number, sim.ran[c.key])
		}
	case OutcomeUnknown:
	}
}

// execute runs a request at the service and checks that it may run.
func (sim *simulation) execute(r inFlightRequest) {
	sim.ran[r.key]++
	sim.tracef("service runs call %d", r.call)
	if sim.ran[r.key] > 1 {
		sim.fail("key ran %d times", sim.ran[r.key])
	}
	if r.call <= sim.notRun[r.key] {
		sim.fail("call %d ran after not-run was returned", r.call)
	}
}

// The results of a simulated append.
const (
	appendAccepted = iota
	appendRefused
	appendResponseLost
	appendDelayed
	appendLost
	appendResultCount
)

func (sim *simulation) appendEntry(entry Entry) logservice.Offset {
	if sim.bug == releaseInvalidatesNothing {
		if claim, ok := entry.(Claim); ok {
			claim.ReadOffset = 1 << 40
			entry = claim
		}
	}
	body, err := EncodeBatch([]Entry{entry})
	if err != nil {
		panic(err)
	}
	offset := sim.first + logservice.Offset(len(sim.log))
	sim.tracef("log %d: %T %+v", offset, entry, entry)
	sim.log = append(sim.log, logservice.Record{Offset: offset, Time: sim.now, Body: body})
	return offset
}

// finishClaimAppend ends the append of a call's claim with a result.
func (c *simCall) finishClaimAppend(result int) {
	sim, claim := c.instance.simulation, *c.pendingClaim
	c.pendingClaim = nil
	switch result {
	case appendAccepted:
		c.offset = sim.appendEntry(claim)
		if sim.bug == dispatchBeforeReadBack {
			c.handle(StateUpdate{State: KeyState{Phase: PhaseOwned, ID: claim.ID, Digest: claim.Digest}})
		}
	case appendRefused:
		c.handle(Refused{})
	case appendResponseLost:
		sim.appendEntry(claim)
	case appendDelayed:
		sim.delayed = append(sim.delayed, claim)
	}
}

// flush ends the append of the instance's oldest outcome or release with a result.
// The entry stays queued until an append succeeds.
func (inst *simInstance) flush(result int) {
	entry := inst.outbox[0]
	switch result {
	case appendAccepted:
		inst.outbox = inst.outbox[1:]
		inst.simulation.appendEntry(entry)
	case appendResponseLost:
		inst.simulation.appendEntry(entry)
	case appendDelayed:
		inst.simulation.delayed = append(inst.simulation.delayed, entry)
	}
}

// read applies the next record at an instance and reports whether there was one.
// Without notify, calls miss its events and read the state at their next tick.
func (inst *simInstance) read(notify bool) bool {
	sim := inst.simulation
	if inst.table.Next() < sim.first {
		inst.table.HandleTrim(sim.first)
	}
	at := int(inst.table.Next() - sim.first)
	if at >= len(sim.log) {
		return false
	}
	record := sim.log[at]
	changed, err := inst.table.Apply(record)
	if err != nil {
		sim.fail("%v", err)
	}
	for _, c := range slices.Clone(inst.calls) {
		switch {
		case !notify:
		case c.offset == record.Offset:
			c.handle(Applied{State: inst.state(c.key)})
		case slices.Contains(changed, c.key):
			c.handle(StateUpdate{State: inst.state(c.key)})
		}
	}
	return true
}

// The results of a simulated dispatch.
const (
	dispatchNotSent = iota
	dispatchRequestLost
	dispatchResponseLost
	dispatchDelayed
	dispatchResponded
	dispatchResultCount
)

func (c *simCall) finishDispatch(result int) {
	sim := c.instance.simulation
	c.dispatchPending = false
	r := inFlightRequest{key: c.key, call: c.number}
	var event Event = ResponseLost{}
	if sim.bug == lostTreatedAsNotSent {
		event = NotSent{}
	}
	switch result {
	case dispatchNotSent:
		event = NotSent{}
	case dispatchResponseLost:
		sim.execute(r)
	case dispatchDelayed:
		sim.inFlight = append(sim.inFlight, r)
	case dispatchResponded:
		sim.execute(r)
		event = ResponseReceived{Response: Response{Status: 200}}
	}
	c.handle(event)
}

func (inst *simInstance) tick() {
	for _, c := range slices.Clone(inst.calls) {
		c.handle(StateUpdate{State: inst.state(c.key)})
		c.handle(Tick{})
		state := inst.state(c.key)
		overdue := state.Phase == PhaseOwned && inst.simulation.now.Sub(simulationStart) > 3*time.Second
		if inst.simulation.bug == ownerTakeover && overdue && c.reply == nil && !c.dispatchPending {
			state.ID = c.call.claim.ID
			c.handle(StateUpdate{State: state})
		}
	}
}

// randomStep runs one random step at a random instance, or in the log or the
// service.
func (sim *simulation) randomStep(c prove.Chooser) {
	inst := sim.instances[c.Choose(len(sim.instances))]
	switch c.Choose(12) {
	case 0, 1:
		if !inst.paused && len(inst.calls) < 4 {
			inst.begin(sim.keys[c.Choose(len(sim.keys))])
		}
	case 2, 3:
		for _, call := range inst.calls {
			if call.pendingClaim != nil {
				call.finishClaimAppend(c.Choose(appendResultCount))
				break
			}
		}
	case 4:
		if len(inst.outbox) > 0 && !inst.paused {
			inst.flush(c.Choose(appendResultCount))
		}
	case 5, 6:
		for range c.Choose(4) {
			if inst.paused || !inst.read(c.Choose(4) > 0) {
				break
			}
		}
	case 7, 8:
		for _, call := range inst.calls {
			if call.dispatchPending && !inst.paused {
				// At least half of the dispatches write nothing, so that owners release keys.
				call.finishDispatch(c.Choose(2) * c.Choose(dispatchResultCount))
				break
			}
		}
	case 9:
		sim.now = sim.now.Add(time.Duration(c.Choose(3)) * time.Second)
		for _, inst := range sim.instances {
			if !inst.paused {
				inst.tick()
			}
		}
	case 10:
		sim.deliverDelayed(c)
	case 11:
		sim.injectFault(c, inst)
	}
}

func (sim *simulation) deliverDelayed(c prove.Chooser) {
	if len(sim.delayed) > 0 {
		i := c.Choose(len(sim.delayed))
		sim.appendEntry(sim.delayed[i])
		// A duplicate may follow.
		if c.Choose(2) == 0 {
			sim.delayed = slices.Delete(sim.delayed, i, i+1)
		}
	}
	if len(sim.inFlight) > 0 && c.Choose(2) == 0 {
		r := sim.inFlight[0]
		sim.inFlight = sim.inFlight[1:]
		sim.execute(r)
	}
}

func (sim *simulation) injectFault(c prove.Chooser, inst *simInstance) {
	switch c.Choose(6) {
	case 5:
		// Rare, since no key can run afterwards.
		if c.Choose(4) == 0 {
			sim.now = sim.now.Add(MaxKeyAge + 4*MaxClockSkew)
		}
		for _, inst := range sim.instances {
			inst.table.Expire(sim.now)
		}
	case 0:
		inst.restart()
	case 1, 2:
		inst.paused = !inst.paused
	case 3:
		keep := c.Choose(len(sim.log) + 1)
		sim.first += logservice.Offset(len(sim.log) - keep)
		sim.log = sim.log[len(sim.log)-keep:]
		sim.tracef("log now starts at %d", sim.first)
	case 4:
		sim.now = sim.now.Add(time.Second)
		sim.appendEntry(Heartbeat{})
	}
}
