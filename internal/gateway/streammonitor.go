package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// watchEvery is the pause between looks at all streams.
	watchEvery = 100 * time.Millisecond
	// silentTime is how long a stream may have no event before its first stage is
	// asked whether it waits for another one.
	silentTime = 350 * time.Millisecond
	// mostDetours is how many paths around a lost stage are tried.
	mostDetours = 3
	// askAgain is the pause between questions to the same first stage.
	askAgain = 300 * time.Millisecond
	// recheckAfter is the pause between questions to a suspected stage.
	recheckAfter = 500 * time.Millisecond
)

// watched is a stream whose events are awaited.
type watched struct {
	call        *call
	interrupt   context.CancelFunc
	sent        time.Time
	last        atomic.Int64 // Unix nanoseconds
	begun       atomic.Bool  // it has had an event
	events      atomic.Int64 // since the last measurement
	interrupted atomic.Bool
	moving      atomic.Bool // to another path

	mu    sync.Mutex
	on    place
	ended bool
}

func (w *watched) place() place {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.on
}

// resumable tells whether the stream may be sent again.
func (w *watched) resumable() bool { return w.call.decision.Route.Resumable }

func (w *watched) path() pipeline.Path { return w.place().path }

// moved changes the path of a stream that goes on along another one. One that has
// ended meanwhile is on neither.
func (w *watched) moved(now time.Time, to place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		to.work.Done(now, backend.Inconclusive)
		return
	}
	w.on.work.Done(now, backend.Inconclusive)
	w.on = to
	w.last.Store(now.UnixNano())
}

// end ends the work of a stream on the path that it is on.
func (w *watched) end(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.on.work.Done(now, backend.Inconclusive)
}

// heard notes an event, and tells whether it was the first one.
func (w *watched) heard(now time.Time) bool {
	w.last.Store(now.UnixNano())
	w.events.Add(1)
	return w.begun.CompareAndSwap(false, true)
}

func (w *watched) silentFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - w.last.Load())
}

// watch looks for streams that wait for a stage that is lost. It asks the first
// stage of silent streams, which knows the stage that it waits for, and ends the
// streams of such stages so that they go on along another path.
type watch struct {
	config Config

	mu      sync.Mutex
	streams map[*watched]bool
	asked   map[deployment.Address]time.Time
	// paced is when a stage was asked for its pace last, here or by a peer.
	paced    map[deployment.BackendID]time.Time
	measured time.Time
}

func newWatch(config Config) *watch {
	return &watch{config: config, streams: map[*watched]bool{}, asked: map[deployment.Address]time.Time{},
		paced: map[deployment.BackendID]time.Time{}}
}

func (w *watch) add(c *call, on place, interrupt context.CancelFunc) *watched {
	now := time.Now()
	stream := &watched{call: c, on: on, interrupt: interrupt, sent: now}
	stream.last.Store(now.UnixNano())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams[stream] = true
	return stream
}

func (w *watch) remove(stream *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.streams, stream)
}

// MonitorStreams looks after the streams until ctx ends.
func (g *Gateway) MonitorStreams(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			silent, ask := g.watch.look(now)
			for _, address := range ask {
				go g.watch.ask(ctx, address)
			}
			for _, stream := range silent {
				go g.watch.move(ctx, stream)
			}
			for _, stage := range g.watch.pacesToAsk(now) {
				go g.watch.askPace(ctx, stage)
			}
			for _, suspect := range g.watch.suspectsToAsk(now) {
				go g.watch.askSuspect(ctx, suspect)
			}
		}
	}
}

// look returns the silent streams on suspected stages, and the first stages of
// other silent ones that should be asked.
func (w *watch) look(now time.Time) (silent []*watched, ask []deployment.Address) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for stream := range w.streams {
		if stream.silentFor(now) < silentTime || stream.interrupted.Load() || stream.moving.Load() {
			continue
		}
		path := stream.path()
		if !stream.begun.Load() {
			w.config.Fleet.RecordFirstEvent(now, path.IDs[0], now.Sub(stream.sent))
		}
		if len(w.config.Fleet.SuspectsOn(path)) > 0 {
			stream.moving.Store(true)
			silent = append(silent, stream)
			continue
		}
		first := path.Hops[0].Address
		if now.Sub(w.asked[first]) >= askAgain {
			w.asked[first] = now
			ask = append(ask, first)
		}
	}
	return silent, ask
}

// move lets a stream go on around its lost stage, with what the other stages hold
// of it. Where that is not possible the stream is ended there and sent again.
func (w *watch) move(ctx context.Context, stream *watched) {
	defer stream.moving.Store(false)
	for range mostDetours {
		to, ok := w.detour(time.Now(), stream)
		if !ok {
			break
		}
		outcome, at, err := w.config.BackendClient.Reroute(ctx, to.path.Hops[0].Address, stream.call.id, to.path.Hops)
		w.config.Logger.Info("request moved", zap.String("request", stream.call.id), zap.Stringer("outcome", outcome),
			zap.String("path", platform.FormatPath(to.path.Hops)), zap.String("full", string(at)), zap.NamedError("cause", err))
		if outcome == platform.RerouteDone {
			stream.moved(time.Now(), to)
			return
		}
		to.work.Done(time.Now(), backend.Inconclusive)
		if outcome != platform.RerouteNoCapacity || at == "" {
			break
		}
		w.config.Fleet.MarkFull(time.Now(), at)
	}
	stream.interrupted.Store(true)
	stream.interrupt()
}

// detour finds a path around the lost stage of a stream and counts it there.
func (w *watch) detour(now time.Time, stream *watched) (place, bool) {
	service := stream.call.service
	path := stream.path()
	lost := w.config.Fleet.SuspectsOn(path)
	if len(lost) != 1 {
		return place{}, false
	}
	stages := w.config.Fleet.Stages(now, service)
	detour, ok := pipeline.Reroute(service.Engine, stages, path, lost[0])
	if !ok || pipeline.Check(service.Engine, detour.Hops) != "" {
		return place{}, false
	}
	if stream.resumable() && pipeline.ZoneCrossings(detour, stages) > 0 {
		// What was read so far would cross the border for all streams at once. Sent
		// again elsewhere, they are read there.
		return place{}, false
	}
	work, ok := w.config.Fleet.Begin(detour)
	return place{path: detour, work: work}, ok
}

// ask asks a first stage which stages its requests wait for.
func (w *watch) ask(ctx context.Context, first deployment.Address) {
	report, err := w.config.BackendClient.Report(ctx, first)
	now := time.Now()
	if err != nil {
		w.suspect(now, first, first, err)
		return
	}
	for _, stalled := range report.Stalled {
		w.suspect(now, stalled.Address, first, errLostStage)
	}
}

func (w *watch) suspect(now time.Time, address, toldBy deployment.Address, cause error) {
	if w.config.Fleet.MarkSuspect(now, address) {
		w.config.Logger.Info("stage suspected", zap.String("address", string(address)),
			zap.String("told-by", string(toldBy)), zap.NamedError("cause", cause))
	}
}

func (w *watch) suspectsToAsk(now time.Time) []deployment.Backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ask []deployment.Backend
	for _, suspect := range w.config.Fleet.Suspects() {
		if now.Sub(w.asked[suspect.Address]) >= recheckAfter {
			w.asked[suspect.Address] = now
			ask = append(ask, suspect)
		}
	}
	return ask
}

// askSuspect ends the suspicion of a stage that answers again, once the requests
// that waited for it have had the time to leave.
func (w *watch) askSuspect(ctx context.Context, suspect deployment.Backend) {
	if _, err := w.config.BackendClient.Report(ctx, suspect.Address); err != nil {
		w.config.Logger.Debug("suspect does not answer", zap.String("address", string(suspect.Address)), zap.Error(err))
		return
	}
	if w.config.Fleet.ClearSuspect(time.Now(), suspect.ID) {
		w.config.Logger.Info("stage sound again", zap.String("address", string(suspect.Address)))
	}
}
