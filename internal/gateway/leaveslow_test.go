package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

// slowServer is a backend server that answers after a delay.
func slowServer(t *testing.T, delay time.Duration) deployment.Address {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		w.Header().Set(platform.HeaderSignature, "s")
		_, err := io.WriteString(w, "answer")
		assert.Check(t, err)
	}))
	t.Cleanup(server.Close)
	return deployment.Address(server.Listener.Addr().String())
}

// serveSlow sends an idempotent request to a plain service with the given servers. It returns
// the response and the attempts that were made.
func serveSlow(t *testing.T, delays ...time.Duration) (*httptest.ResponseRecorder, int) {
	now := time.Now()
	fleet := backend.NewFleet("a")
	for i, delay := range delays {
		id := deployment.BackendID([]string{"i-0", "i-1"}[i])
		fleet.Put(deployment.Backend{ID: id, Service: "svc", Address: slowServer(t, delay), Zone: "a", Slots: 4})
	}
	settings := deployment.Settings{RetryRatio: 1, RetryReserve: 1000, RetryWindow: time.Second}
	g := New(Config{
		Settings: settings, Fleet: fleet, Dial: platform.Dialer(0, platform.BackendSilence).DialContext, Logger: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	g.started = now.Add(-time.Hour)
	route := &deployment.Route{Kind: deployment.Idempotent, MaxAttempts: 2, TargetLatency: 20 * time.Millisecond}
	c := &call{id: "r", started: now, deadline: now.Add(time.Minute), service: &deployment.Service{Name: "svc"}}
	c.decision = routing.Decision{Route: route}
	c.request = backend.Request{Method: http.MethodGet, URI: "/x", Host: "h", ID: "r", Header: http.Header{}}
	response := httptest.NewRecorder()
	g.serveBuffered(response, httptest.NewRequest(http.MethodGet, "http://h/x", nil), c)
	return response, c.attempts
}

// TestSlowServerWithoutAnotherIsNotLeft guards against an answer that is given up while its
// server, the only one, is silent for a while.
func TestSlowServerWithoutAnotherIsNotLeft(t *testing.T) {
	response, attempts := serveSlow(t, 300*time.Millisecond)
	assert.Equal(t, response.Code, http.StatusOK)
	assert.Equal(t, response.Body.String(), "answer")
	assert.Equal(t, attempts, 1)
}

// TestSlowServerIsLeftForAnother guards against a request that waits for a silent server while
// another one would answer.
func TestSlowServerIsLeftForAnother(t *testing.T) {
	response, attempts := serveSlow(t, time.Minute, 0)
	assert.Equal(t, response.Code, http.StatusOK)
	assert.Equal(t, attempts, 2)
}
