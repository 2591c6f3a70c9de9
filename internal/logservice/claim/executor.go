package claim

import (
	"context"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

const (
	claimTimeout  = 2 * time.Second
	tickInterval  = 50 * time.Millisecond
	lingerTimeout = 2 * time.Minute
	callEvents    = 16
	expiryEvery   = time.Minute
	markRetry     = 30 * time.Second
)

// DispatchResult says how one dispatch ended.
type DispatchResult interface {
	isDispatchResult()
}

func (NotSent) isDispatchResult()          {}
func (ResponseLost) isDispatchResult()     {}
func (ResponseReceived) isDispatchResult() {}

// Dispatcher sends a call to a backend server. Each call of Dispatch goes to a
// backend server that it did not try before, as far as there is one.
type Dispatcher interface {
	Dispatch(ctx context.Context) DispatchResult
}

// Journal takes the entries of calls. *Batcher is one.
type Journal interface {
	EnqueueClaim(c Claim, done func(AppendResult))
	Enqueue(entry Entry) bool
}

// Request asks for a call to run at most once.
type Request struct {
	Claim                   Claim
	SupportsIdempotencyKeys bool
	// Timeout bounds the wait for another owner of the key.
	Timeout    time.Duration
	Dispatcher Dispatcher
}

// Executor follows the stream and runs calls against its ledger.
type Executor struct {
	journal Journal
	refresh func(ctx context.Context) error

	mu      sync.Mutex
	ledger  *KeyTable
	expired time.Time
	marked  time.Time
	runs    map[Key]map[*run]struct{}
}

// run is one call under way.
type run struct {
	events chan Event
	// offset is where the claim was appended, -1 while unknown.
	offset logservice.Offset
}

// NewExecutor returns a tracker that appends through journal. refresh reads the
// stream to its end once.
func NewExecutor(journal Journal, refresh func(ctx context.Context, t *Executor) error) *Executor {
	t := &Executor{journal: journal, ledger: NewKeyTable(), runs: map[Key]map[*run]struct{}{}}
	t.refresh = func(ctx context.Context) error { return refresh(ctx, t) }
	return t
}

// Next implements logservice.Consumer.
func (t *Executor) Next() logservice.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Next()
}

// HandleRecords implements logservice.Consumer.
func (t *Executor) HandleRecords(now time.Time, page logservice.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range page.Records {
		t.apply(record)
	}
	if now.Sub(t.expired) >= expiryEvery {
		t.expired = now
		t.ledger.Expire(now)
	}
	if len(page.Records) == 0 && now.Sub(t.marked) >= markRetry && t.ledger.HeartbeatDue(now) {
		t.marked = now
		t.journal.Enqueue(Heartbeat{})
	}
}

// HandleTrim implements logservice.Consumer.
func (t *Executor) HandleTrim(_ time.Time, first logservice.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.HandleTrim(first)
}

// HandleReadError implements logservice.Consumer.
func (t *Executor) HandleReadError(time.Time, error) {}

// Len returns the number of keys held.
func (t *Executor) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Len()
}

// State returns what is known about a key.
func (t *Executor) State(key Key) KeyState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.State(key)
}

// RefreshState returns what is known about a key after reading the stream to its end,
// as far as that can be reached.
func (t *Executor) RefreshState(ctx context.Context, key Key) KeyState {
	_ = t.refresh(ctx)
	return t.State(key)
}

// apply takes a record and tells the calls that it concerns.
func (t *Executor) apply(record logservice.Record) {
	changed, err := t.ledger.Apply(record)
	if err != nil {
		return
	}
	for _, key := range changed {
		for r := range t.runs[key] {
			r.push(StateUpdate{State: t.ledger.State(key)})
		}
	}
	for key, runs := range t.runs {
		for r := range runs {
			if r.offset == record.Offset {
				r.push(Settled{State: t.ledger.State(key)})
			}
		}
	}
}

// push never blocks the reader of the log. A call that misses an event looks
// at the ledger again at its next tick.
func (r *run) push(event Event) {
	select {
	case r.events <- event:
	default:
	}
}

// Run runs a call at most once and returns what to tell its caller. The call
// goes on to its end also when ctx ends.
func (t *Executor) Run(ctx context.Context, request Request) Reply {
	replies := make(chan Reply, 1)
	request.Claim.ReadOffset = t.Next()
	d := &callDriver{
		tracker: t, request: request, began: time.Now(),
		run:     &run{events: make(chan Event, callEvents), offset: -1},
		replies: replies,
	}
	d.call = NewCall(CallConfig{
		Claim: request.Claim, SupportsIdempotencyKeys: request.SupportsIdempotencyKeys,
		ClaimDeadline: d.began.Add(claimTimeout), AnswerDeadline: d.began.Add(request.Timeout),
		Expires: request.Claim.Key.Expires(),
	})
	go d.drive(context.WithoutCancel(ctx))
	return <-replies
}

func (t *Executor) join(key Key, r *run) KeyState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[key] == nil {
		t.runs[key] = map[*run]struct{}{}
	}
	t.runs[key][r] = struct{}{}
	return t.ledger.State(key)
}

func (t *Executor) leave(key Key, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs[key], r)
	if len(t.runs[key]) == 0 {
		delete(t.runs, key)
	}
}

// callDriver carries out the actions of one call.
type callDriver struct {
	tracker *Executor
	request Request
	call    *Call
	run     *run
	began   time.Time
	replies chan Reply
}

func (d *callDriver) drive(ctx context.Context) {
	key := d.request.Claim.Key
	state := d.tracker.join(key, d.run)
	defer d.tracker.leave(key, d.run)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.execute(ctx, d.call.Handle(time.Now(), StateUpdate{State: state}))
	for !d.call.Ended() {
		var event Event
		select {
		case event = <-d.run.events:
		case now := <-ticker.C:
			if now.Sub(d.began) > lingerTimeout+d.request.Timeout {
				return
			}
			event = d.tick()
		}
		d.execute(ctx, d.call.Handle(time.Now(), event))
	}
}

// tick looks at the ledger, so that an event that was missed is made up for.
func (d *callDriver) tick() Event {
	t := d.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.ledger.State(d.request.Claim.Key)
	if d.run.offset >= 0 && t.ledger.Next() > d.run.offset {
		d.run.push(Settled{State: state})
	} else {
		d.run.push(StateUpdate{State: state})
	}
	return Tick{}
}

func (d *callDriver) execute(ctx context.Context, actions []Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch a := action.(type) {
		case Append:
			d.append(a.Entry)
		case Dispatch:
			result := d.request.Dispatcher.Dispatch(ctx)
			actions = append(actions, d.call.Handle(time.Now(), result.(Event))...)
		case Reply:
			d.replies <- a
		}
	}
}

func (d *callDriver) append(entry Entry) {
	claim, ok := entry.(Claim)
	if !ok {
		d.tracker.journal.Enqueue(entry)
		return
	}
	d.tracker.journal.EnqueueClaim(claim, d.appended)
}

func (d *callDriver) appended(result AppendResult) {
	switch r := result.(type) {
	case Appended:
		d.tracker.appended(d, r.Offset)
	case AppendRefused:
		d.run.push(Refused(r))
	case AppendUncertain:
	}
}

// appended notes where the claim stands; the ledger may have read it already.
func (t *Executor) appended(d *callDriver, offset logservice.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.run.offset = offset
	if t.ledger.Next() > offset {
		d.run.push(Settled{State: t.ledger.State(d.request.Claim.Key)})
	}
}
