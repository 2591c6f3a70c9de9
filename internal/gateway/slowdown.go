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
	// slowdownProbeInterval is the minimum interval between slowdown probes of one
	// stage, including those of other instances.
	slowdownProbeInterval = 1500 * time.Millisecond
	// maxSlowdownProbes bounds the probes of one scan, so that instances which detect
	// the same slow path share the probes of its stages.
	maxSlowdownProbes = 3
	// slowPathFactor is the ratio of the measured to the predicted event interval above
	// which one of a path's stages is assumed to be slow.
	slowPathFactor = 2.2
	// minSlowPathStreams is the minimum number of streams with the same first stage needed
	// to measure a path.
	minSlowPathStreams = 3
)

// pathProgress sums up the streams whose paths begin at one stage, since the last
// measurement.
type pathProgress struct {
	slowest  pipeline.Path // of the stream with the fewest events for its prediction
	progress float64       // of that stream, events for one predicted
	streams  int
	events   float64
	expected float64 // events, at the predicted time of a token on each stream's own path
}

// record adds a stream that got some events in a time.
func (p *pathProgress) record(path pipeline.Path, stride int, events int64, elapsed time.Duration) {
	expected := float64(elapsed) / (float64(path.Cost) * float64(stride))
	if progress := float64(events) / expected; p.streams == 0 || progress < p.progress {
		p.slowest, p.progress = path, progress
	}
	p.streams++
	p.events += float64(events)
	p.expected += expected
}

// isSlow reports whether the streams got far fewer events than predicted for their paths.
// Without any event they are not considered slow but stalled, which scan detects.
func (p *pathProgress) isSlow() bool {
	return p.streams >= minSlowPathStreams && p.events > 0 && p.expected > slowPathFactor*p.events
}

// slowPaths returns, for each first stage with slow streams, the path of the slowest. It
// measures at most every slowdownProbeInterval/2 (750 ms) and returns none in between.
func (m *streamMonitor) slowPaths(now time.Time) []pipeline.Path {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.lastMeasured)
	if elapsed < slowdownProbeInterval/2 {
		return nil
	}
	m.lastMeasured = now
	paths := map[deployment.BackendID]*pathProgress{}
	for stream := range m.streams {
		if !stream.hasEvents.Load() || now.Sub(stream.sent) < elapsed {
			continue
		}
		path := stream.path()
		p, ok := paths[path.IDs[0]]
		if !ok {
			p = &pathProgress{}
			paths[path.IDs[0]] = p
		}
		p.record(path, stream.call.service.Engine.Stride, stream.events.Swap(0), elapsed)
	}
	var slow []pipeline.Path
	for _, p := range paths {
		if p.isSlow() {
			slow = append(slow, p.slowest)
		}
	}
	return slow
}

// slowdownsToProbe returns the stages of slow paths and those whose last reported
// slowdown was high, without those that any instance has probed recently.
func (m *streamMonitor) slowdownsToProbe(now time.Time) []deployment.Backend {
	candidates := m.config.Fleet.Slow(now)
	for _, path := range m.slowPaths(now) {
		for i, id := range path.IDs {
			candidates = append(candidates, deployment.Backend{ID: id, Address: path.Hops[i].Address})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []deployment.Backend
	for _, stage := range candidates {
		if len(due) < maxSlowdownProbes && now.Sub(m.slowdownProbed[stage.ID]) >= slowdownProbeInterval {
			m.slowdownProbed[stage.ID] = now
			due = append(due, stage)
		}
	}
	return due
}

// probeSlowdown requests a stage's slowdown factor and passes it to OnSlowdownMeasured.
func (m *streamMonitor) probeSlowdown(ctx context.Context, stage deployment.Backend) {
	report, err := m.config.BackendClient.Report(ctx, stage.Address)
	if err != nil {
		m.config.Logger.Debug("slowdown factor unavailable", zap.String("address", string(stage.Address)), zap.Error(err))
		return
	}
	m.config.Fleet.SetSlowdown(time.Now(), stage.ID, report.Slowdown)
	m.config.OnSlowdownMeasured(stage.ID, report.Slowdown)
	if report.Slowdown >= backend.SlowdownThreshold {
		m.config.Logger.Info("stage slow", zap.String("address", string(stage.Address)), zap.Float64("pace", report.Slowdown))
	}
}

// SetSlowdown records a slowdown factor measured by a peer, which also postpones this
// instance's next probe of the backend server.
func (g *Gateway) SetSlowdown(now time.Time, id deployment.BackendID, factor float64) {
	g.Fleet.SetSlowdown(now, id, factor)
	g.monitor.mu.Lock()
	defer g.monitor.mu.Unlock()
	g.monitor.slowdownProbed[id] = now
}
