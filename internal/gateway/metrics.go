package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts what callers see. Labels are routes and the router's own codes;
// both are bounded.
type Metrics struct {
	firstEvents *prometheus.HistogramVec
	answers     *prometheus.HistogramVec
	refusals    *prometheus.CounterVec
}

// NewMetrics registers the metrics of callers.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		firstEvents: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mulberryhead_first_event_seconds", Help: "Time from a request to the first event of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"kind", "team"}),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mulberryhead_answer_seconds", Help: "Time from a request to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}, []string{"kind", "team"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mulberryhead_refusals_total", Help: "Requests that ended with an answer of the router's own.",
		}, []string{"code"}),
	}
	registry.MustRegister(m.firstEvents, m.answers, m.refusals)
	return m
}

// largestTeams is how many teams have a label of their own.
const largestTeams = 20

// teamLabel keeps the number of labels bounded where there are many teams.
func teamLabel(c *call) string {
	if c.decision.TeamCount > largestTeams {
		return "(all)"
	}
	return string(c.decision.Team)
}

func (m *Metrics) firstEvent(c *call, now time.Time) {
	m.firstEvents.WithLabelValues(c.decision.Route.Kind.String(), teamLabel(c)).Observe(now.Sub(c.started).Seconds())
}

func (m *Metrics) answered(c *call, now time.Time) {
	m.answers.WithLabelValues(c.decision.Route.Kind.String(), teamLabel(c)).Observe(now.Sub(c.started).Seconds())
}

func (m *Metrics) refused(code string) { m.refusals.WithLabelValues(code).Inc() }
