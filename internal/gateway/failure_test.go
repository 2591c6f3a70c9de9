package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/platform"
)

func testFleet(now time.Time) (*backend.Fleet, *deployment.Service) {
	fleet := backend.NewFleet("")
	fleet.Replace(now, []deployment.Backend{{
		ID: "i-1", Service: "svc", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Accelerator: "h100",
		Layers: deployment.LayerRange{First: 0, End: 80},
	}})
	return fleet, &deployment.Service{Name: "svc", Engine: &deployment.Engine{Layers: 80}}
}

// TestClientDisconnectDoesNotSuspectStage guards against suspecting the first stage,
// and so every path through it, when the client disconnects while its request is
// connecting to that stage.
func TestClientDisconnectDoesNotSuspectStage(t *testing.T) {
	now := time.Now()
	fleet, service := testFleet(now)
	s := &stream{gateway: &Gateway{Config: Config{Fleet: fleet, OnObservation: func(deployment.BackendID, backend.Observation) {}}}, ran: map[deployment.BackendID]bool{}}
	path := pipeline.Path{Hops: []deployment.Hop{{Address: "10.0.0.1:80"}}, IDs: []deployment.BackendID{"i-1"}}
	disconnected, disconnect := context.WithCancel(context.Background())
	disconnect()
	notSent := &backend.NotSentError{Address: "10.0.0.1:80", Cause: errors.New("operation was canceled")}
	s.recordFailure(disconnected, reservation{path: path}, notSent)
	assert.Equal(t, len(fleet.Stages(now, service)), 1)
	s.recordFailure(context.Background(), reservation{path: path}, notSent)
	assert.Equal(t, len(fleet.Stages(now, service)), 0)
}

// TestUnsentAttemptIsNoRetry guards against a retry budget that is spent on connections which a
// server that has ended refuses.
func TestUnsentAttemptIsNoRetry(t *testing.T) {
	now := time.Now()
	fleet, _ := testFleet(now)
	s := &stream{gateway: testGateway(fleet), ran: map[deployment.BackendID]bool{}}
	reserved := testReservation(t, fleet, now)
	reserved.budget = retrybudget.NewWindowBudget(now.Add(-time.Hour), retrybudget.Bounds{Reserve: 1, Window: time.Minute}, 1)
	assert.Assert(t, reserved.budget.Take(now, true))
	s.recordFailure(context.Background(), reserved, &backend.NotSentError{Cause: errors.New("connection refused")})
	assert.Assert(t, reserved.budget.Take(now, true))
}

// TestClientDisconnectIsNotABackendFailure is the same check for buffered requests: a
// canceled attempt must not count towards the backend server's ejection.
func TestClientDisconnectIsNotABackendFailure(t *testing.T) {
	disconnected, disconnect := context.WithCancel(context.Background())
	disconnect()
	broken := unknown{cause: errors.New("use of closed network connection")}
	assert.Equal(t, backendResult(disconnected, broken), backend.Inconclusive)
	assert.Equal(t, backendResult(context.Background(), broken), backend.Failed)
}

// TestQuarantinedRequestGetsRetryAfter checks that a held request is rejected at once with
// a Retry-After.
func TestQuarantinedRequestGetsRetryAfter(t *testing.T) {
	g := limitedGateway()
	request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	request.Header.Set(platform.HeaderRequestID, "1")
	accepted, rejection := g.accept(httptest.NewRecorder(), request, time.Now())
	assert.Assert(t, rejection == nil)
	now := time.Now()
	for i := range 3 {
		g.MergePoisonEvidence(now, "peer", poison.Evidence{Ends: []poison.End{{
			Incarnation: deployment.Incarnation{Server: deployment.BackendID(fmt.Sprintf("i-%d", i))},
			Age:         time.Duration(2*i) * time.Second,
			Blamed:      []poison.Blamed{{Attempt: poison.Attempt(i), Keys: accepted.keys}},
		}}})
	}
	response := httptest.NewRecorder()
	g.ServeHTTP(response, request)
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header().Get(platform.HeaderRetryAfter), platform.FormatRetryAfter(heldBackRetryAfter))
}

// TestServersOfAPathThatEndTogether guards against servers that are lost together and found one by
// one, each time with other requests to blame: the part that these share is then held.
func TestServersOfAPathThatEndTogether(t *testing.T) {
	refusing := func() deployment.Address {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { assert.NilError(t, listener.Close()) }()
		return deployment.Address(listener.Addr().String())
	}
	fleet := backend.NewFleet("a")
	path := []deployment.Backend{
		{ID: "first", Service: "svc", Address: refusing(), Zone: "a"},
		{ID: "second", Service: "svc", Address: refusing(), Zone: "a"},
		{ID: "sound", Service: "svc", Address: silentStage(t, 0), Zone: "a"},
	}
	fleet.Replace(time.Now(), path)
	ends := testGateway(fleet).ends
	ended := func(server deployment.Backend) bool {
		ends.mu.Lock()
		defer ends.mu.Unlock()
		return ends.tracker.Ended(server.Incarnation())
	}
	checking := func() bool {
		ends.mu.Lock()
		defer ends.mu.Unlock()
		return len(ends.checks) > 0 || len(ends.othersCheckedAt) < 2
	}
	assert.Assert(t, ends.checkEnds(context.Background(), []suspectedEnd{{server: path[0], at: time.Now(), others: otherStages(path, path[0])}}))
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit) && (checking() || !ended(path[1])); {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, ended(path[1]), "the second one refuses connections too")
	assert.Assert(t, !ended(path[2]))
}
