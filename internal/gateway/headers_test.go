package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/relay"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

// TestAttemptsTellThePriority guards against an attempt that a backend server runs as the most urgent
// one since it has no priority: also a resumed one, and one for a peer that has relayed it.
func TestAttemptsTellThePriority(t *testing.T) {
	service := deployment.Service{Name: "model", Engine: &deployment.Engine{Layers: 1}}
	route := func(priority int) deployment.Route {
		return deployment.Route{Priority: priority, Targets: []deployment.WeightedService{{Service: "model", Weight: 1}}}
	}
	var table routing.ActiveTable
	table.UpdateIfNewer(deployment.Configuration{Version: 1, Routes: []deployment.Route{route(0), route(4)}, Services: []deployment.Service{service}})
	g := &Gateway{Config: Config{RoutingTable: &table}}
	path := pipeline.Path{IDs: []deployment.BackendID{"s"}}
	relayed := g.relayedCall(time.Now(), &relay.Request{Rank: routing.Rank{Priority: 4, Route: 4}, Remaining: time.Second, Header: http.Header{}}, &service)
	active, _ := table.Load()
	own := &call{request: backend.Request{Header: http.Header{}}, priorityHeader: priorityHeader(active, "model", routing.Rank{Priority: 4, Route: 4})}
	for _, c := range []*call{relayed, own} {
		for _, resumed := range []bool{false, true} {
			s := &stream{gateway: g, call: c, hasLastEventID: resumed}
			assert.Equal(t, s.backendRequest(path, time.Now()).Header.Get(platform.HeaderPriority), "1")
		}
	}
	equal := &stream{gateway: g, call: &call{request: backend.Request{Header: http.Header{}}}}
	_, sent := equal.backendRequest(path, time.Now()).Header[platform.HeaderPriority]
	assert.Assert(t, !sent)
}
