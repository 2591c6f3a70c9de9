package router

import (
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// TestIdleConnections checks that a new connection without a header is closed after the
// header timeout, and a kept-alive one only after the idle timeout plus the header timeout.
func TestIdleConnections(t *testing.T) {
	limits := deployment.Limits{HeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second}
	cases := []struct {
		name   string
		states []http.ConnState
		after  time.Duration
		closed bool
	}{
		{"new, within the header timeout", []http.ConnState{http.StateNew}, 2 * time.Second, false},
		{"new, after the header timeout", []http.ConnState{http.StateNew}, 2100 * time.Millisecond, true},
		{"kept alive, within both timeouts", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 5100 * time.Millisecond, false},
		{"kept alive, after both timeouts", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 7100 * time.Millisecond, true},
		{"with a request in flight", []http.ConnState{http.StateNew, http.StateActive}, time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			pipe, client := net.Pipe()
			defer func() { assert.Check(t, client.Close()) }()
			server := newClientConnection(pipe)
			idle := newClientConnections(zap.NewNop())
			for _, state := range c.states {
				idle.recordState(now, server, state)
			}
			idle.close(now.Add(c.after), 1, limits)
			assert.Equal(t, server.SetDeadline(time.Time{}) != nil, c.closed)
		})
	}
}

// TestNoIdleLimit checks that new connections have no limit without a header timeout, and
// kept-alive ones none without an idle timeout.
func TestNoIdleLimit(t *testing.T) {
	assert.Equal(t, idleLimit(idleState{noRequestYet: true}, deployment.Limits{}), time.Duration(0))
	assert.Equal(t, idleLimit(idleState{}, deployment.Limits{HeaderTimeout: time.Second}), time.Duration(0))
}
