package gateway

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/internal/spillover"
)

// reasonNoServer is why a request to a plain service is sent to another zone: no server of the
// home zone is available and has a free slot.
const reasonNoServer spillover.Reason = "no-server"

// crossing is why and where a request is sent out of the home zone.
type crossing struct {
	target deployment.Zone
	rank   routing.Rank
	reason spillover.Reason
}

// crossingMetrics count what is sent to and received from other zones.
type crossingMetrics struct {
	requests *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

func newCrossingMetrics(registry prometheus.Registerer) crossingMetrics {
	labels := []string{"reason", "priority", "target"}
	m := crossingMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mulberryhead_zone_crossing_requests_total", Help: "Attempts of requests that were sent to a backend server of another zone.",
		}, labels),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mulberryhead_zone_crossing_bytes_total", Help: "Bytes of the bodies of these requests and of their responses.",
		}, labels),
	}
	registry.MustRegister(m.requests, m.bytes)
	return m
}

// countCrossing counts an attempt that is sent to another zone, nil for one that is not. It returns
// the counter of its further bytes, nil without one.
func (m *Metrics) countCrossing(c *crossing, body []byte) prometheus.Counter {
	if c == nil {
		return nil
	}
	labels := []string{string(c.reason), m.admission.label(c.rank), string(c.target)}
	m.crossings.requests.WithLabelValues(labels...).Inc()
	counter := m.crossings.bytes.WithLabelValues(labels...)
	counter.Add(float64(len(body)))
	return counter
}

// countedBody counts the bytes that are read of a response.
type countedBody struct {
	io.ReadCloser
	counter prometheus.Counter
}

// Read implements io.Reader.
func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.counter.Add(float64(n))
	return n, err
}

// countBody counts the bytes of a response, unless counter is nil.
func countBody(response *backend.Response, counter prometheus.Counter) {
	if counter != nil && response != nil {
		response.Body = countedBody{ReadCloser: response.Body, counter: counter}
	}
}

// crossingOfServer returns the crossing of an attempt at a server of a plain service, nil if the
// server is in the home zone.
func (g *Gateway) crossingOfServer(c *call, server deployment.Backend) *crossing {
	if server.Zone == g.Settings.Zone {
		return nil
	}
	return &crossing{target: server.Zone, rank: c.decision.Rank, reason: reasonNoServer}
}

// planLogInterval is the minimum interval between log lines on changed plans of a service.
const planLogInterval = time.Second

// logPlan logs a plan, with what it was made from, if it sends other priorities or to other zones
// than the one that was logged last.
func (z *zoneShares) logPlan(now time.Time, service deployment.ServiceName, s *serviceShares, input *spillover.Input, plan spillover.Plan) {
	var sends, shares []string
	for _, send := range plan.Sends {
		sends = append(sends, fmt.Sprintf("%s:%s", send.Rank, send.Zone))
		shares = append(shares, fmt.Sprintf("%s:%s=%.2f (%.1f/s)", send.Rank, send.Zone, send.Share, send.Requests))
	}
	key := strings.Join(sends, " ")
	if key == s.loggedPlan || now.Sub(s.loggedAt) < planLogInterval {
		return
	}
	s.loggedPlan, s.loggedAt = key, now
	states := []string{formatState(input.Home)}
	for _, other := range input.Others {
		states = append(states, formatState(other))
	}
	slices.Sort(states[1:])
	z.logger.Info("zone shares changed", zap.String("service", string(service)), zap.Strings("shares", shares), zap.Strings("zones", states))
}

// formatState describes what is known of a zone.
func formatState(state spillover.ZoneState) string {
	need, waiting := 0.0, 0
	for _, demand := range state.Demand {
		need += demand.ArrivalsPerSecond
		waiting += demand.Waiting
	}
	return fmt.Sprintf("%s: arrivals %.1f/s, waiting %d, free %.1f, ends %.1f/s, age %d ms",
		state.Zone, need, waiting, state.Free.Requests, state.Free.PerSecond, state.Age.Milliseconds())
}
