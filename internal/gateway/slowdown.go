package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

const (
	// paceEvery is the pause between questions for the pace of a stage, over all
	// instances.
	paceEvery = 1500 * time.Millisecond
	// pacesAtOnce bounds the stages that are asked at one look, so that instances
	// which see the same slow path share the questions.
	pacesAtOnce = 3
	// slowFactor is how many times longer than predicted the events of a path take
	// when one of its stages should be slow.
	slowFactor = 2.2
	// fewestStreams is the least number of streams that tell something of a path.
	fewestStreams = 3
)

// progress is what the streams on one path have got since the last look.
type progress struct {
	path    pipeline.Path
	stride  int
	streams int
	events  int64
}

// slow tells whether the events of a path take much longer than predicted. A path
// that has had no event is not judged: its streams wait for a stage, which is
// looked for by other means.
func (p *progress) slow(elapsed time.Duration) bool {
	if p.streams < fewestStreams || p.events == 0 {
		return false
	}
	each := float64(elapsed) * float64(p.streams) / float64(p.events)
	predicted := float64(p.path.Cost) * float64(p.stride)
	return each > slowFactor*predicted
}

// slowPaths returns the paths whose streams are slow, by their first stage.
func (w *watch) slowPaths(now time.Time) []pipeline.Path {
	w.mu.Lock()
	defer w.mu.Unlock()
	elapsed := now.Sub(w.measured)
	if elapsed < paceEvery/2 {
		return nil
	}
	w.measured = now
	paths := map[deployment.BackendID]*progress{}
	for stream := range w.streams {
		if !stream.begun.Load() || now.Sub(stream.sent) < elapsed {
			continue
		}
		path := stream.path()
		p, ok := paths[path.IDs[0]]
		if !ok {
			p = &progress{path: path, stride: stream.call.service.Engine.Stride}
			paths[path.IDs[0]] = p
		}
		p.streams++
		p.events += stream.events.Swap(0)
	}
	var slow []pipeline.Path
	for _, p := range paths {
		if p.slow(elapsed) {
			slow = append(slow, p.path)
		}
	}
	return slow
}

// pacesToAsk returns the stages of slow paths, and those that were slow, which
// nobody has asked of late.
func (w *watch) pacesToAsk(now time.Time) []deployment.Backend {
	candidates := w.config.Fleet.Slow(now)
	for _, path := range w.slowPaths(now) {
		for i, id := range path.IDs {
			candidates = append(candidates, deployment.Backend{ID: id, Address: path.Hops[i].Address})
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var ask []deployment.Backend
	for _, stage := range candidates {
		if len(ask) < pacesAtOnce && now.Sub(w.paced[stage.ID]) >= paceEvery {
			w.paced[stage.ID] = now
			ask = append(ask, stage)
		}
	}
	return ask
}

// askPace asks a stage for its pace and tells the peers.
func (w *watch) askPace(ctx context.Context, stage deployment.Backend) {
	report, err := w.config.BackendClient.Report(ctx, stage.Address)
	if err != nil {
		w.config.Logger.Debug("no pace", zap.String("address", string(stage.Address)), zap.Error(err))
		return
	}
	w.config.Fleet.SetSlowdown(time.Now(), stage.ID, report.Slowdown)
	w.config.OnSlowdownMeasured(stage.ID, report.Slowdown)
	if report.Slowdown >= backend.SlowdownThreshold {
		w.config.Logger.Info("stage slow", zap.String("address", string(stage.Address)), zap.Float64("pace", report.Slowdown))
	}
}

// SetSlowdown takes the pace that a peer has asked for.
func (g *Gateway) SetSlowdown(now time.Time, id deployment.BackendID, pace float64) {
	g.Fleet.SetSlowdown(now, id, pace)
	g.watch.mu.Lock()
	defer g.watch.mu.Unlock()
	g.watch.paced[id] = now
}
