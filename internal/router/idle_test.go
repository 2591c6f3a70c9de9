package router

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// TestQuietConnections: a connection that sends no header is closed after the time
// for a header, and a kept one not before its idle time and that for a header.
func TestQuietConnections(t *testing.T) {
	limits := deployment.Limits{HeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second}
	cases := []struct {
		name   string
		states []http.ConnState
		after  time.Duration
		closed bool
	}{
		{"new, in time", []http.ConnState{http.StateNew}, 2 * time.Second, false},
		{"new, too late", []http.ConnState{http.StateNew}, 2100 * time.Millisecond, true},
		{"kept, idle", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 5100 * time.Millisecond, false},
		{"kept, too long", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 7100 * time.Millisecond, true},
		{"with a request", []http.ConnState{http.StateNew, http.StateActive}, time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			server, client := net.Pipe()
			defer func() { assert.Check(t, client.Close()) }()
			idle := newIdleConnections()
			for _, state := range c.states {
				idle.noteAt(now, server, state)
			}
			idle.close(now.Add(c.after), limits)
			assert.Equal(t, server.SetDeadline(time.Time{}) != nil, c.closed)
		})
	}
}

// TestNoLimits: a configuration without limits closes nothing.
func TestNoLimits(t *testing.T) {
	assert.Equal(t, allowedQuiet(quiet{fresh: true}, deployment.Limits{}), time.Duration(0))
	assert.Equal(t, allowedQuiet(quiet{}, deployment.Limits{HeaderTimeout: time.Second}), time.Duration(0))
}
