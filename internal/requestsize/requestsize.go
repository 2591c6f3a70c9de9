// Package requestsize estimates the output and the work of requests to a model before they
// run.
//
// Usage: keep an Estimator for each service. Estimate each request when it arrives, record
// its output when it has ended whole, and charge its team for what it has used:
//
//	estimate := estimator.Estimate(now, route, engine, rates, size)
//	queue.Push(now, &admission.Request{Work: float64(estimate.Work), ...})
//	estimator.Record(now, route, output)
//	queue.RecordUse(request, float64(rates.Work(prompt, output)))
//
// It addresses overload by requests whose sizes differ a hundredfold: a queue that counts
// requests lets a few large ones take most of the capacity. Sizes that clients state are
// not relied on. The stated maximum is only a bound, and the client's estimate counts for
// half of the expected output.
//
// Everything here is pure and not safe for concurrent use.
package requestsize

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// maxTokens bounds the tokens of a prompt or an output. More are not a size of any
	// model's context.
	maxTokens = 10_000_000
	// estimateWeight is the share of the client's estimate in the expected output. It is
	// often far off, so that it counts for at most half.
	estimateWeight = 0.5
	// highQuantile is the quantile of the outputs that Estimate.HighOutput gives.
	highQuantile = 0.9
	// maxRoutes bounds the routes with a sample of their own.
	maxRoutes = 256
)

// Milliseconds is an amount of work: the time that a request takes on its path.
type Milliseconds float64

// Estimate is what a request is expected to need.
type Estimate struct {
	Output     float64 // tokens
	HighOutput float64 // tokens that few such requests exceed, at least Output
	Work       Milliseconds
}

// Estimator learns the outputs of the requests to a service by their routes.
type Estimator struct {
	routes map[deployment.RouteName]*sample
}

// NewEstimator returns an estimator that has learned nothing.
func NewEstimator() *Estimator {
	return &Estimator{routes: map[deployment.RouteName]*sample{}}
}

// Estimate returns what a request on a route is expected to need. A request without a
// stated size is the typical one of the engine.
func (e *Estimator) Estimate(now time.Time, route deployment.RouteName, engine *deployment.Engine, rates Rates, size deployment.RequestSize) Estimate {
	size = valid(size)
	if size == (deployment.RequestSize{}) {
		output := max(0, engine.TypicalOutputTokens)
		return Estimate{Output: output, HighOutput: output, Work: rates.Work(engine.TypicalPromptTokens, output)}
	}
	prompt := float64(size.PromptTokens)
	if size.PromptTokens == 0 {
		prompt = engine.TypicalPromptTokens
	}
	output, high := e.learned(now, route, engine, size)
	if size.ExpectedOutput > 0 {
		output = estimateWeight*float64(size.ExpectedOutput) + (1-estimateWeight)*output
	}
	if size.MaxOutputTokens > 0 {
		output = min(output, float64(size.MaxOutputTokens))
		high = min(high, float64(size.MaxOutputTokens))
	}
	return Estimate{Output: output, HighOutput: max(high, output), Work: rates.Work(prompt, output)}
}

// learned returns the output of the requests on a route, and a high quantile of it. Without
// outputs these are the typical output and the stated maximum, which bounds the quantile
// anyway.
func (e *Estimator) learned(now time.Time, route deployment.RouteName, engine *deployment.Engine, size deployment.RequestSize) (output, high float64) {
	typical := max(0, engine.TypicalOutputTokens)
	if s, ok := e.routes[route]; ok {
		if summary, known := s.summarize(now, typical); known {
			return summary.mean, summary.high
		}
	}
	if typical == 0 {
		typical = float64(size.MaxOutputTokens)
	}
	return typical, max(typical, float64(size.MaxOutputTokens))
}

// Record records the output of a request that has ended whole. A number that is no size is
// ignored.
func (e *Estimator) Record(now time.Time, route deployment.RouteName, output int) {
	if output <= 0 || output > maxTokens {
		return
	}
	s, ok := e.routes[route]
	if !ok {
		e.makeRoom()
		s = &sample{}
		e.routes[route] = s
	}
	s.add(now, float64(output))
}

// makeRoom removes the route whose last output is the oldest if there are maxRoutes.
func (e *Estimator) makeRoom() {
	if len(e.routes) < maxRoutes {
		return
	}
	var oldest deployment.RouteName
	for name, s := range e.routes {
		if known, ok := e.routes[oldest]; !ok || s.lastAt.Before(known.lastAt) {
			oldest = name
		}
	}
	delete(e.routes, oldest)
}

// valid returns a size without the fields that are no sizes.
func valid(size deployment.RequestSize) deployment.RequestSize {
	known := func(tokens int) int {
		if tokens < 0 || tokens > maxTokens {
			return 0
		}
		return tokens
	}
	return deployment.RequestSize{
		PromptTokens: known(size.PromptTokens), MaxOutputTokens: known(size.MaxOutputTokens), ExpectedOutput: known(size.ExpectedOutput),
	}
}
