package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/failuredetector"
)

const (
	// silenceProbeTimeout bounds the connection of a probe. The detector decides earlier.
	silenceProbeTimeout = 180 * time.Millisecond
	// idleWatch is the interval of the watch while no streams have a target gap.
	idleWatch = time.Second
)

var (
	errProbeUnanswered = errors.New("no answer to a probe, while others were answered")
	errPeerSuspects    = errors.New("a peer suspects the stage, and own streams through it are silent")
)

// silenceWatch runs a failuredetector.Detector over the streams with a target gap. It is safe for
// concurrent use.
type silenceWatch struct {
	mu       sync.Mutex
	detector *failuredetector.Detector
	streams  map[failuredetector.StreamID]*monitoredStream
	wakeUp   chan struct{} // capacity 1
}

func newSilenceWatch() *silenceWatch {
	return &silenceWatch{
		detector: failuredetector.New(time.Now()), streams: map[failuredetector.StreamID]*monitoredStream{}, wakeUp: make(chan struct{}, 1),
	}
}

// wake makes the next step follow at once.
func (w *silenceWatch) wake() {
	select {
	case w.wakeUp <- struct{}{}:
	default: // it follows already
	}
}

func stagesOf(servers []deployment.Backend) []failuredetector.Stage {
	stages := make([]failuredetector.Stage, 0, len(servers))
	for _, server := range servers {
		stages = append(stages, failuredetector.Stage{Address: server.Address, Zone: server.Zone})
	}
	return stages
}

// begin observes a stream if it has a target gap.
func (w *silenceWatch) begin(now time.Time, stream *monitoredStream, servers []deployment.Backend) {
	route := stream.call.decision.Route
	if route == nil || route.TargetEventGap <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	stream.observed = w.detector.Begin(now, route.TargetEventGap, stagesOf(servers))
	w.streams[stream.observed] = stream
	if len(w.streams) == 1 {
		w.wake()
	}
}

// event records an event, and reports whether the stream was silent before.
func (w *silenceWatch) event(now time.Time, stream *monitoredStream) (wasSilent bool) {
	if stream.observed == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _, wasSilent = w.detector.Silence(now, stream.observed)
	w.detector.Event(now, stream.observed)
	return wasSilent
}

func (w *silenceWatch) move(now time.Time, stream *monitoredStream, servers []deployment.Backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.Move(now, stream.observed, stagesOf(servers))
}

func (w *silenceWatch) end(stream *monitoredStream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.End(stream.observed)
	delete(w.streams, stream.observed)
}

// overdue returns the streams that have begun to be answered and have had no event for longer than
// their typical interval explains, or since they were moved for as long as their target gap allows.
func (w *silenceWatch) overdue(now time.Time) []stall {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []stall
	for id, stream := range w.streams {
		since, threshold, _ := w.detector.Silence(now, id)
		if since >= threshold && (stream.begun || stream.hasEvents.Load()) {
			list = append(list, stall{stream: stream, since: stream.lastEvent.Load(), threshold: threshold})
		}
	}
	return list
}

// step advances the detector. ok is false while there is nothing to observe.
func (w *silenceWatch) step(now time.Time) (step failuredetector.Step, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.streams) == 0 {
		return failuredetector.Step{}, false
	}
	return w.detector.Step(now), true
}

// reported passes the report of a peer about a stage on. The stage is probed at once.
func (w *silenceWatch) reported(now time.Time, address deployment.Address) {
	w.mu.Lock()
	used := w.detector.Reported(now, address)
	w.mu.Unlock()
	if used {
		w.wake()
	}
}

// RecordPeerSuspicion records that a peer suspects a backend server. If streams of this instance
// pass through it, the report of one peer suffices once these are silent and it does not answer.
func (g *Gateway) RecordPeerSuspicion(now time.Time, id deployment.BackendID) {
	if address, ok := g.Fleet.AddressOf(id); ok {
		g.monitor.silence.reported(now, address)
	}
}

// watchSilence probes the stages of silent streams, and moves the streams off those that don't
// respond, until ctx ends.
func (m *streamMonitor) watchSilence(ctx context.Context) {
	timer := time.NewTimer(idleWatch)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.silence.wakeUp:
		case <-timer.C:
		}
		timer.Reset(m.stepSilence(ctx, time.Now()))
	}
}

// stepSilence returns the time until the next step.
func (m *streamMonitor) stepSilence(ctx context.Context, now time.Time) time.Duration {
	step, ok := m.silence.step(now)
	if !ok {
		return idleWatch
	}
	for _, suspicion := range step.Suspected {
		m.recordSuspicion(now, suspicion)
	}
	for _, round := range step.Rounds {
		m.logRound(now, round)
	}
	for _, address := range step.Probes {
		go m.probeSilent(ctx, address)
	}
	m.moveStalled(ctx, now, m.stalledOf(now, m.silence.overdue(now)))
	return step.Next
}

// recordSuspicion keeps a stage out of paths. Only what this instance has found by itself is told
// to the others, so that a false report can't be multiplied.
func (m *streamMonitor) recordSuspicion(now time.Time, suspicion failuredetector.Suspicion) {
	cause, by := errProbeUnanswered, "probe"
	fresh := false
	if suspicion.Reported {
		cause, by = errPeerSuspects, "peer"
		_, fresh = m.config.Fleet.MarkSuspect(now, suspicion.Address)
	} else {
		fresh = m.config.markSuspect(now, suspicion.Address)
	}
	if fresh {
		m.config.Logger.Info("stage suspected", zap.String("address", string(suspicion.Address)), zap.String("told-by", by),
			zap.Duration("waited-ms", suspicion.Waited), zap.NamedError("cause", cause))
	}
}

// logRound logs a round of probes, with the streams whose silence it is for.
func (m *streamMonitor) logRound(now time.Time, round failuredetector.Round) {
	m.silence.mu.Lock()
	since, threshold, _ := m.silence.detector.Silence(now, round.Streams[0])
	stream := m.silence.streams[round.Streams[0]]
	m.silence.mu.Unlock()
	if stream == nil {
		return
	}
	m.config.Logger.Info("stages of silent streams probed", zap.String("address", string(stream.path().Hops[0].Address)), zap.String("stream", stream.call.id),
		zap.Int("streams", len(round.Streams)), zap.Int("stages", round.Stages), zap.Duration("since-event-ms", since), zap.Duration("threshold-ms", threshold))
}

// probeSilent opens a connection to a stage and sends nothing. Where it is refused, it is found
// out whether the server's process has ended.
func (m *streamMonitor) probeSilent(ctx context.Context, address deployment.Address) {
	dialing, cancel := context.WithTimeout(ctx, silenceProbeTimeout)
	defer cancel()
	connection, err := m.ends.transport.Connect(dialing, address)
	now := time.Now()
	w := m.silence
	if err == nil {
		connection.Close()
		w.mu.Lock()
		w.detector.Answered(now, address)
		w.mu.Unlock()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.Lock()
	w.detector.Refused(now, address)
	w.mu.Unlock()
	if server, ok := m.config.Fleet.ServerAt(address); ok && m.ends.checkEnd(ctx, suspectedEnd{server: server}) {
		w.wake()
	}
}
