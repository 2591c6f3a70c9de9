package gateway

import (
	"errors"
	"fmt"
	"time"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// pathRequest asks the queue for a path for the next attempt of a stream. It is a snapshot of
// the stream, so that a path can be sought while an attempt is in flight.
type pathRequest struct {
	gateway *Gateway
	call    *call
	// ran are the first stages that ran the request or may have run it.
	ran map[deployment.BackendID]bool
	// resumed is set if the client has a part of the response.
	resumed bool
	// fixed is set if only a first stage in ran may be chosen.
	fixed   bool
	arrived bool // a backend server has got the request
	// avoid are the peers to which it must not be relayed.
	avoid map[deployment.InstanceID]bool
	// stream is told of searches that may have run it.
	stream *stream
	// lastEventID is that of the last event which the client has, if hasLastEventID is set.
	lastEventID    int64
	hasLastEventID bool
	attempts       int // of the stream so far
	// needed reports whether a stream in flight still needs another path, nil for one that is
	// not in flight.
	needed func() bool
	// lastEventAt is when the last event, or before the first one the request, arrived.
	lastEventAt time.Time
}

// deadline is the time until which the next attempt must start. A stream in flight is not
// rejected, so that it may wait longer.
func (p *pathRequest) deadline() time.Time {
	if p.needed != nil {
		return p.call.deadline
	}
	return p.lastEventAt.Add(eventTimeout(p.call.decision.Route))
}

// admissionRequest describes the stream to the admission queue.
func (p *pathRequest) admissionRequest() *admission.Request {
	return &admission.Request{
		Resumed: p.resumed, HasPath: p.needed != nil, Rank: p.call.decision.Rank, Team: p.call.decision.Team, Arrived: p.call.started,
		TargetLatency: p.call.decision.Route.TargetLatency, Deadline: p.deadline(), Work: p.call.expectedWork(),
	}
}

// errPathResponds reports that a stream in flight needs no other path.
var errPathResponds = errors.New("the stages of the path respond again")

// ready implements reserver: the error is a *heldBackError if the stream is held back, and
// errPathResponds if it needs no other path, errCutOff if the servers can't be reached from
// here. Once a backend server has got the request, another attempt needs the retry budget.
func (p *pathRequest) ready(now time.Time) error {
	if p.needed != nil && !p.needed() {
		return errPathResponds
	}
	if err := p.gateway.ends.admit(now, p.call); err != nil {
		return err
	}
	if p.gateway.unreachable(now, p.call) {
		return errCutOff
	}
	if !p.arrived || p.gateway.budget(p.call.service.Name).CanTake(now, p.resumed) {
		return nil
	}
	return errBudgetSpent
}

// reserve implements reserver: it chooses a path and counts the stream on its stages.
func (p *pathRequest) reserve(now time.Time) (reservation, error) {
	path, order, err := p.findPath(now)
	if err != nil {
		return reservation{}, err
	}
	retry := p.arrived
	budget := p.gateway.budget(p.call.service.Name)
	if retry && !budget.Take(now, p.resumed) {
		return reservation{}, errBudgetSpent
	}
	inFlight, ok := p.gateway.Fleet.Begin(now, path)
	if !ok {
		if retry {
			budget.GiveBack()
		}
		return reservation{}, errNoPath
	}
	crossing := p.gateway.shares.record(now, p.call, order, inFlight.Backend.Zone)
	reserved := reservation{path: path, inFlight: inFlight, crossing: crossing}
	if retry {
		reserved.budget = budget
	}
	return reserved, nil
}

// findPath chooses a path, and returns the order of zones in which it was sought, nil for none. Once
// the number of first stages that may have run the request reaches the route's MaxAttempts, only
// these are allowed as first stage, in whichever zone.
func (p *pathRequest) findPath(now time.Time) (pipeline.Path, []deployment.Zone, error) {
	service := p.call.service
	stages := p.gateway.Fleet.StagesWithFull(now, service)
	p.skipChecked(stages)
	var order []deployment.Zone
	if p.restricted() {
		stages = p.allowedStages(stages)
	} else {
		order = p.gateway.shares.order(now, service, p.call.decision.Rank, stages)
	}
	path, ok := pipeline.Find(service.Engine, stages, p.gateway.Settings.Zone, order...)
	if !ok {
		return path, order, &noPathError{missing: pipeline.MissingLayers(service.Engine, stages), stages: len(stages), ran: len(p.ran)}
	}
	violation := pipeline.Check(service.Engine, path.Hops)
	return path, order, invariant.Check(violation == "", invariant.LayerOrder, "%s", violation)
}

// capacity implements reserver.
func (p *pathRequest) capacity(now time.Time) admission.Capacity {
	free, inFlight := p.gateway.Fleet.FreeCapacity(now, p.call.service)
	return admission.Capacity{Free: free, InFlight: inFlight}
}

// restricted implements reserver: it reports whether the stream must begin at a first stage
// that may have run it.
func (p *pathRequest) restricted() bool {
	return p.fixed || len(p.ran) >= p.call.decision.Route.MaxAttempts
}

func (p *pathRequest) allowedStages(stages []pipeline.Stage) []pipeline.Stage {
	var allowed []pipeline.Stage
	for _, stage := range stages {
		if stage.Layers.First > 0 || p.ran[stage.ID] {
			allowed = append(allowed, stage)
		}
	}
	return allowed
}

// skipChecked keeps first stages from being tried again that broke off in the middle of a stream,
// until it is known whether they have ended: of a stream with a target gap each attempt counts.
func (p *pathRequest) skipChecked(stages []pipeline.Stage) {
	if route := p.call.decision.Route; route == nil || route.TargetEventGap <= 0 {
		return
	}
	checked := p.gateway.ends.underCheck()
	for i := range stages {
		if checked[stages[i].ID] {
			stages[i].Unreachable = true
		}
	}
}

// noPathError reports the layers that no usable stage holds.
type noPathError struct {
	missing []deployment.LayerRange
	stages  int
	ran     int // first stages that may have run the request
}

func (e *noPathError) Error() string {
	return fmt.Sprintf("no path: layers %v are held by none of %d usable stages; %d first stages may have run the request", e.missing, e.stages, e.ran)
}
