package engine

import (
	"context"
	"maps"
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
)

const (
	// isolationTimeout is how long a suspect waits for a path of runners on which
	// CanStart allows it. After that, it is given any path.
	isolationTimeout       = 600 * time.Millisecond
	isolationRetryInterval = 20 * time.Millisecond
)

// driver executes the actions of one session in the goroutine that calls Generate.
type driver struct {
	pool    *Pool
	active  *activeSession
	request Request
	emit    func(hashmodel.Token) error
	// prefixes holds the hashes of the prompt's complete blocks.
	prefixes []uint64
	emitted  int
	// awaitsProgress is true from the moment that a suspect request is assigned a path
	// until it emits its next token.
	awaitsProgress bool
	result         error
	done           bool
}

func (d *driver) run(ctx context.Context) error {
	session := d.active.session
	d.execute(ctx, session.Start())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.done {
		timer.Reset(d.timeUntilDue())
		var event Event
		select {
		case event = <-d.active.events:
		case <-timer.C:
			event = Tick{}
		case <-ctx.Done():
			d.result = ctx.Err()
			event = Canceled{}
		}
		if lost, ok := event.(StreamLost); ok {
			d.checkCrash(ctx, lost.Runner)
		}
		d.execute(ctx, session.Handle(time.Now(), event))
		d.done = d.done || session.Ended()
	}
	return d.result
}

func (d *driver) timeUntilDue() time.Duration {
	due := d.active.session.Due()
	if due.IsZero() {
		return time.Hour
	}
	return max(time.Until(due), time.Millisecond)
}

// execute executes actions and those that follow from their results.
func (d *driver) execute(ctx context.Context, actions []Action) {
	session := d.active.session
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		if event := d.do(ctx, action); event != nil {
			actions = append(actions, session.Handle(time.Now(), event)...)
		}
	}
}

// do executes one action and returns the resulting event, or nil.
func (d *driver) do(ctx context.Context, action Action) Event {
	switch a := action.(type) {
	case ChoosePath:
		return d.choosePath(ctx, a)
	case SendStep:
		return d.send(ctx, a)
	case CloseSession:
		d.closeSession(a)
	case Emit:
		if err := d.emit(a.Token); err != nil {
			d.result = err
			return Canceled{}
		}
		d.emitted++
		if d.awaitsProgress {
			d.awaitsProgress = false
			d.pool.mu.Lock()
			d.pool.crashTracker.RecordProgress(d.request.Fingerprint)
			d.pool.mu.Unlock()
		}
	case ReportRunnerFailure:
		d.pool.WithFleet(func(f *Fleet) { f.RecordFailure(time.Now(), a.Runner) })
	case DropReply:
		d.pool.mu.Lock()
		d.pool.counts.Dropped++
		d.pool.mu.Unlock()
	case RecordStepTime:
		d.pool.mu.Lock()
		d.pool.fleet.RecordStepTime(time.Now(), a.Runner, a.Elapsed)
		d.pool.retryBudget.RecordSuccess()
		d.pool.mu.Unlock()
	case ProposeReroute:
		return RerouteDecided{Allowed: d.allowReroute(a)}
	case ProposeRetry:
		d.pool.mu.Lock()
		defer d.pool.mu.Unlock()
		return RetryDecided{Allowed: d.pool.retryBudget.Take()}
	case Finish:
		d.pool.mu.Lock()
		d.pool.crashTracker.Forget(d.request.Fingerprint)
		d.pool.mu.Unlock()
		d.done = true
	case Fail:
		d.result = &GenerationError{Reason: a.Reason, Emitted: d.emitted}
		d.done = true
	}
	return nil
}

func (d *driver) choosePath(ctx context.Context, a ChoosePath) Event {
	deadline := time.Now().Add(isolationTimeout)
	for {
		now := time.Now()
		event, retry := d.tryChoosePath(now, a, now.Before(deadline))
		if !retry || ctx.Err() != nil {
			return event
		}
		time.Sleep(isolationRetryInterval)
	}
}

// tryChoosePath chooses a path. If isolate is set, a suspect is given a path only
// of runners where CanStart allows it; retry reports that there is none at present.
func (d *driver) tryChoosePath(now time.Time, a ChoosePath, isolate bool) (event Event, retry bool) {
	p := d.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unassignPath(d.active)
	request := d.request.Fingerprint
	if p.crashTracker.IsQuarantined(now, request) {
		return Quarantined{}, false
	}
	query := PathQuery{
		Model: d.request.Model, Version: d.request.Version, Layers: d.request.Layers,
		Positions: a.Positions, Exclude: a.Exclude, Prefixes: d.prefixes,
	}
	suspect := p.crashTracker.IsSuspect(request)
	if suspect && isolate {
		query.Exclude = maps.Clone(a.Exclude)
		for _, r := range p.fleet.Runners() {
			query.Exclude[r.ID] = query.Exclude[r.ID] || !p.crashTracker.CanStart(request, r.ID)
		}
	}
	path, err := p.fleet.ChoosePath(now, query)
	if err != nil {
		return NoPath{}, suspect && isolate
	}
	if suspect && isolate && !p.fleet.InZone(path) {
		// Isolation must not move load to another zone: if the own zone has a
		// path shared with other suspects, wait instead.
		query.Exclude = a.Exclude
		if shared, err := p.fleet.ChoosePath(now, query); err == nil && p.fleet.InZone(shared) {
			return NoPath{}, true
		}
	}
	p.counts.Paths++
	d.active.path = path
	p.fleet.Assign(path)
	if suspect {
		d.awaitsProgress = true
		p.crashTracker.Acquire(request, path)
	}
	for _, hop := range path {
		p.fleet.RecordPrefill(now, hop.Runner, d.prefixes)
	}
	return PathChosen{Path: path}, false
}

// allowReroute reports whether the path without a slow runner is predicted to take
// less than half the time of the last step on that runner alone, and the retry
// budget allows the reroute.
func (d *driver) allowReroute(a ProposeReroute) bool {
	p := d.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	path, err := p.fleet.CheapestPath(time.Now(), PathQuery{
		Model: d.request.Model, Version: d.request.Version, Layers: d.request.Layers,
		Positions: 1, Exclude: a.Exclude,
	})
	if err != nil {
		return false
	}
	total := time.Duration(0)
	for _, hop := range path {
		total += hop.PredictedTime
	}
	return total < a.Elapsed/2 && p.retryBudget.Take()
}

func (d *driver) send(ctx context.Context, a SendStep) Event {
	d.recordStep(a.Hop.Runner)
	stream, err := d.pool.stream(ctx, a.Hop)
	if err != nil {
		return RunnerUnreachable{Runner: a.Hop.Runner}
	}
	d.pool.mu.Lock()
	d.active.stream = stream
	d.pool.mu.Unlock()
	if stream.Send(a.Step) {
		return nil
	}
	return d.sendFailed(a, stream)
}

// sendFailed returns StreamLost for a step that the stream did not accept, or nil
// if HandleStreamLost has already reported it.
func (d *driver) sendFailed(a SendStep, stream *runner.Stream) Event {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	if d.active.stream != stream {
		return nil
	}
	d.active.stream = nil
	return StreamLost{Runner: a.Hop.Runner}
}

// recordStep records the runner that the session's next step is sent to.
func (d *driver) recordStep(id runner.ID) {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	d.active.currentRunner = id
	d.pool.counts.Steps++
}

func (d *driver) closeSession(a CloseSession) {
	d.pool.mu.Lock()
	stream := d.pool.streams[a.Hop.Runner]
	d.pool.mu.Unlock()
	if stream != nil {
		stream.CloseSession(a.Close)
	}
}
