package requestsize

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/prove"
)

const route deployment.RouteName = "r"

var (
	start  = time.Unix(1_000_000, 0)
	engine = &deployment.Engine{
		Layers: 80, StepTime: time.Millisecond, TypicalPromptTokens: 700, TypicalOutputTokens: 100, PrefillRate: 100_000,
		Accelerators: map[string]deployment.Accelerator{"a": {StepFactor: 10, ReadFactor: 5}},
	}
	rates = RatesOf(engine, nil)
)

// learn returns an estimator that has recorded outputs, one each 100 ms, and the time after.
func learn(outputs ...int) (*Estimator, time.Time) {
	e, now := NewEstimator(), start
	for _, output := range outputs {
		e.Record(now, route, output)
		now = now.Add(100 * time.Millisecond)
	}
	return e, now
}

// TestUnderstatingSavesNothing guards against a team that gets more than another one over time since
// it understates the outputs of its requests: while both have requests waiting, what it has used is
// ahead by no more than its requests in flight.
func TestUnderstatingSavesNothing(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		const largest, inFlight = 1000, 3
		e, now := NewEstimator(), start
		var q admission.Queue
		outputs := map[*admission.Request]int{}
		push := func(team deployment.Team, stated, output int) {
			estimate := e.Estimate(now, route, engine, rates, deployment.RequestSize{PromptTokens: 700, ExpectedOutput: stated})
			r := &admission.Request{Team: team, Arrived: now, Deadline: now.Add(time.Hour), Work: float64(estimate.Work)}
			outputs[r] = output
			q.Push(now, r)
		}
		for range rapid.IntRange(20, 60).Draw(t, "requests") {
			output := rapid.IntRange(1, largest).Draw(t, "output")
			push("honest", output, output)
			push("understates", rapid.IntRange(1, 3).Draw(t, "stated"), rapid.IntRange(largest/2, largest).Draw(t, "output"))
		}
		used := map[deployment.Team]Milliseconds{}
		var running []*admission.Request
		for {
			ordered := q.Ordered(now)
			waiting := map[deployment.Team]bool{}
			for _, r := range ordered {
				waiting[r.Team] = true
			}
			if len(waiting) < 2 {
				return
			}
			q.Admit(now, ordered[0])
			running = append(running, ordered[0])
			used[ordered[0].Team] += rates.Work(700, float64(outputs[ordered[0]]))
			if len(running) == inFlight {
				ended := rapid.IntRange(0, inFlight-1).Draw(t, "ended")
				q.RecordUse(running[ended], float64(rates.Work(700, float64(outputs[running[ended]]))))
				running = append(running[:ended], running[ended+1:]...)
			}
			lead := used["understates"] - used["honest"]
			assert.Assert(t, lead <= (inFlight+1)*rates.Work(700, largest), "ahead by %v: %v", lead, used)
		}
	})
}

// TestUnderstatedEstimate guards against a stated size that replaces what was learned: a caller
// that states 1 token is still expected to use half of what its route does.
func TestUnderstatedEstimate(t *testing.T) {
	outputs := make([]int, 300)
	for i := range outputs {
		outputs[i] = 400
	}
	e, now := learn(outputs...)
	honest := e.Estimate(now, route, engine, rates, deployment.RequestSize{PromptTokens: 700, ExpectedOutput: 400})
	understated := e.Estimate(now, route, engine, rates, deployment.RequestSize{PromptTokens: 700, ExpectedOutput: 1})
	assert.Assert(t, honest.Output > 390 && honest.Output < 410, "%v", honest)
	unhinted := e.Estimate(now, route, engine, rates, deployment.RequestSize{PromptTokens: 700})
	assert.Assert(t, understated.Output >= unhinted.Output/2, "%v", understated)
	assert.Assert(t, understated.HighOutput >= 400, "memory is not reserved by the statement: %v", understated)
	bounded := e.Estimate(now, route, engine, rates, deployment.RequestSize{PromptTokens: 700, MaxOutputTokens: 50, ExpectedOutput: 900})
	assert.Equal(t, bounded.Output, 50.0)
	assert.Equal(t, bounded.HighOutput, 50.0)
}

// TestHeavyTail guards against a few huge outputs that move what is expected of all others.
func TestHeavyTail(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		outputs := make([]int, sampleSize)
		for i := range outputs {
			outputs[i] = rapid.IntRange(50, 150).Draw(t, "output")
		}
		for range sampleSize / 50 { // 2 in 100
			outputs[rapid.IntRange(0, sampleSize-1).Draw(t, "at")] = rapid.IntRange(10_000, maxTokens).Draw(t, "huge")
		}
		e, now := learn(outputs...)
		estimate := e.Estimate(now, route, engine, rates, deployment.RequestSize{PromptTokens: 700})
		assert.Assert(t, estimate.Output >= 50 && estimate.Output <= 150, "%v", estimate)
		assert.Assert(t, estimate.HighOutput <= 150, "%v", estimate)
	})
}

// TestParetoQuantile guards against a high quantile that is far off for outputs of a heavy tail.
func TestParetoQuantile(t *testing.T) {
	const alpha = 1.2
	prove.Random(t, func(t *rapid.T) {
		outputs := make([]int, sampleSize)
		for i, at := range rapid.Permutation(make([]int, sampleSize)).Draw(t, "order") {
			u := (float64(i) + 0.5) / sampleSize
			outputs[i] = at + int(20*math.Pow(1-u, -1/alpha))
		}
		e, now := learn(outputs...)
		estimate := e.Estimate(now, route, engine, rates, deployment.RequestSize{PromptTokens: 700})
		exact := 20 * math.Pow(1-highQuantile, -1/alpha)
		assert.Assert(t, estimate.HighOutput > exact/1.3 && estimate.HighOutput < exact*1.3, "%v, exact %v", estimate.HighOutput, exact)
	})
}

// TestSampleFollowsChange guards against outputs of long ago that outweigh recent ones.
func TestSampleFollowsChange(t *testing.T) {
	e, now := learn(make([]int, 0)...)
	for range 100 {
		e.Record(now, route, 1000)
	}
	now = now.Add(10 * sampleHalfLife)
	for range 50 {
		e.Record(now, route, 10)
	}
	estimate := e.Estimate(now, route, engine, rates, deployment.RequestSize{PromptTokens: 700})
	assert.Assert(t, estimate.Output < 50, "%v", estimate)
	late := e.Estimate(now.Add(20*sampleHalfLife), route, engine, rates, deployment.RequestSize{PromptTokens: 700})
	assert.Equal(t, late.Output, engine.TypicalOutputTokens, "nothing recent is known")
}

// TestInvalidSizes guards against numbers that are no sizes: they are not known, and never make
// an estimate negative, infinite or NaN.
func TestInvalidSizes(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		number := rapid.OneOf(rapid.Int(), rapid.SampledFrom([]int{0, -1, maxTokens, maxTokens + 1, math.MaxInt, math.MinInt}))
		value := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64}))
		odd := *engine
		odd.PrefillRate = value.Draw(t, "prefill")
		odd.Accelerators = map[string]deployment.Accelerator{"a": {StepFactor: value.Draw(t, "step"), ReadFactor: value.Draw(t, "read")}}
		e := NewEstimator()
		for range rapid.IntRange(0, 40).Draw(t, "records") {
			e.Record(start, route, number.Draw(t, "output"))
		}
		size := deployment.RequestSize{PromptTokens: number.Draw(t, "p"), MaxOutputTokens: number.Draw(t, "m"), ExpectedOutput: number.Draw(t, "e")}
		got := e.Estimate(start, route, &odd, RatesOf(&odd, nil), size)
		for _, amount := range []float64{got.Output, got.HighOutput, float64(got.Work)} {
			assert.Assert(t, amount >= 0 && !math.IsInf(amount, 0), "%v", got)
		}
		assert.Assert(t, got.Output <= maxTokens && got.Work <= maxWork && got.HighOutput >= got.Output, "%v", got)
	})
	unstated := NewEstimator().Estimate(start, route, engine, rates, deployment.RequestSize{PromptTokens: -5, MaxOutputTokens: -1, ExpectedOutput: maxTokens + 1})
	assert.Equal(t, unstated.Output, engine.TypicalOutputTokens)
	assert.Equal(t, unstated.Work, rates.Work(700, 100))
}

// TestWork guards against work that leaves out the prompt, the accelerators or the load.
func TestWork(t *testing.T) {
	assert.Equal(t, rates.Prefill, 50*time.Microsecond)
	assert.Equal(t, rates.Decode, 10*time.Millisecond+pipeline.HopTime)
	assert.Equal(t, rates.Work(1000, 0), Milliseconds(50))
	fast := pipeline.Stage{Layers: deployment.LayerRange{End: 80}, Accelerator: deployment.Accelerator{StepFactor: 1, ReadFactor: 1}}
	slow := pipeline.Stage{Layers: deployment.LayerRange{End: 40}, Accelerator: deployment.Accelerator{StepFactor: 4, ReadFactor: 4}}
	assert.Equal(t, RatesOf(engine, []pipeline.Stage{fast, slow}).Prefill, 20*time.Microsecond, "two thirds of the layers are fast")
}

// TestBoundedState guards against state that grows with the routes ever seen.
func TestBoundedState(t *testing.T) {
	e, now := NewEstimator(), start
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		e.Record(now, deployment.RouteName(fmt.Sprint(i)), 1)
	}
	assert.Equal(t, len(e.routes), maxRoutes)
	assert.Assert(t, e.routes["2999"] != nil, "the latest are kept")
}
