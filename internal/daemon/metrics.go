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
	// maxLabelledTeams is the number of teams with a label value of their own;
	// the others share otherTeams.
	maxLabelledTeams = 20
	teamRankInterval = time.Minute
	otherTeams       = environment.TeamName("(other)")
)

// metrics records what callers observe. The number of label values is bounded: a
// team has its own only while it has one of the maxLabelledTeams labels.
type metrics struct {
	registry      *prometheus.Registry
	firstToken    *prometheus.HistogramVec
	betweenTokens *prometheus.HistogramVec
	answer        *prometheus.HistogramVec
	service       *prometheus.HistogramVec
	problems      *prometheus.CounterVec
	outcomes      *prometheus.CounterVec
	violations    *prometheus.CounterVec
	teams         teamLabels
}

func newMetrics() *metrics {
	labels := []string{"tenant", "class"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "mulberryhead_" + name, Help: help, Buckets: buckets}, labels)
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "mulberryhead_" + name, Help: help}, labels)
	}
	shortBuckets := prometheus.ExponentialBuckets(0.001, 2, 14)
	longBuckets := prometheus.ExponentialBuckets(0.01, 2, 14)
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		firstToken:    histogram("first_token_seconds", "Time from a request to its first token.", shortBuckets),
		betweenTokens: histogram("between_tokens_seconds", "Time between two tokens of an answer.", shortBuckets),
		answer:        histogram("answer_seconds", "Time from a request to its whole answer.", longBuckets),
		service:       histogram("service_call_seconds", "Time of a call to a plain service.", shortBuckets),
		problems:      counter("problems_total", "Requests that ended with a problem.", "tenant", "class", "code"),
		outcomes:      counter("outcomes_total", "Answers to calls that run at most once.", "outcome"),
		violations:    counter("invariant_violations_total", "Broken invariants; any is a fault of the program.", "invariant"),
		teams:         teamLabels{counts: map[environment.TeamName]uint64{}, labelled: map[environment.TeamName]bool{}},
	}
	m.registry.MustRegister(m.firstToken, m.betweenTokens, m.answer, m.service, m.problems, m.outcomes, m.violations)
	return m
}

// reportViolations makes a violated invariant increment a counter and log an error
// instead of panicking.
func (m *metrics) reportViolations(logger *zap.Logger) {
	invariant.SetReporter(func(v *invariant.ViolationError) {
		m.violations.WithLabelValues(string(v.Name)).Inc()
		logger.Error("invariant violated", zap.String("invariant", string(v.Name)), zap.String("detail", v.Detail))
	})
}

// gauge registers a gauge that calls read at each scrape.
func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "mulberryhead_" + name, Help: help}, read))
}

// counter registers a counter that calls read at each scrape.
func (m *metrics) counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "mulberryhead_" + name, Help: help}, read))
}

func (m *metrics) label(team environment.TeamName) string {
	return string(m.teams.label(time.Now(), team))
}

// RequestFailed implements caller.Observer.
func (m *metrics) RequestFailed(team environment.TeamName, class environment.ClassName, code caller.Code) {
	m.problems.WithLabelValues(m.label(team), string(class), string(code)).Inc()
}

// FirstToken implements caller.Observer.
func (m *metrics) FirstToken(team environment.TeamName, class environment.ClassName, wait time.Duration) {
	m.firstToken.WithLabelValues(m.label(team), string(class)).Observe(wait.Seconds())
}

// BetweenTokens implements caller.Observer.
func (m *metrics) BetweenTokens(team environment.TeamName, class environment.ClassName, gap time.Duration) {
	m.betweenTokens.WithLabelValues(m.label(team), string(class)).Observe(gap.Seconds())
}

// Answer implements caller.Observer.
func (m *metrics) Answer(team environment.TeamName, class environment.ClassName, duration time.Duration) {
	m.answer.WithLabelValues(m.label(team), string(class)).Observe(duration.Seconds())
}

// ServiceCall implements caller.Observer.
func (m *metrics) ServiceCall(team environment.TeamName, class environment.ClassName, duration time.Duration) {
	m.service.WithLabelValues(m.label(team), string(class)).Observe(duration.Seconds())
}

// Outcome implements caller.Observer.
func (m *metrics) Outcome(outcome claim.CallOutcome) {
	m.outcomes.WithLabelValues(string(outcome)).Inc()
}

// teamLabels ranks teams by their number of recorded observations, one for each gap
// between tokens included, and gives the first maxLabelledTeams a label value of their
// own. The counts are halved at each ranking. Between two rankings, teams without a
// label take unused ones.
type teamLabels struct {
	mu       sync.Mutex
	counts   map[environment.TeamName]uint64
	labelled map[environment.TeamName]bool
	rankedAt time.Time
}

func (l *teamLabels) label(now time.Time, team environment.TeamName) environment.TeamName {
	if team == "" {
		return otherTeams
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[team]++
	if now.Sub(l.rankedAt) >= teamRankInterval {
		l.rank()
		l.rankedAt = now
	}
	if len(l.labelled) < maxLabelledTeams {
		l.labelled[team] = true
	}
	if l.labelled[team] {
		return team
	}
	return otherTeams
}

// rank gives the labels to the teams with the highest counts and halves all counts, so
// that a team that has become inactive loses its label.
func (l *teamLabels) rank() {
	names := make([]environment.TeamName, 0, len(l.counts))
	for name := range l.counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return l.counts[names[i]] > l.counts[names[j]] })
	l.labelled = map[environment.TeamName]bool{}
	for _, name := range names[:min(len(names), maxLabelledTeams)] {
		l.labelled[name] = true
	}
	for name := range l.counts {
		l.counts[name] /= 2
		if l.counts[name] == 0 {
			delete(l.counts, name)
		}
	}
}
