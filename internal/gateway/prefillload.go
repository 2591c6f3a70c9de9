package gateway

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

const (
	// prefillShare is the assumed ratio of the prefill of a token to the step of one, on an
	// accelerator with read and step factors of 1. With it a typical prompt has its first event
	// after some 100 ms. Only its ratio to the time of a token matters for the choice of stages.
	prefillShare = 1.0 / 32
	// prefillMemory is how long a stage to which nothing was assigned any more is remembered.
	prefillMemory = time.Second
)

// prefillLoad predicts when stages to which streams are moved can begin their prefill. Instances
// that lose the same stage choose at once and do not know of one another's choices. Each therefore
// counts its own as if all did the same, and begins at a random offset. It is not safe for
// concurrent use.
type prefillLoad struct {
	random    func() float64 // from 0 to 1
	busyUntil map[deployment.Address]time.Time
}

func newPrefillLoad(random func() float64) *prefillLoad {
	return &prefillLoad{random: random, busyUntil: map[deployment.Address]time.Time{}}
}

// prefillPerLayer returns the time of the prefill of some tokens on one layer of a stage, in
// nanoseconds.
func prefillPerLayer(engine *deployment.Engine, stage *pipeline.Stage, tokens float64) float64 {
	factor := stage.Accelerator.ReadFactor
	if factor <= 0 {
		factor = stage.Accelerator.StepFactor
	}
	return float64(engine.StepTime) * prefillShare * factor * max(1, stage.Slowdown) * tokens / float64(max(1, engine.Layers))
}

// predict sets Wait and PrefillPerLayer of stages for a stream with some tokens. scale is the
// number of all requests on the lost stage for each one of this instance.
func (l *prefillLoad) predict(now time.Time, engine *deployment.Engine, stages []pipeline.Stage, tokens, scale float64) {
	for i := range stages {
		stage := &stages[i]
		stage.PrefillPerLayer = prefillPerLayer(engine, stage, tokens)
		busy, ok := l.busyUntil[stage.Address]
		if !ok || now.Sub(busy) > prefillMemory {
			others := (scale - 1) * stage.PrefillPerLayer * float64(stage.Layers.Len())
			busy = now.Add(time.Duration(l.random() * others))
			l.busyUntil[stage.Address] = busy
		}
		stage.Wait = max(0, busy.Sub(now))
	}
}

// assign counts a stream on the stages of a path that were not on its path before.
func (l *prefillLoad) assign(now time.Time, stages []pipeline.Stage, from, to pipeline.Path, scale float64) {
	for _, hop := range to.Hops {
		if from.Contains(hop.Address) {
			continue
		}
		for i := range stages {
			if stages[i].Address != hop.Address {
				continue
			}
			prefill := time.Duration(scale * stages[i].PrefillPerLayer * float64(hop.Layers.Len()))
			l.busyUntil[hop.Address] = now.Add(stages[i].Wait + prefill)
		}
	}
}

// forget drops the stages to which nothing was assigned for a while.
func (l *prefillLoad) forget(now time.Time) {
	for address, busy := range l.busyUntil {
		if now.Sub(busy) > prefillMemory {
			delete(l.busyUntil, address)
		}
	}
}
