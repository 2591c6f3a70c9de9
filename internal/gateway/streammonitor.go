package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/failuredetector"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

const (
	// monitorInterval is the interval between scans of all streams.
	monitorInterval = 100 * time.Millisecond
	// stallThreshold is the time without an event after which a stream's first stage is
	// probed for stages that its requests wait for.
	stallThreshold = 350 * time.Millisecond
	// stallProbeInterval is the minimum interval between probes of the same first stage.
	stallProbeInterval = 300 * time.Millisecond
	// suspectProbeInterval is the minimum interval between probes of a suspected stage.
	suspectProbeInterval = 500 * time.Millisecond
)

// monitoredStream is the state of a stream attempt that the monitor reads.
type monitoredStream struct {
	call        *call
	interrupt   context.CancelFunc
	sent        time.Time
	begun       bool         // the request's answer has begun in an earlier attempt
	lastEvent   atomic.Int64 // Unix nanoseconds
	hasEvents   atomic.Bool  // at least one event has arrived
	events      atomic.Int64 // since the last slowdown measurement
	interrupted atomic.Bool
	rerouting   atomic.Bool              // a reroute, or the search for another path, is in progress
	seekAgain   atomic.Int64             // not to be rerouted before, Unix nanoseconds
	observed    failuredetector.StreamID // 0 if the stream has no target gap
	wentOn      atomic.Bool              // the last event came after a silence

	mu        sync.Mutex
	current   reservation
	watch     *watchedAttempt // on the current path
	ended     bool
	source    resender           // nil if the stream must not be sent again
	stopSeek  context.CancelFunc // nil while no other path is sought
	successor pathSuccessor      // for which the stream has left its path
}

func (s *monitoredStream) watched() *watchedAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch
}

func (s *monitoredStream) reservation() reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// rewatch replaces the watch over the stream once it goes on along another path.
func (s *monitoredStream) rewatch(now time.Time, ends *endWatch, servers []deployment.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.watch = ends.move(now, s.watch, servers)
	}
}

// resumable reports whether the stream may be sent again after it has run.
func (s *monitoredStream) resumable() bool { return s.call.decision.Route.Resumable }

func (s *monitoredStream) path() pipeline.Path { return s.reservation().path }

// switchTo moves the stream's reservation to the path on which it continues. If the
// stream has ended in the meantime, the new reservation is released.
func (s *monitoredStream) switchTo(now time.Time, to reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		to.inFlight.Done(now, backend.Inconclusive)
		return
	}
	s.current.inFlight.Done(now, backend.Inconclusive)
	s.current = to
	s.lastEvent.Store(now.UnixNano())
	s.cancelSeek()
}

// end releases the stream's current reservation, once.
func (s *monitoredStream) end(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.current.inFlight.Done(now, backend.Inconclusive)
	s.cancelSeek()
}

// recordEvent records an event and reports whether it is the first one.
func (s *monitoredStream) recordEvent(now time.Time) bool {
	s.lastEvent.Store(now.UnixNano())
	s.events.Add(1)
	if s.rerouting.Load() {
		s.endSeek()
	}
	return s.hasEvents.CompareAndSwap(false, true)
}

func (s *monitoredStream) sinceLastEvent(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - s.lastEvent.Load())
}

// streamMonitor detects streams that wait for a failed stage. It fetches the report of the
// first stage of streams without recent events, which names the stages that its requests
// wait for, and marks these as suspected. Streams on suspected stages are rerouted, or
// sent again along another path once one is reserved.
type streamMonitor struct {
	config Config
	ends   *endWatch
	// successor waits for a path in the queue of the stream's service, or for a peer's answer.
	successor func(ctx context.Context, request *pathRequest) (pathSuccessor, error)

	silence *silenceWatch

	mu         sync.Mutex
	prefill    *prefillLoad
	streams    map[*monitoredStream]bool
	lastProbed map[deployment.Address]time.Time
	// slowdownProbed is when a stage's slowdown was last probed, by any instance.
	slowdownProbed map[deployment.BackendID]time.Time
	lastMeasured   time.Time
}

func newStreamMonitor(config Config, ends *endWatch) *streamMonitor {
	return &streamMonitor{config: config, ends: ends, streams: map[*monitoredStream]bool{}, lastProbed: map[deployment.Address]time.Time{},
		slowdownProbed: map[deployment.BackendID]time.Time{}, silence: newSilenceWatch(), prefill: newPrefillLoad(rand.Float64)}
}

// add begins to monitor an attempt. begun is set if the request's answer has begun before.
func (m *streamMonitor) add(c *call, reserved reservation, begun bool, interrupt context.CancelFunc) *monitoredStream {
	now := time.Now()
	stream := &monitoredStream{call: c, current: reserved, interrupt: interrupt, sent: now, begun: begun}
	stream.lastEvent.Store(now.UnixNano())
	servers := reserved.inFlight.Servers()
	stream.watch = m.ends.begin(c, servers, begun, interrupt)
	m.silence.begin(now, stream, servers)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams[stream] = true
	return stream
}

func (m *streamMonitor) remove(stream *monitoredStream) {
	m.silence.end(stream)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.streams, stream)
}

// MonitorStreams detects stalled streams and slow stages until ctx ends.
func (g *Gateway) MonitorStreams(ctx context.Context) {
	go g.monitor.watchSilence(ctx)
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			if g.Links != nil {
				g.Links.Step(now)
			}
			stalled, toProbe := g.monitor.scan(now)
			for _, address := range toProbe {
				go g.monitor.probeFirstStage(ctx, address)
			}
			g.monitor.moveStalled(ctx, now, stalled)
			for _, stage := range g.monitor.slowdownsToProbe(now) {
				go g.monitor.probeSlowdown(ctx, stage)
			}
			for _, suspect := range g.monitor.suspectsToProbe(now) {
				go g.monitor.probeSuspect(ctx, suspect)
			}
		}
	}
}

// scan returns the stalled streams whose paths include a suspected stage, and the first
// stages of the other stalled streams, as far as they are due to be probed.
func (m *streamMonitor) scan(now time.Time) (stalled []stall, toProbe []deployment.Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for stream := range m.streams {
		since := stream.lastEvent.Load()
		if now.Sub(time.Unix(0, since)) < stallThreshold || stream.interrupted.Load() || stream.rerouting.Load() || now.UnixNano() < stream.seekAgain.Load() {
			continue
		}
		path := stream.path()
		if !stream.hasEvents.Load() {
			m.config.Fleet.RecordFirstEvent(now, path.IDs[0], now.Sub(stream.sent))
		}
		if len(m.config.Fleet.SuspectsOn(now, path)) > 0 {
			if stream.rerouting.CompareAndSwap(false, true) {
				stalled = append(stalled, stall{stream: stream, since: since, threshold: stallThreshold})
			}
			continue
		}
		first := path.Hops[0].Address
		if now.Sub(m.lastProbed[first]) >= stallProbeInterval {
			m.lastProbed[first] = now
			toProbe = append(toProbe, first)
		}
	}
	return stalled, toProbe
}

// mayReroute finds out whether the stages that a stream waits for have ended, and reports
// whether the stream may be sent to others: one whose answer has not begun may be to blame.
func (m *streamMonitor) mayReroute(ctx context.Context, stream *monitoredStream) bool {
	suspects := m.config.Fleet.SuspectsOn(time.Now(), stream.path())
	var suspected []suspectedEnd
	servers := stream.watched().servers
	for _, server := range servers {
		if slices.Contains(suspects, server.Address) {
			suspected = append(suspected, suspectedEnd{server: server, others: otherStages(servers, server)})
		}
	}
	if stream.begun || stream.hasEvents.Load() {
		go m.ends.checkEnds(ctx, suspected)
		return true
	}
	if m.ends.checkEnds(ctx, suspected) {
		stream.call.endedServer.Store(true)
	}
	return m.ends.admit(time.Now(), stream.call) == nil
}

// probeFirstStage fetches the report of a first stage and marks the stages that its
// requests wait for as suspected. If the report can't be fetched or decoded, the first
// stage itself is suspected.
func (m *streamMonitor) probeFirstStage(ctx context.Context, first deployment.Address) {
	report, err := m.config.BackendClient.Report(ctx, first)
	now := time.Now()
	if err != nil {
		m.suspectFirst(now, first, err)
		return
	}
	for _, stalled := range report.Stalled {
		m.markSuspect(now, stalled.Address, first, errUnresponsiveStage)
	}
}

// suspectFirst suspects a first stage whose report could not be fetched, or the link to it. The
// others are not told: the connection may have failed, not the stage.
func (m *streamMonitor) suspectFirst(now time.Time, first deployment.Address, cause error) {
	var failed *net.OpError
	var fresh bool
	if errors.As(cause, &failed) && failed.Op == "dial" || errors.Is(cause, backend.ErrCutOff) || errors.Is(cause, backend.ErrLinkDown) {
		fresh = m.config.markUnconnected(now, first)
	} else {
		_, fresh = m.config.Fleet.MarkSuspect(now, first)
	}
	if fresh {
		m.logSuspect(first, first, cause)
	}
}

func (m *streamMonitor) markSuspect(now time.Time, address, reportedBy deployment.Address, cause error) {
	if m.config.markSuspect(now, address) {
		m.logSuspect(address, reportedBy, cause)
	}
}

func (m *streamMonitor) logSuspect(address, reportedBy deployment.Address, cause error) {
	m.config.Logger.Info("stage suspected", zap.String("address", string(address)),
		zap.String("told-by", string(reportedBy)), zap.NamedError("cause", cause))
}

func (m *streamMonitor) suspectsToProbe(now time.Time) []deployment.Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	var toProbe []deployment.Backend
	for _, suspect := range m.config.Fleet.Suspects() {
		if now.Sub(m.lastProbed[suspect.Address]) >= suspectProbeInterval {
			m.lastProbed[suspect.Address] = now
			toProbe = append(toProbe, suspect)
		}
	}
	return toProbe
}

// probeSuspect clears the suspicion of a stage that responds again, once requests that
// waited for it have had time to finish (see backend.Fleet.ClearSuspect).
func (m *streamMonitor) probeSuspect(ctx context.Context, suspect deployment.Backend) {
	if _, err := m.config.BackendClient.Report(ctx, suspect.Address); err != nil {
		m.config.Logger.Debug("suspected stage does not respond", zap.String("address", string(suspect.Address)), zap.Error(err))
		return
	}
	m.config.Fleet.RecordAnswered(time.Now(), suspect.ID)
	if m.config.Fleet.ClearSuspect(time.Now(), suspect.ID) {
		m.config.Logger.Info("stage sound again", zap.String("address", string(suspect.Address)))
	}
}
