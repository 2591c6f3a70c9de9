package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

// sizedGateway returns a gateway with a stage whose streams have streamEvents events, and a
// function that sends a stream and returns its call.
func sizedGateway(t *testing.T) (*Gateway, func(lastEventID string) *call) {
	fleet := backend.NewFleet("a")
	engine := &deployment.Engine{
		Layers: 1, LayerSize: 1, Stride: engineStride, StepTime: time.Millisecond, TypicalPromptTokens: 700, TypicalOutputTokens: 10,
		Accelerators: map[string]deployment.Accelerator{"x": {Memory: 1000, StepFactor: 1}},
	}
	service := &deployment.Service{Name: "m", Engine: engine}
	fleet.Put(deployment.Backend{
		ID: "s", Service: "m", Address: silentStage(t, 0), Zone: "a", Slots: 10, Accelerator: "x", Layers: deployment.LayerRange{End: 1},
	})
	g := testGateway(fleet)
	route := &deployment.Route{Name: "r", Kind: deployment.Streaming, MaxAttempts: 1, TargetLatency: time.Second}
	return g, func(lastEventID string) *call {
		now := time.Now()
		c := &call{
			id: "q", started: now, deadline: now.Add(time.Minute), service: service, decision: routing.Decision{Route: route, Team: "t"},
			request: backend.Request{Method: http.MethodPost, URI: "/", Host: "h", ID: "q", Header: http.Header{}},
			size:    deployment.RequestSize{PromptTokens: 100, MaxOutputTokens: 1000, ExpectedOutput: 1},
		}
		if lastEventID != "" {
			c.request.Header.Set(platform.HeaderLastEventID, lastEventID)
		}
		func() {
			defer func() { _ = recover() }() // a stream that breaks off aborts the handler
			g.serveStream(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil), c)
		}()
		return c
	}
}

// TestOutputsAreLearned guards against outputs that are not recorded, or recorded in events in
// place of tokens.
func TestOutputsAreLearned(t *testing.T) {
	g, send := sizedGateway(t)
	first := send("")
	assert.Assert(t, first.expected.Output < 10, "the typical output and the estimate of 1: %v", first.expected)
	var last *call
	for range 30 {
		last = send("")
	}
	assert.Assert(t, last.expected.Output > 20 && last.expected.Output < 31, "half of 60, as the estimate is 1: %v", last.expected)
	assert.Equal(t, last.expected.HighOutput, float64(streamEvents*engineStride))
	queued := (&pathRequest{gateway: g, call: last}).admissionRequest()
	assert.Equal(t, queued.Work, float64(last.expected.Work))
	last.size = deployment.RequestSize{}
	assert.Equal(t, (&pathRequest{gateway: g, call: last}).admissionRequest().Work, 0.0, "a request without a stated size counts as a typical one")
	registry := prometheus.NewRegistry()
	registry.MustRegister(g.Metrics.estimates)
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, families[0].GetMetric()[0].GetHistogram().GetSampleCount(), uint64(31))
}

// engineStride is the stride of sizedGateway.
const engineStride = 20

// TestClientEventIsNoOutput guards against a client that names a Last-Event-Id to change what its
// route is expected to need.
func TestClientEventIsNoOutput(t *testing.T) {
	g, send := sizedGateway(t)
	for range 30 {
		send("2")
	}
	tokens := g.service("m").sizes.estimator.Estimate(time.Now(), "r", send("").service.Engine, g.service("m").sizes.rates, deployment.RequestSize{PromptTokens: 1})
	assert.Equal(t, tokens.Output, 10.0)
}

// TestTeamIsChargedForItsUse guards against a team that is charged for the work of its streams as
// it was expected, though they have used more.
func TestTeamIsChargedForItsUse(t *testing.T) {
	g, send := sizedGateway(t)
	c, now := send(""), time.Now()
	q := &g.queue("m").admission
	push := func(team deployment.Team, work float64) *admission.Request {
		r := &admission.Request{Team: team, Arrived: now, Deadline: now.Add(time.Hour), Work: work}
		q.Push(now, r)
		return r
	}
	small, other := push("t", 1), push("u", 10)
	next, otherNext := push("t", 1), push("u", 1)
	q.Admit(now, small)
	q.Admit(now, other)
	assert.Equal(t, q.Ordered(now)[0], next)
	s := &stream{gateway: g, call: c, admitted: small, lastEventID: streamEvents, hasLastEventID: true}
	s.recordSize(now, streamComplete)
	assert.Equal(t, q.Ordered(now)[0], otherNext)
}
