package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics measures what clients observe. The labels are the route's kind and the team
// for durations and the gateway's error code for failures. Their number is bounded: with
// more than maxTeamLabels teams, all teams share one label.
type Metrics struct {
	firstEvents *prometheus.HistogramVec
	responses   *prometheus.HistogramVec
	failures    *prometheus.CounterVec
	cuts        *prometheus.CounterVec
	backendEnds *prometheus.CounterVec
	heldKeys    prometheus.Gauge
	admission   *admissionMetrics
	estimates   prometheus.Histogram
	crossings   crossingMetrics
}

// NewMetrics returns Metrics registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		firstEvents: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mulberryhead_first_event_seconds", Help: "Time from a request to the first event of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"kind", "team"}),
		responses: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mulberryhead_answer_seconds", Help: "Time from a request to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}, []string{"kind", "team"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mulberryhead_refusals_total", Help: "Requests that ended with an answer of the router's own.",
		}, []string{"code"}),
	}
	m.cuts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mulberryhead_stream_cuts_total", Help: "Streams that were broken off after their answer had begun, by what ended their last attempt.",
	}, []string{"cause"})
	m.backendEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mulberryhead_backend_ends_total", Help: "Ends of backend servers during requests, by who noticed them.",
	}, []string{"source"})
	m.heldKeys = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "mulberryhead_held_keys", Help: "Parts of prompts, and whole requests, that are not sent because backend servers ended on them.",
	})
	m.estimates = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "mulberryhead_output_estimate_ratio", Help: "Tokens of the output of whole streams with a stated size, divided by those expected.",
		Buckets: prometheus.ExponentialBuckets(0.0625, 2, 9),
	})
	registry.MustRegister(m.firstEvents, m.responses, m.failures, m.cuts, m.backendEnds, m.heldKeys, m.estimates)
	m.crossings = newCrossingMetrics(registry)
	m.admission = newAdmissionMetrics(registry)
	return m
}

// maxTeamLabels is the maximum number of teams with a label of their own.
const maxTeamLabels = 20

// teamLabel returns the team, or "(all)" where there are too many teams for one label each.
func teamLabel(c *call) string {
	if c.decision.TeamCount > maxTeamLabels {
		return "(all)"
	}
	return string(c.decision.Team)
}

func (m *Metrics) observeFirstEvent(c *call, now time.Time) {
	if c.relayed != nil {
		return // the instance of the client observes it
	}
	m.firstEvents.WithLabelValues(c.decision.Route.Kind.String(), teamLabel(c)).Observe(now.Sub(c.started).Seconds())
}

func (m *Metrics) observeResponse(c *call, now time.Time) {
	if c.relayed != nil {
		return
	}
	m.responses.WithLabelValues(c.decision.Route.Kind.String(), teamLabel(c)).Observe(now.Sub(c.started).Seconds())
}

// countFailure counts a request that ended with an error response, a truncated stream or
// a client's disconnect.
func (m *Metrics) countFailure(code string) { m.failures.WithLabelValues(code).Inc() }

// countCut counts a stream that was broken off after its answer had begun.
func (m *Metrics) countCut(cause breakCause) { m.cuts.WithLabelValues(string(cause)).Inc() }

// noticeSource tells who noticed that a backend server has ended.
type noticeSource string

// The sources of a notice.
const (
	noticedHere noticeSource = "here"
	toldByPeer  noticeSource = "peer"
	shownByList noticeSource = "list"
)

// countBackendEnd counts a notice that a backend server has ended.
func (m *Metrics) countBackendEnd(source noticeSource) {
	m.backendEnds.WithLabelValues(string(source)).Inc()
}

func (m *Metrics) setHeldKeys(count int) { m.heldKeys.Set(float64(count)) }

// observeEstimate observes how far the expected output of a stream was off.
func (m *Metrics) observeEstimate(expected float64, output int) {
	if expected > 0 {
		m.estimates.Observe(float64(output) / expected)
	}
}
