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
		d.execute(ctx, session.Step(time.Now(), event))
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
			actions = append(actions, session.Step(time.Now(), event)...)
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
			d.pool.suspects.Passed(d.request.Fingerprint)
			d.pool.mu.Unlock()
		}
	case BlameRunner:
		d.pool.Update(func(f *Fleet) { f.Failed(time.Now(), a.Runner) })
	case DropReply:
		d.pool.mu.Lock()
		d.pool.counts.Dropped++
		d.pool.mu.Unlock()
	case ObserveStep:
		d.pool.mu.Lock()
		d.pool.fleet.Observed(time.Now(), a.Runner, a.Took)
		d.pool.repeats.RecordSuccess()
		d.pool.mu.Unlock()
	case ProposeMove:
		return MoveAnswered{Better: d.betterWithout(a)}
	case ProposeRepeat:
		d.pool.mu.Lock()
		defer d.pool.mu.Unlock()
		return RepeatAnswered{Allowed: d.pool.repeats.Take()}
	case Finish:
		d.pool.mu.Lock()
		d.pool.suspects.Cleared(d.request.Fingerprint)
		d.pool.mu.Unlock()
		d.done = true
	case Fail:
		d.result = &FailedError{Reason: a.Reason, Emitted: d.emitted}
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
	if p.suspects.Quarantined(now, request) {
		return Quarantined{}, false
	}
	query := Query{
		Model: d.request.Model, Version: d.request.Version, Layers: d.request.Layers,
		Positions: a.Positions, Avoid: a.Avoid, Prefixes: d.prefixes,
	}
	suspect := p.suspects.Suspect(request)
	if suspect && isolate {
		query.Avoid = maps.Clone(a.Avoid)
		for _, r := range p.fleet.Runners() {
			query.Avoid[r.ID] = query.Avoid[r.ID] || !p.suspects.Free(request, r.ID)
		}
	}
	path, err := p.fleet.Choose(now, query)
	if err != nil {
		return NoPath{}, suspect && isolate
	}
	if suspect && isolate && !p.fleet.Local(path) {
		// Another zone must not pay for the isolation.
		query.Avoid = a.Avoid
		if shared, err := p.fleet.Choose(now, query); err == nil && p.fleet.Local(shared) {
			return NoPath{}, true
		}
	}
	p.counts.Paths++
	d.running.path = path
	p.fleet.Assign(path)
	if suspect {
		d.suspect = true
		p.suspects.Occupy(request, path)
	}
	for _, hop := range path {
		p.fleet.Prefilled(now, hop.Runner, d.prefixes)
	}
	return PathChosen{Path: path}, false
}

// betterWithout reports whether a path without a runner is predicted to take
// less than half of what the slow runner alone takes, and the budget allows the
// move.
func (d *driver) betterWithout(a ProposeMove) bool {
	p := d.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	path, err := p.fleet.Cheapest(time.Now(), Query{
		Model: d.request.Model, Version: d.request.Version, Layers: d.request.Layers,
		Positions: 1, Avoid: a.Avoid,
	})
	if err != nil {
		return false
	}
	total := time.Duration(0)
	for _, hop := range path {
		total += hop.Expected
	}
	return total < a.Took/2 && p.repeats.Take()
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
		stream.Close(a.Close)
	}
}
