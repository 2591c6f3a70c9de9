package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/clientbudget"
	"mulberryhead.org/mulberryhead/internal/gateway"
	"mulberryhead.org/mulberryhead/internal/logging"
)

// metrics holds the metrics of an instance that are not about clients' requests; those
// belong to package gateway.
type metrics struct {
	storeCalls *prometheus.HistogramVec
	violations prometheus.Counter
	peerBytes  *prometheus.CounterVec

	ignoredEntries prometheus.Counter
}

func newMetrics(registry *prometheus.Registry, sink *logging.Sink, fleet *backend.Fleet) *metrics {
	m := &metrics{
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mulberryhead_store_call_seconds", Help: "Time of a call to the platform's store.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 7),
		}, []string{"call", "outcome"}),
		violations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mulberryhead_invariant_violations_total", Help: "Broken invariants; any is a fault of the program.",
		}),
		peerBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mulberryhead_peer_sent_bytes_total", Help: "Bytes of the messages sent to peers, by kind of message.",
		}, []string{"kind"}),
		ignoredEntries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mulberryhead_ignored_backend_entries_total", Help: "Entries of the backend list that describe no backend server of a configured service, each time that they were read.",
		}),
	}
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "mulberryhead_log_lines_dropped_total", Help: "Log lines that were dropped because the reader was too slow.",
	}, func() float64 { return float64(sink.Dropped()) })
	limited := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mulberryhead_limited_servers", Help: "Backend servers that have named the requests a second that they take.",
	}, func() float64 { return float64(fleet.LimitedServers()) })
	registry.MustRegister(m.storeCalls, m.violations, m.peerBytes, m.ignoredEntries, dropped, limited)
	return m
}

func (m *metrics) storeCall(call string, took time.Duration, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.storeCalls.WithLabelValues(call, outcome).Observe(took.Seconds())
}

func (m *metrics) peerSent(kind string, size int) {
	m.peerBytes.WithLabelValues(kind).Add(float64(size))
}

// observeClients adds the metrics of what clients hold.
func (*metrics) observeClients(registry *prometheus.Registry, g *gateway.Gateway, clients *clientbudget.Pool) {
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	counter := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
	}
	gauge("mulberryhead_request_body_bytes", "Bytes of request bodies for which memory is held.",
		func() float64 { return float64(g.BodyBytesHeld()) })
	gauge("mulberryhead_client_memory_bytes", "Memory that is held for clients: connections, headers and bodies.",
		func() float64 { return float64(clients.Stats().Held) })
	gauge("mulberryhead_client_memory_limit_bytes", "Memory that clients may hold, which is what the instance's own state leaves.",
		func() float64 { return float64(clients.Stats().Limits.Memory) })
	gauge("mulberryhead_client_connections", "Open connections of clients.",
		func() float64 { return float64(clients.Stats().Connections) })
	counter("mulberryhead_clients_evicted_total", "Slow or idle clients whose connections ended as memory or descriptors were short.",
		func() float64 { return float64(clients.Stats().Evicted) })
	counter("mulberryhead_client_connections_refused_total", "Connections of clients closed at once as there was no room for them.",
		func() float64 { return float64(clients.Stats().Refused) })
}
