package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/logging"
	"mulberryhead.org/mulberryhead/platform"
)

// TestPanicIsAnsweredAndLogged guards against a connection that a panic closes without an
// answer and without a line.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	var out bytes.Buffer
	sink := logging.NewSink(&out)
	config := Config{Logger: logging.NewLogger(sink, zap.InfoLevel), Metrics: NewMetrics(prometheus.NewRegistry())}
	g := &Gateway{Config: config} // without a routing table each request panics
	request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	request.Header.Set(platform.HeaderRequestID, "r-1")
	response := httptest.NewRecorder()
	g.ServeHTTP(response, request)
	sink.Close()
	assert.Equal(t, response.Code, http.StatusBadGateway)
	assert.Assert(t, strings.Contains(out.String(), "handler panicked"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "r-1"), out.String())
}

// TestBrokenOffAnswerStaysBrokenOff guards against a panic whose client takes a truncated
// answer for a whole one.
func TestBrokenOffAnswerStaysBrokenOff(t *testing.T) {
	g := &Gateway{Config: Config{Logger: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry())}}
	for _, cause := range []any{http.ErrAbortHandler, "some defect"} {
		func() {
			defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
			w := &responseState{ResponseWriter: httptest.NewRecorder()}
			defer g.recoverPanic(w, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
			w.WriteHeader(http.StatusOK)
			panic(cause)
		}()
	}
}
