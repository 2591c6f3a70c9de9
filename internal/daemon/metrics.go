package daemon

import (
	"sort"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/caller"
	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	// largestTenants is the number of tenants with a label of their own; the
	// others share one.
	largestTenants = 20
	rankEvery      = time.Minute
	otherTenants   = environment.TeamName("(other)")
)

// metrics counts what callers see. Labels are bounded: every class, and the
// largest tenants.
type metrics struct {
	registry   *prometheus.Registry
	firstToken *prometheus.HistogramVec
	between    *prometheus.HistogramVec
	answer     *prometheus.HistogramVec
	service    *prometheus.HistogramVec
	rejected   *prometheus.CounterVec
	outcomes   *prometheus.CounterVec
	violations *prometheus.CounterVec
	tenants    tenantLabels
}

func newMetrics() *metrics {
	labels := []string{"tenant", "class"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "mulberryhead_" + name, Help: help, Buckets: buckets}, labels)
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "mulberryhead_" + name, Help: help}, labels)
	}
	short := prometheus.ExponentialBuckets(0.001, 2, 14)
	long := prometheus.ExponentialBuckets(0.01, 2, 14)
	m := &metrics{
		registry:   prometheus.NewRegistry(),
		firstToken: histogram("first_token_seconds", "Time from a request to its first token.", short),
		between:    histogram("between_tokens_seconds", "Time between two tokens of an answer.", short),
		answer:     histogram("answer_seconds", "Time from a request to its whole answer.", long),
		service:    histogram("service_call_seconds", "Time of a call to a plain service.", short),
		rejected:   counter("problems_total", "Requests that ended with a problem.", "tenant", "class", "code"),
		outcomes:   counter("outcomes_total", "Answers to calls that run at most once.", "outcome"),
		violations: counter("invariant_violations_total", "Broken invariants; any is a fault of the program.", "invariant"),
		tenants:    tenantLabels{counts: map[environment.TeamName]uint64{}, largest: map[environment.TeamName]bool{}},
	}
	m.registry.MustRegister(m.firstToken, m.between, m.answer, m.service, m.rejected, m.outcomes, m.violations)
	return m
}

// reportViolations makes broken invariants count and log in place of a panic.
func (m *metrics) reportViolations(logger *zap.Logger) {
	invariant.SetReporter(func(v *invariant.ViolationError) {
		m.violations.WithLabelValues(string(v.Name)).Inc()
		logger.Error("invariant violated", zap.String("invariant", string(v.Name)), zap.String("detail", v.Detail))
	})
}

// gauge registers a gauge that is read when the metrics are.
func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "mulberryhead_" + name, Help: help}, read))
}

// counter registers a counter that is read when the metrics are.
func (m *metrics) counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "mulberryhead_" + name, Help: help}, read))
}

func (m *metrics) label(tenant environment.TeamName) string {
	return string(m.tenants.label(time.Now(), tenant))
}

// RequestFailed implements caller.Observer.
func (m *metrics) RequestFailed(tenant environment.TeamName, class environment.ClassName, code caller.Code) {
	m.rejected.WithLabelValues(m.label(tenant), string(class), string(code)).Inc()
}

// FirstToken implements caller.Observer.
func (m *metrics) FirstToken(tenant environment.TeamName, class environment.ClassName, wait time.Duration) {
	m.firstToken.WithLabelValues(m.label(tenant), string(class)).Observe(wait.Seconds())
}

// BetweenTokens implements caller.Observer.
func (m *metrics) BetweenTokens(tenant environment.TeamName, class environment.ClassName, gap time.Duration) {
	m.between.WithLabelValues(m.label(tenant), string(class)).Observe(gap.Seconds())
}

// Answer implements caller.Observer.
func (m *metrics) Answer(tenant environment.TeamName, class environment.ClassName, took time.Duration) {
	m.answer.WithLabelValues(m.label(tenant), string(class)).Observe(took.Seconds())
}

// ServiceCall implements caller.Observer.
func (m *metrics) ServiceCall(tenant environment.TeamName, class environment.ClassName, took time.Duration) {
	m.service.WithLabelValues(m.label(tenant), string(class)).Observe(took.Seconds())
}

// Outcome implements caller.Observer.
func (m *metrics) Outcome(answer claim.CallOutcome) {
	m.outcomes.WithLabelValues(string(answer)).Inc()
}

// tenantLabels ranks tenants by their requests and names only the largest.
type tenantLabels struct {
	mu      sync.Mutex
	counts  map[environment.TeamName]uint64
	largest map[environment.TeamName]bool
	ranked  time.Time
}

func (l *tenantLabels) label(now time.Time, tenant environment.TeamName) environment.TeamName {
	if tenant == "" {
		return otherTenants
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[tenant]++
	if now.Sub(l.ranked) >= rankEvery {
		l.rank()
		l.ranked = now
	}
	if len(l.largest) < largestTenants {
		l.largest[tenant] = true
	}
	if l.largest[tenant] {
		return tenant
	}
	return otherTenants
}

// rank keeps the largest tenants and halves all counts, so that a tenant that
// has gone quiet makes room.
func (l *tenantLabels) rank() {
	names := make([]environment.TeamName, 0, len(l.counts))
	for name := range l.counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return l.counts[names[i]] > l.counts[names[j]] })
	l.largest = map[environment.TeamName]bool{}
	for _, name := range names[:min(len(names), largestTenants)] {
		l.largest[name] = true
	}
	for name := range l.counts {
		l.counts[name] /= 2
		if l.counts[name] == 0 {
			delete(l.counts, name)
		}
	}
}
