package router

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/peer"
)

// meetInterval is the pause between two meetings of the request that ends servers.
const meetInterval = 300 * time.Millisecond

// separate cuts routers off from all their peers, or ends that.
func (sr *scriptRunner) separate(routers []string, cut bool) {
	for _, name := range routers {
		sr.routers[name].peers.Set(cut)
	}
}

// meet sends the request that ends servers to routers in turn, one after the other, each once enough servers run.
func (sr *scriptRunner) meet(routers []string) {
	for _, name := range routers {
		sr.await("meet", func() bool { return sr.cluster.Up() >= endsToKnow })
		sr.request(name, "any/ends")
		time.Sleep(meetInterval)
	}
}

// awaitPeers waits until the routers are linked with one another as they should be.
func (sr *scriptRunner) awaitPeers() {
	sr.await("linked", func() bool {
		for _, r := range sr.routers {
			if len(r.router.mesh.Connected()) == 0 || r.router.mesh.MissingLinks() != (peer.MissingLinks{}) {
				return false
			}
		}
		return true
	})
}
