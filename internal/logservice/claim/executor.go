package claim

import (
	"context"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

const (
	claimTimeout = 2 * time.Second
	tickInterval = 50 * time.Millisecond
	// pendingClaimTimeout is how long after Request.Timeout a call waits to
	// release a claim whose append has an unknown result. A claim that is
	// appended later keeps the key owned until the key expires.
	pendingClaimTimeout    = 2 * time.Minute
	eventQueueSize         = 16
	expiryInterval         = time.Minute
	heartbeatRetryInterval = 30 * time.Second
)

// DispatchResult is the result of one dispatch: NotSent, ResponseLost or
// ResponseReceived.
type DispatchResult interface {
	isDispatchResult()
}

func (NotSent) isDispatchResult()          {}
func (ResponseLost) isDispatchResult()     {}
func (ResponseReceived) isDispatchResult() {}

// Dispatcher sends a call to a backend server. Each call of Dispatch picks a
// backend server that it has not tried before, if there is one.
type Dispatcher interface {
	Dispatch(ctx context.Context) DispatchResult
}

// Journal records the entries of calls. *Batcher and *LocalJournal implement it.
type Journal interface {
	EnqueueClaim(c Claim, done func(AppendResult))
	Enqueue(entry Entry) bool
}

// Request describes a call to run at most once.
type Request struct {
	Claim                   Claim
	SupportsIdempotencyKeys bool
	// Timeout bounds the wait for another owner of the key and the retries after
	// a lost response.
	Timeout    time.Duration
	Dispatcher Dispatcher
}

// Executor maintains a KeyTable from the stream and runs calls against it.
type Executor struct {
	journal Journal
	refresh func(ctx context.Context) error

	mu            sync.Mutex
	table         *KeyTable
	lastExpiry    time.Time
	lastHeartbeat time.Time
	subscriptions map[Key]map[*subscription]struct{}
}

// subscription receives the events of one call in flight.
type subscription struct {
	events chan Event
	// offset is the offset of the record that holds the claim, -1 while unknown.
	offset logservice.Offset
}

// NewExecutor returns an executor that appends through journal. refresh must
// read the stream to its end once and pass the records to HandleRecords.
func NewExecutor(journal Journal, refresh func(ctx context.Context, e *Executor) error) *Executor {
	e := &Executor{journal: journal, table: NewKeyTable(), subscriptions: map[Key]map[*subscription]struct{}{}}
	e.refresh = func(ctx context.Context) error { return refresh(ctx, e) }
	return e
}

// Next implements logservice.Consumer.
func (e *Executor) Next() logservice.Offset {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Next()
}

// HandleRecords implements logservice.Consumer.
func (e *Executor) HandleRecords(now time.Time, page logservice.Page) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, record := range page.Records {
		e.apply(record)
	}
	if now.Sub(e.lastExpiry) >= expiryInterval {
		e.lastExpiry = now
		e.table.Expire(now)
	}
	if len(page.Records) == 0 && now.Sub(e.lastHeartbeat) >= heartbeatRetryInterval && e.table.HeartbeatDue(now) {
		e.lastHeartbeat = now
		e.journal.Enqueue(Heartbeat{})
	}
}

// HandleTrim implements logservice.Consumer.
func (e *Executor) HandleTrim(_ time.Time, first logservice.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.HandleTrim(first)
}

// HandleReadError implements logservice.Consumer.
func (e *Executor) HandleReadError(time.Time, error) {}

// Len returns the number of keys in the table.
func (e *Executor) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Len()
}

// State returns the state of a key as of the last record read.
func (e *Executor) State(key Key) KeyState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.State(key)
}

// RefreshState reads the stream to its end and returns the state of a key. If
// the read fails, the state is that of the last record read.
func (e *Executor) RefreshState(ctx context.Context, key Key) KeyState {
	_ = e.refresh(ctx)
	return e.State(key)
}

// apply applies a record and notifies the calls whose keys or claims it concerns.
func (e *Executor) apply(record logservice.Record) {
	changed, err := e.table.Apply(record)
	if err != nil {
		return
	}
	for _, key := range changed {
		for s := range e.subscriptions[key] {
			s.push(StateUpdate{State: e.table.State(key)})
		}
	}
	for key, subscriptions := range e.subscriptions {
		for s := range subscriptions {
			if s.offset == record.Offset {
				s.push(Applied{State: e.table.State(key)})
			}
		}
	}
}

// push drops the event if the queue is full, so that it never blocks the reader
// of the log. At its next tick the call reads the table, which replaces a dropped
// StateUpdate or Applied.
func (s *subscription) push(event Event) {
	select {
	case s.events <- event:
	default:
	}
}

// Run runs a call at most once and returns the reply for its caller. The call
// runs to its end even if ctx is canceled.
func (e *Executor) Run(ctx context.Context, request Request) Reply {
	replies := make(chan Reply, 1)
	request.Claim.ReadOffset = e.Next()
	d := &callDriver{
		executor: e, request: request, started: time.Now(),
		subscription: &subscription{events: make(chan Event, eventQueueSize), offset: -1},
		replies:      replies,
	}
	d.call = NewCall(CallConfig{
		Claim: request.Claim, SupportsIdempotencyKeys: request.SupportsIdempotencyKeys,
		ClaimDeadline: d.started.Add(claimTimeout), ReplyDeadline: d.started.Add(request.Timeout),
		Expires: request.Claim.Key.Expires(),
	})
	go d.run(context.WithoutCancel(ctx))
	return <-replies
}

func (e *Executor) subscribe(key Key, s *subscription) KeyState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.subscriptions[key] == nil {
		e.subscriptions[key] = map[*subscription]struct{}{}
	}
	e.subscriptions[key][s] = struct{}{}
	return e.table.State(key)
}

func (e *Executor) unsubscribe(key Key, s *subscription) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.subscriptions[key], s)
	if len(e.subscriptions[key]) == 0 {
		delete(e.subscriptions, key)
	}
}

// callDriver executes the actions of one Call and passes the resulting events to
// it.
type callDriver struct {
	executor     *Executor
	request      Request
	call         *Call
	subscription *subscription
	started      time.Time
	replies      chan Reply
}

func (d *callDriver) run(ctx context.Context) {
	key := d.request.Claim.Key
	state := d.executor.subscribe(key, d.subscription)
	defer d.executor.unsubscribe(key, d.subscription)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.execute(ctx, d.call.Handle(time.Now(), StateUpdate{State: state}))
	for !d.call.Ended() {
		var event Event
		select {
		case event = <-d.subscription.events:
		case now := <-ticker.C:
			if now.Sub(d.started) > pendingClaimTimeout+d.request.Timeout {
				return
			}
			event = d.refreshState()
		}
		d.execute(ctx, d.call.Handle(time.Now(), event))
	}
}

// refreshState queues the current state of the key, which replaces a dropped
// StateUpdate or Applied, and returns a Tick. A dropped Refused is lost: a call
// that is waiting for its claim then replies at its claim deadline.
func (d *callDriver) refreshState() Event {
	e := d.executor
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.table.State(d.request.Claim.Key)
	if d.subscription.offset >= 0 && e.table.Next() > d.subscription.offset {
		d.subscription.push(Applied{State: state})
	} else {
		d.subscription.push(StateUpdate{State: state})
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
		d.executor.journal.Enqueue(entry)
		return
	}
	d.executor.journal.EnqueueClaim(claim, d.handleAppendResult)
}

func (d *callDriver) handleAppendResult(result AppendResult) {
	switch r := result.(type) {
	case Appended:
		d.executor.setClaimOffset(d, r.Offset)
	case AppendRefused:
		d.subscription.push(Refused(r))
	case AppendUncertain:
	}
}

// setClaimOffset records the offset of a claim. The table may already have
// applied that record.
func (e *Executor) setClaimOffset(d *callDriver, offset logservice.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d.subscription.offset = offset
	if e.table.Next() > offset {
		d.subscription.push(Applied{State: e.table.State(d.request.Claim.Key)})
	}
}
