package router

import (
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// drainTime is the platform's bound on how long after a response in which a server says that it leaves
// requests from there may still reach it.
const drainTime = 2 * time.Second

// leave makes servers say that they leave.
func (sr *scriptRunner) leave(which []string) {
	if which[0] != "first" {
		sr.server(which[0]).Leave()
		return
	}
	for _, server := range sr.cluster.Servers() {
		if server.Zone() == which[1] && server.Layers().Contains(deployment.LayerRange{First: 0, End: 1}) {
			server.Leave()
		}
	}
}

// notice is that a router has returned a response in which a server says that it leaves.
type notice struct {
	router deployment.InstanceID
	server string
}

// checkLeftAlone checks that no request that a client sent later than drainTime after a router had
// returned a response in which a server says that it leaves reached that server through the router: from
// it, or from a peer to which it relayed the request.
func (sr *scriptRunner) checkLeftAlone() {
	sr.t.Helper()
	noticed := map[notice]time.Time{}
	for _, try := range sr.steady.tries {
		key := notice{router: deployment.InstanceID(try.router), server: try.leaver}
		if at, ok := noticed[key]; try.leaver != "" && (!ok || try.answeredAt.Before(at)) {
			noticed[key] = try.answeredAt
		}
	}
	assert.Assert(sr.t, len(noticed) > 0, "no router returned a response in which a server says that it leaves")
	late := func(router deployment.InstanceID, try firstTry, delivery platformtest.Delivery) bool {
		at, ok := noticed[notice{router: router, server: delivery.Server}]
		return ok && try.sent.After(at.Add(drainTime))
	}
	for _, try := range sr.steady.tries {
		for _, delivery := range sr.cluster.Deliveries(try.id) {
			if taken := deployment.InstanceID(try.router); late(taken, try, delivery) || late(delivery.Sender, try, delivery) {
				sr.t.Errorf("%s %s, taken by %s, reached %s from %s, which had said that it leaves", try.route, try.id, taken, delivery.Server, delivery.Sender)
			}
		}
	}
}
