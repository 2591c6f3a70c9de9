package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// maxReroutes bounds the alternative paths tried for a stream with a failed stage.
	maxReroutes = 3
	// observedSeekInterval is the minimum interval between searches for another path for a stream
	// with a target gap: its client does not wait for seekInterval.
	observedSeekInterval = 50 * time.Millisecond
)

// stall is a stream that waits for a suspected stage.
type stall struct {
	stream    *monitoredStream
	since     int64         // time of its last event, Unix nanoseconds
	threshold time.Duration // without an event
	reserved  *reservation  // path around the suspected stages, nil if there is none yet
}

// stalledOf returns those of some streams without recent events that have a suspected stage on
// their paths and no reroute or search under way, and records that one begins.
func (m *streamMonitor) stalledOf(now time.Time, silent []stall) []stall {
	var stalled []stall
	for _, s := range silent {
		stream := s.stream
		if stream.interrupted.Load() || stream.rerouting.Load() || now.UnixNano() < stream.seekAgain.Load() {
			continue
		}
		if len(m.config.Fleet.SuspectsOn(now, stream.path())) > 0 && stream.rerouting.CompareAndSwap(false, true) {
			stalled = append(stalled, s)
		}
	}
	return stalled
}

// moveStalled moves stalled streams: by priority, then by the least remaining work. Their paths
// are reserved in this order, before any order is sent.
func (m *streamMonitor) moveStalled(ctx context.Context, now time.Time, stalled []stall) {
	slices.SortStableFunc(stalled, func(a, b stall) int {
		return cmp.Or(a.stream.call.decision.Rank.Compare(b.stream.call.decision.Rank),
			cmp.Compare(a.stream.call.remainingWork(), b.stream.call.remainingWork()))
	})
	for _, s := range stalled {
		if s.stream.observed != 0 && (s.stream.begun || s.stream.hasEvents.Load()) {
			if to, ok := m.findReroute(now, s.stream, nil); ok {
				s.reserved = &to
			}
		}
		m.logStalled(now, s)
		go m.reroute(ctx, s)
	}
}

func (m *streamMonitor) logStalled(now time.Time, s stall) {
	path := s.stream.path()
	call := s.stream.call
	call.recordStall(time.Unix(0, s.since), "stayed")
	m.config.Logger.Info("stream stalled", zap.String("request", call.id), zap.String("address", string(path.Hops[0].Address)),
		zap.Any("suspected", m.config.Fleet.SuspectsOn(now, path)), zap.Duration("since-event-ms", now.Sub(time.Unix(0, s.since))),
		zap.Duration("threshold-ms", s.threshold), zap.Stringer("rank", call.decision.Rank), zap.Bool("reserved", s.reserved != nil))
}

// remainingWork estimates the work that is left of a request whose stage was lost, in steps of one
// token: its output, and the prefill of what it holds already.
func (c *call) remainingWork() float64 {
	if c.service == nil || c.service.Engine == nil {
		return 0
	}
	engine := c.service.Engine
	output := engine.TypicalOutputTokens
	if c.size.ExpectedOutput > 0 {
		output = float64(c.size.ExpectedOutput)
	}
	if c.size.MaxOutputTokens > 0 {
		output = min(output, float64(c.size.MaxOutputTokens))
	}
	return max(0, output-c.outputTokens()) + prefillShare*c.heldTokens()
}

// outputTokens returns the tokens of the events that have arrived.
func (c *call) outputTokens() float64 {
	return float64(c.events.Load()) * float64(max(1, c.service.Engine.Stride))
}

// heldTokens returns the tokens that a stage holds of the request.
func (c *call) heldTokens() float64 {
	prompt := c.service.Engine.TypicalPromptTokens
	if c.size.PromptTokens > 0 {
		prompt = float64(c.size.PromptTokens)
	}
	return prompt + c.outputTokens()
}

// reroute lets a stream continue on a path without its failed stages. The other stages
// keep their state of the request. If that fails, the stream is sent again along another
// path once one is reserved, if that is allowed. Otherwise it stays on its path.
func (m *streamMonitor) reroute(ctx context.Context, stalled stall) {
	stream := stalled.stream
	defer stream.rerouting.Store(false)
	defer func() { stream.seekAgain.Store(time.Now().Add(stream.seekInterval()).UnixNano()) }()
	to := stalled.reserved
	defer func() {
		if to != nil {
			to.inFlight.Done(time.Now(), backend.Inconclusive)
		}
	}()
	var refused []deployment.Address
	for range maxReroutes {
		if !m.mayReroute(ctx, stream) {
			stream.abandon()
			return
		}
		if !m.stalledSince(stream, stalled.since) {
			return
		}
		if to == nil {
			next, ok := m.findReroute(time.Now(), stream, refused)
			if !ok {
				break
			}
			to = &next
		}
		outcome, at := m.orderReroute(ctx, stream, to)
		if outcome == platform.RerouteDone {
			m.completeReroute(stream, *to)
			to = nil
			return
		}
		from := stream.path()
		tried := to.path
		to.inFlight.Done(time.Now(), backend.Inconclusive)
		to = nil
		if !m.mayChooseAgain(stream, outcome, at) {
			break
		}
		refused = append(refused, refusedStages(from, tried, at)...)
	}
	m.seekSuccessor(ctx, stream, stalled.since)
}

// seekInterval returns the minimum interval between searches for another path.
func (s *monitoredStream) seekInterval() time.Duration {
	if s.observed != 0 {
		return observedSeekInterval
	}
	return seekInterval
}

// orderReroute orders the first stage of a stream to continue it along another path.
func (m *streamMonitor) orderReroute(ctx context.Context, stream *monitoredStream, to *reservation) (platform.RerouteOutcome, deployment.Address) {
	began := time.Now()
	last := time.Unix(0, stream.lastEvent.Load())
	outcome, at, err := m.config.BackendClient.Reroute(ctx, to.path.Hops[0].Address, stream.call.id, to.path.Hops)
	now := time.Now()
	m.config.Logger.Info("request moved", zap.String("request", stream.call.id), zap.Stringer("outcome", outcome),
		zap.String("path", platform.FormatPath(to.path.Hops)), zap.String("full", string(at)), zap.Duration("since-event-ms", now.Sub(last)),
		zap.Duration("took-ms", now.Sub(began)), zap.NamedError("cause", err))
	return outcome, at
}

func (m *streamMonitor) completeReroute(stream *monitoredStream, to reservation) {
	now := time.Now()
	stream.call.markMoved("rerouted")
	servers := to.inFlight.Servers()
	stream.rewatch(now, m.ends, servers)
	stream.switchTo(now, to)
	if stream.observed != 0 {
		m.silence.move(now, stream, servers)
	}
}

// mayChooseAgain records why the first stage has refused a reroute, and reports whether another
// choice may follow.
func (m *streamMonitor) mayChooseAgain(stream *monitoredStream, outcome platform.RerouteOutcome, at deployment.Address) bool {
	switch {
	case outcome == platform.RerouteNoCapacity && at != "":
		m.config.markFull(time.Now(), at)
		if server, ok := m.config.Fleet.RejectedOnce(at); ok && stream.observed != 0 {
			go m.ends.checkEnd(context.Background(), suspectedEnd{server: server}) // an ended stage is refused like a full one
		}
		return true
	case outcome == platform.RerouteNoCapacity, outcome == platform.RerouteRejected:
		return stream.observed != 0
	}
	return false
}

// refusedStages returns the stages to leave out after a refusal: the one that it names, or else
// all that the path would have added.
func refusedStages(from, tried pipeline.Path, at deployment.Address) []deployment.Address {
	if at != "" {
		return []deployment.Address{at}
	}
	var added []deployment.Address
	for _, hop := range tried.Hops {
		if !from.Contains(hop.Address) {
			added = append(added, hop.Address)
		}
	}
	return added
}

// lostStages returns the stages of a path to replace: those that are suspected, and those for which a
// reroute was refused although the request is there already. Such a stage is lost: it needs no room.
func lostStages(path pipeline.Path, suspects, refused []deployment.Address) []deployment.Address {
	lost := slices.Clone(suspects)
	for _, address := range refused {
		if path.Contains(address) && !slices.Contains(lost, address) {
			lost = append(lost, address)
		}
	}
	return lost
}

// findReroute finds and reserves a path without the lost stages of a stream and without stages that
// were refused for it.
func (m *streamMonitor) findReroute(now time.Time, stream *monitoredStream, refused []deployment.Address) (reservation, bool) {
	service := stream.call.service
	path := stream.path()
	suspects := m.config.Fleet.SuspectsOn(now, path)
	if len(suspects) != 1 && stream.observed == 0 || len(suspects) == 0 {
		return reservation{}, false
	}
	stages := slices.DeleteFunc(m.config.Fleet.StagesWithFull(now, service), func(stage pipeline.Stage) bool {
		return slices.Contains(refused, stage.Address)
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	scale := m.lossScale(now, suspects[0])
	if stream.observed != 0 {
		m.prefill.forget(now)
		m.prefill.predict(now, service.Engine, stages, stream.call.heldTokens(), scale)
	}
	rerouted, ok := pipeline.Reroute(service.Engine, stages, path, lostStages(path, suspects, refused))
	if !ok || pipeline.Check(service.Engine, rerouted.Hops) != "" {
		return reservation{}, false
	}
	if stream.resumable() && pipeline.ZoneCrossings(rerouted, stages) > 0 {
		// The replacement stage would get the activations of all tokens so far over the
		// inter-zone link, for all affected streams at once. A stream that is retried in
		// another zone is computed there from the request instead.
		return reservation{}, false
	}
	inFlight, ok := m.config.Fleet.Begin(now, rerouted)
	if ok && stream.observed != 0 {
		m.prefill.assign(now, stages, path, rerouted, scale)
	}
	return reservation{path: rerouted, inFlight: inFlight}, ok
}

// lossScale returns the number of requests of all instances on a lost stage for each one of this
// instance.
func (m *streamMonitor) lossScale(now time.Time, lost deployment.Address) float64 {
	own, all := m.config.Fleet.RequestsOn(now, lost)
	if own < 1 {
		return 1
	}
	return max(1, float64(all)/float64(own))
}
