package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// lateRequest is a request whose body arrives later than its header.
type lateRequest struct {
	id, method, path string
	deadline         time.Duration
}

const lateBody = "body"

func (l lateRequest) header() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", l.method, l.path, platformtest.Host,
		platform.HeaderRequestID, l.id, platform.HeaderAPIKey, platformtest.APIKey, platform.HeaderDeadline, platform.FormatDeadline(l.deadline), len(lateBody))
}

// TestRequestLateInAShutdownIsCutOff guards against a request that is passed on late in a planned stop, as
// its body took long to arrive, and is cut off at its end.
func TestRequestLateInAShutdownIsCutOff(t *testing.T) {
	sr := newScriptRunner(t)
	defer sr.close()
	for _, command := range [][]string{
		{"plain-time", "200"}, {"servers", "plain", "zone-a", "1"}, {"configure", "1", "key"}, {"router", "a", "zone-a"}, {"ready", "a"},
	} {
		sr.command(command)
	}
	router := sr.routers["a"]
	router.stop()
	cases := []struct {
		request lateRequest
		status  int
	}{
		{lateRequest{"late-once", http.MethodPost, "/once/x", 20 * time.Second}, http.StatusServiceUnavailable},
		{lateRequest{"late-any", http.MethodGet, "/any/x", 20 * time.Second}, http.StatusServiceUnavailable},
		{lateRequest{"short-once", http.MethodPost, "/once/x", 3 * time.Second}, http.StatusOK},
	}
	var connections []net.Conn
	for _, c := range cases {
		connection, err := net.Dial("tcp4", string(router.settings.FrontAddress))
		assert.NilError(t, err)
		defer func() { _ = connection.Close() }()
		_, err = connection.Write([]byte(c.request.header()))
		assert.NilError(t, err)
		connections = append(connections, connection)
	}
	time.Sleep(router.settings.ShutdownGrace/2 + 300*time.Millisecond)
	for i := range cases {
		_, err := connections[i].Write([]byte(lateBody))
		assert.NilError(t, err)
	}
	for i, c := range cases {
		response, err := http.ReadResponse(bufio.NewReader(connections[i]), nil)
		assert.NilError(t, err)
		assert.Check(t, response.StatusCode == c.status, "%s got %d", c.request.id, response.StatusCode)
		assert.Check(t, response.StatusCode == http.StatusOK || response.Header.Get(platform.HeaderRetryAfter) != "", c.request.id)
		assert.NilError(t, response.Body.Close())
	}
	assert.Equal(t, sr.cluster.RunCount("late-once"), 0)
	assert.NilError(t, <-router.done)
	delete(sr.routers, "a")
}
