package requestsize

import (
	"math"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// maxWork bounds the work of a request, so that a rate of a faulty configuration does not
// become an infinite or absurd amount.
const maxWork Milliseconds = 3_600_000

// Rates are the expected times of a token on the paths of a service.
type Rates struct {
	Prefill time.Duration // of a token of the prompt
	Decode  time.Duration // of a token of the output
}

// RatesOf returns the rates of a service: the means over its stages, weighted by their
// layers, at their present load. Without stages they are those of the configured
// accelerators.
func RatesOf(engine *deployment.Engine, stages []pipeline.Stage) Rates {
	if len(stages) == 0 {
		for _, accelerator := range engine.Accelerators {
			whole := deployment.LayerRange{End: engine.Layers}
			stages = append(stages, pipeline.Stage{Accelerator: accelerator, Layers: whole})
		}
	}
	decode, prefill, layers := 0.0, 0.0, 0
	for _, stage := range stages {
		held := max(0, stage.Layers.Len())
		layers += held
		decode += float64(held) * float64(pipeline.PredictedStepTime(engine, stage, engine.Layers))
		prefill += float64(held) * readFactor(stage.Accelerator) * max(1, stage.Slowdown)
	}
	if layers == 0 {
		return Rates{}
	}
	// A replica needs as many stages as hold the layers of the model together.
	hops := float64(len(stages)) * float64(engine.Layers) / float64(layers)
	rates := Rates{Decode: duration(decode/float64(layers) + hops*float64(pipeline.HopTime))}
	if engine.PrefillRate > 0 {
		rates.Prefill = duration(prefill / float64(layers) / engine.PrefillRate * float64(time.Second))
	}
	return rates
}

// readFactor returns by how much an accelerator multiplies the time of a prompt's token. One
// without a valid factor is taken to read as fast as it steps.
func readFactor(accelerator deployment.Accelerator) float64 {
	if accelerator.ReadFactor > 0 {
		return accelerator.ReadFactor
	}
	return max(0, accelerator.StepFactor)
}

// duration returns a time of at most maxWork that is given in nanoseconds. What is no time
// is 0, which means that it is not known.
func duration(nanoseconds float64) time.Duration {
	if math.IsNaN(nanoseconds) || nanoseconds < 0 {
		return 0
	}
	return time.Duration(min(nanoseconds, float64(maxWork)*float64(time.Millisecond)))
}

// Work returns the work of a request with some tokens of prompt and output.
func (r Rates) Work(prompt, output float64) Milliseconds {
	nanoseconds := max(0, prompt)*float64(r.Prefill) + max(0, output)*float64(r.Decode)
	if math.IsNaN(nanoseconds) {
		return 0
	}
	return min(Milliseconds(nanoseconds/float64(time.Millisecond)), maxWork)
}
