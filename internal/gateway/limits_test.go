package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// limitedGateway returns a gateway whose configuration limits headers to 400 bytes,
// bodies to 50 bytes and requests to 300 ms. It has no backend servers.
func limitedGateway() *Gateway {
	var current routing.ActiveTable
	current.UpdateIfNewer(deployment.Configuration{
		Version: 1, Limits: deployment.Limits{HeaderBytes: 400, BodyBytes: 50},
		Services: []deployment.Service{{Name: "s"}},
		Routes: []deployment.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Timeout: 300 * time.Millisecond, Kind: deployment.NonIdempotent,
			MaxAttempts: 1, Public: true, Targets: []deployment.WeightedService{{Service: "s", Weight: 1}},
		}},
	})
	return New(Config{
		RoutingTable: &current, Fleet: backend.NewFleet(""), Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(),
		Settings: deployment.Settings{RetryWindow: time.Second},
	})
}

// TestLimits sends requests at and beyond the limits. A gateway that accepts a request
// but has no backend server for it responds with 503.
func TestLimits(t *testing.T) {
	cases := []struct {
		name    string
		padding int // bytes of an extra header value
		length  int // Content-Length
		sent    int // body bytes
		status  int
	}{
		{"small", 10, 10, 10, http.StatusServiceUnavailable},
		{"body at the limit", 10, 50, 50, http.StatusServiceUnavailable},
		{"no body", 10, 0, 0, http.StatusServiceUnavailable},
		{"body too long", 10, 51, 51, http.StatusRequestEntityTooLarge},
		{"header too long", 400, 10, 10, http.StatusRequestHeaderFieldsTooLarge},
		{"body too slow", 10, 50, 20, http.StatusRequestTimeout},
	}
	server := httptest.NewServer(limitedGateway())
	defer server.Close()
	address := server.Listener.Addr().String()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connection, err := net.Dial("tcp4", address)
			assert.NilError(t, err)
			defer func() { assert.Check(t, connection.Close()) }()
			_, err = fmt.Fprintf(connection, "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Padding: %s\r\nContent-Length: %d\r\n\r\n%s",
				strings.Repeat("p", c.padding), c.length, strings.Repeat("b", c.sent))
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			assert.NilError(t, err)
			defer func() { assert.Check(t, response.Body.Close()) }()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status, "%s", body)
			notRun := c.status == http.StatusServiceUnavailable || c.status == http.StatusRequestTimeout
			assert.Equal(t, response.Header.Get("Retry-After") != "", notRun)
		})
	}
}
