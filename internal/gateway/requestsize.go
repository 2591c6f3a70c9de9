package gateway

import (
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/requestsize"
)

// ratesInterval is the interval at which the rates of a service are calculated from its stages.
const ratesInterval = time.Second

// requestSizes is what this instance has learned of the sizes of the requests to a service. It
// is safe for concurrent use.
type requestSizes struct {
	mu        sync.Mutex
	estimator *requestsize.Estimator
	rates     requestsize.Rates
	ratesAt   time.Time
}

func newRequestSizes() *requestSizes {
	return &requestSizes{estimator: requestsize.NewEstimator()}
}

// hasSize reports whether the client has stated a size.
func (c *call) hasSize() bool { return c.size != deployment.RequestSize{} }

// estimateSize sets what a request to a model is expected to need.
func (g *Gateway) estimateSize(now time.Time, c *call) {
	sizes := g.service(c.service.Name).sizes
	sizes.mu.Lock()
	defer sizes.mu.Unlock()
	g.refreshRates(now, sizes, c.service)
	c.expected = sizes.estimator.Estimate(now, c.decision.Route.Name, c.service.Engine, sizes.rates, c.size)
}

// refreshRates calculates the rates of a service anew if they are old. It is called with the
// mutex of sizes held.
func (g *Gateway) refreshRates(now time.Time, sizes *requestSizes, service *deployment.Service) {
	if age := now.Sub(sizes.ratesAt); age >= 0 && age < ratesInterval {
		return
	}
	sizes.ratesAt = now
	sizes.rates = requestsize.RatesOf(service.Engine, g.Fleet.StagesWithFull(now, service))
}

// expectedWork returns the work of a request for the admission queue, 0 without a stated size:
// such a request counts as a typical one.
func (c *call) expectedWork() float64 {
	if !c.hasSize() {
		return 0
	}
	return float64(c.expected.Work)
}

// recordSize records what a stream has used once it has ended. Only one that was whole from its
// first event tells the output of its route.
func (s *stream) recordSize(now time.Time, outcome streamOutcome) {
	c := s.call
	output, ok := s.output()
	if !ok {
		return
	}
	state := s.gateway.service(c.service.Name)
	used := state.sizes.record(now, s, outcome, output)
	if s.admitted != nil && c.hasSize() {
		state.queue.recordUse(s.admitted, float64(used))
	}
}

// record records the output of a stream, and returns the work that the stream has used.
func (r *requestSizes) record(now time.Time, s *stream, outcome streamOutcome, output int) requestsize.Milliseconds {
	c := s.call
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome == streamComplete && !s.clientNamedEvent && c.relayed == nil {
		r.estimator.Record(now, c.decision.Route.Name, output)
		if c.hasSize() && output > 0 {
			s.gateway.Metrics.observeEstimate(c.expected.Output, output)
		}
	}
	return r.rates.Work(c.promptTokens(), float64(output))
}

// maxStreamEvents bounds the events of a stream from which its output is calculated. A larger
// number is a fault of a server.
const maxStreamEvents = 1_000_000

// output returns the tokens that were forwarded as events in addition to those that the client
// had. It returns false if the numbers of the events are absurd.
func (s *stream) output() (int, bool) {
	if !s.hasLastEventID {
		return 0, true
	}
	events := s.lastEventID - s.clientEventID
	return int(events) * s.call.service.Engine.Stride, events >= 0 && events <= maxStreamEvents
}

// promptTokens returns the stated tokens of the prompt, or the typical number.
func (c *call) promptTokens() float64 {
	if c.size.PromptTokens > 0 {
		return float64(c.size.PromptTokens)
	}
	return c.service.Engine.TypicalPromptTokens
}
