package engine

import (
	"context"
	"maps"
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
)

const (
	// A suspect waits up to isolationPatience for runners without others.
	isolationPatience = 600 * time.Millisecond
	isolationRetry    = 20 * time.Millisecond
)

// driver runs one session in the goroutine of its caller.
type driver struct {
	pool    *Pool
	running *running
	request Request
	emit    func(hashmodel.Token) error
	// prefixes holds the hashes of the prompt's blocks.
	prefixes []uint64
	emitted  int
	// suspect is set while the request runs as a suspect and has not made a
	// token since.
	suspect bool
	result  error
	done    bool
}

func (d *driver) run(ctx context.Context) error {
	session := d.running.session
	d.execute(ctx, session.Start())
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !d.done {
		timer.Reset(d.untilDue())
		var event Event
		select {
		case event = <-d.running.events:
		case <-timer.C:
			event = Tick{}
		case <-ctx.Done():
			d.result = ctx.Err()
			event = Cancelled{}
		}
		if lost, ok := event.(StreamLost); ok {
			d.checkCrash(ctx, lost.Runner)
		}
		d.execute(ctx, session.Handle(time.Now(), event))
		d.done = d.done || session.Ended()
	}
	return d.result
}

func (d *driver) untilDue() time.Duration {
	due := d.running.session.Due()
	if due.IsZero() {
		return time.Hour
	}
	return max(time.Until(due), time.Millisecond)
}

// execute carries out actions, and those that follow from them at once.
func (d *driver) execute(ctx context.Context, actions []Action) {
	session := d.running.session
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		if event := d.do(ctx, action); event != nil {
			actions = append(actions, session.Handle(time.Now(), event)...)
		}
	}
}

// do carries out one action and returns the event that it led to, if any.
func (d *driver) do(ctx context.Context, action Action) Event {
	switch a := action.(type) {
	case ChoosePath:
		return d.choose(ctx, a)
	case SendStep:
		return d.send(ctx, a)
	case CloseStage:
		d.closeStage(a)
	case Emit:
		if err := d.emit(a.Token); err != nil {
			d.result = err
			return Cancelled{}
		}
		d.emitted++
		if d.suspect {
			d.suspect = false
			d.pool.mu.Lock()
			d.pool.suspects.RecordProgress(d.request.Fingerprint)
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
		d.pool.repeats.RecordSuccess()
		d.pool.mu.Unlock()
	case ProposeReroute:
		return RerouteDecided{Allowed: d.betterWithout(a)}
	case ProposeRetry:
		d.pool.mu.Lock()
		defer d.pool.mu.Unlock()
		return RetryDecided{Allowed: d.pool.repeats.Take()}
	case Finish:
		d.pool.mu.Lock()
		d.pool.suspects.Forget(d.request.Fingerprint)
		d.pool.mu.Unlock()
		d.done = true
	case Fail:
		d.result = &GenerationError{Reason: a.Reason, Emitted: d.emitted}
		d.done = true
	}
	return nil
}

func (d *driver) choose(ctx context.Context, a ChoosePath) Event {
	patience := time.Now().Add(isolationPatience)
	for {
		now := time.Now()
		event, retry := d.tryChoose(now, a, now.Before(patience))
		if !retry || ctx.Err() != nil {
			return event
		}
		time.Sleep(isolationRetry)
	}
}

// tryChoose chooses a path. With isolate set, a suspect gets one without other
// suspects; retry says that there is none now.
func (d *driver) tryChoose(now time.Time, a ChoosePath, isolate bool) (event Event, retry bool) {
	p := d.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle(d.running)
	request := d.request.Fingerprint
	if p.suspects.IsQuarantined(now, request) {
		return Quarantined{}, false
	}
	query := PathQuery{
		Model: d.request.Model, Version: d.request.Version, Layers: d.request.Layers,
		Positions: a.Positions, Exclude: a.Exclude, Prefixes: d.prefixes,
	}
	suspect := p.suspects.IsSuspect(request)
	if suspect && isolate {
		query.Exclude = maps.Clone(a.Exclude)
		for _, r := range p.fleet.Runners() {
			query.Exclude[r.ID] = query.Exclude[r.ID] || !p.suspects.CanStart(request, r.ID)
		}
	}
	path, err := p.fleet.ChoosePath(now, query)
	if err != nil {
		return NoPath{}, suspect && isolate
	}
	if suspect && isolate && !p.fleet.InZone(path) {
		// Another zone must not pay for the isolation.
		query.Exclude = a.Exclude
		if shared, err := p.fleet.ChoosePath(now, query); err == nil && p.fleet.InZone(shared) {
			return NoPath{}, true
		}
	}
	p.counts.Paths++
	d.running.path = path
	p.fleet.Assign(path)
	if suspect {
		d.suspect = true
		p.suspects.Acquire(request, path)
	}
	for _, hop := range path {
		p.fleet.RecordPrefill(now, hop.Runner, d.prefixes)
	}
	return PathChosen{Path: path}, false
}

// betterWithout reports whether a path without a runner is predicted to take
// less than half of what the slow runner alone takes, and the budget allows the
// move.
func (d *driver) betterWithout(a ProposeReroute) bool {
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
		total += hop.Expected
	}
	return total < a.Elapsed/2 && p.repeats.Take()
}

func (d *driver) send(ctx context.Context, a SendStep) Event {
	d.account(a.Hop.Runner)
	stream, err := d.pool.stream(ctx, a.Hop)
	if err != nil {
		return RunnerUnreachable{Runner: a.Hop.Runner}
	}
	d.pool.mu.Lock()
	d.running.stream = stream
	d.pool.mu.Unlock()
	if stream.Send(a.Step) {
		return nil
	}
	return d.notSent(a, stream)
}

// notSent reports a stream's end once: Lost may have reported it already.
func (d *driver) notSent(a SendStep, stream *runner.Stream) Event {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	if d.running.stream != stream {
		return nil
	}
	d.running.stream = nil
	return StreamLost{Runner: a.Hop.Runner}
}

// account moves the session's outstanding step to a runner.
func (d *driver) account(id runner.ID) {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	d.running.at = id
	d.pool.counts.Steps++
}

func (d *driver) closeStage(a CloseStage) {
	d.pool.mu.Lock()
	stream := d.pool.streams[a.Hop.Runner]
	d.pool.mu.Unlock()
	if stream != nil {
		stream.CloseSession(a.Close)
	}
}
