package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/platform"
)

func testFleet(now time.Time) (*backend.Fleet, *deployment.Service) {
	fleet := backend.NewFleet()
	fleet.Replace(now, []deployment.Backend{{
		ID: "i-1", Service: "svc", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Accelerator: "h100",
		Layers: deployment.LayerRange{First: 0, End: 80},
	}})
	return fleet, &deployment.Service{Name: "svc", Engine: &deployment.Engine{Layers: 80}}
}

// TestClientThatLeavesBlamesNobody: the client leaves while its request connects to
// the first stage. That failed before: the stage was suspected, and with it every
// path through it.
func TestClientThatLeavesBlamesNobody(t *testing.T) {
	now := time.Now()
	fleet, service := testFleet(now)
	s := &stream{gateway: &Gateway{Config: Config{Fleet: fleet}}, ran: map[deployment.BackendID]bool{}}
	path := pipeline.Path{Hops: []deployment.Hop{{Address: "10.0.0.1:80"}}, IDs: []deployment.BackendID{"i-1"}}
	left, leave := context.WithCancel(context.Background())
	leave()
	refused := &backend.NotSentError{Address: "10.0.0.1:80", Cause: errors.New("operation was canceled")}
	s.noteFailure(left, path, refused)
	assert.Equal(t, len(fleet.Stages(now, service)), 1)
	s.noteFailure(context.Background(), path, refused)
	assert.Equal(t, len(fleet.Stages(now, service)), 0)
}

// TestClientThatLeavesEjectsNobody is the same for plain services.
func TestClientThatLeavesEjectsNobody(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	broken := unknown{cause: errors.New("use of closed network connection")}
	assert.Equal(t, resultOf(left, broken), backend.Inconclusive)
	assert.Equal(t, resultOf(context.Background(), broken), backend.Failed)
}

// TestBlockedRequestMayComeBack: a request that breaks its backend servers is refused
// with the time for which that holds.
func TestBlockedRequestMayComeBack(t *testing.T) {
	g := limitedGateway()
	request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	request.Header.Set(platform.HeaderRequestID, "1")
	accepted, refused := g.accept(httptest.NewRecorder(), request, time.Now())
	assert.Assert(t, refused == nil)
	for range crashLimit {
		g.crashes.note(time.Now(), accepted.fingerprint)
	}
	answer := httptest.NewRecorder()
	g.ServeHTTP(answer, request)
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Header().Get(platform.HeaderRetryAfter), platform.FormatRetryAfter(crashMemory))
}
