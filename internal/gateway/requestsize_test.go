package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

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
