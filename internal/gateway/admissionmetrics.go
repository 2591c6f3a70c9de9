package gateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// maxRankLabels is the maximum number of ranks with a label of their own. Configurations may
	// name any number of priorities.
	maxRankLabels = 20
	otherRanks    = "other"
	// maxDecisionLines bounds the log lines a second on decisions of each kind.
	maxDecisionLines = 5
)

// admissionMetrics measures the queues of model services by service and rank, the latter as in "1.0".
type admissionMetrics struct {
	waiting  *prometheus.GaugeVec
	admitted *prometheus.CounterVec
	rejected *prometheus.CounterVec
	heldBack *prometheus.CounterVec
	wait     *prometheus.HistogramVec

	mu     sync.Mutex
	labels map[routing.Rank]string
}

func newAdmissionMetrics(registry prometheus.Registerer) *admissionMetrics {
	labels := []string{"service", "priority"}
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := &admissionMetrics{
		waiting:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "mulberryhead_queue_waiting", Help: "Requests that wait for capacity."}, labels),
		admitted: counter("mulberryhead_queue_admitted_total", "Requests that got capacity, also without waiting."),
		rejected: counter("mulberryhead_queue_rejected_total", "Requests that were rejected for lack of capacity."),
		heldBack: counter("mulberryhead_queue_held_back_total", "Requests that left free capacity to more urgent ones at least once."),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mulberryhead_queue_wait_seconds", Help: "Time that admitted requests waited for capacity.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 10),
		}, labels),
		labels: map[routing.Rank]string{},
	}
	registry.MustRegister(m.waiting, m.admitted, m.rejected, m.heldBack, m.wait)
	return m
}

// label returns the label of a rank.
func (m *admissionMetrics) label(rank routing.Rank) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if label, ok := m.labels[rank]; ok {
		return label
	}
	if len(m.labels) >= maxRankLabels {
		return otherRanks
	}
	m.labels[rank] = rank.String()
	return m.labels[rank]
}

// queueObserver measures and logs what the queue of one service decides. The zero value does
// neither.
type queueObserver struct {
	service deployment.ServiceName
	metrics *admissionMetrics
	logger  *zap.Logger // bounded
}

func newQueueObserver(config *Config, service deployment.ServiceName) queueObserver {
	o := queueObserver{service: service}
	if config.Metrics != nil {
		o.metrics = config.Metrics.admission
	}
	if config.Logger != nil {
		o.logger = config.Logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
			return zapcore.NewSamplerWithOptions(core, time.Second, maxDecisionLines, 0)
		}))
	}
	return o
}

// enqueued records that a request waits, and left that it no longer does.
func (o *queueObserver) enqueued(r *admission.Request) { o.addWaiting(r, 1) }

func (o *queueObserver) left(r *admission.Request) { o.addWaiting(r, -1) }

func (o *queueObserver) addWaiting(r *admission.Request, change float64) {
	if o.metrics != nil {
		o.metrics.waiting.WithLabelValues(string(o.service), o.metrics.label(r.Rank)).Add(change)
	}
}

func (o *queueObserver) admitted(r *admission.Request, waited time.Duration) {
	if o.metrics != nil {
		label := o.metrics.label(r.Rank)
		o.metrics.admitted.WithLabelValues(string(o.service), label).Inc()
		o.metrics.wait.WithLabelValues(string(o.service), label).Observe(waited.Seconds())
	}
}

func (o *queueObserver) rejected(r *admission.Rejection, waited time.Duration, cause error) {
	if o.metrics != nil {
		o.metrics.rejected.WithLabelValues(string(o.service), o.metrics.label(r.Request.Rank)).Inc()
	}
	if o.logger != nil {
		o.logger.Info("request rejected for lack of capacity", zap.String("service", string(o.service)), zap.Stringer("priority", r.Request.Rank),
			zap.Duration("waited-ms", waited), zap.Int("before", r.Before), zap.Float64("admissions-per-second", r.Rate),
			zap.Duration("retry-after-ms", r.RetryAfter), zap.NamedError("cause", cause))
	}
}

// heldBack records that a request leaves free capacity to others for the first time.
func (o *queueObserver) heldBack(r *admission.Request, d *admission.Decision) {
	if o.metrics != nil {
		o.metrics.heldBack.WithLabelValues(string(o.service), o.metrics.label(r.Rank)).Inc()
	}
	if o.logger != nil {
		o.logger.Info("request held back for more urgent ones", zap.String("service", string(o.service)), zap.Stringer("priority", r.Rank),
			zap.Int("free", d.Capacity.Free), zap.Int("in-flight", d.Capacity.InFlight), zap.Float64("waiting-elsewhere", d.Elsewhere),
			zap.Float64("arriving", d.Arriving), zap.Duration("report-age-ms", d.OldestAge))
	}
}
