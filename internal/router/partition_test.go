package router

import "time"

// endingInterval is the pause between two sends of sendEndingAt.
const endingInterval = 300 * time.Millisecond

// partition cuts routers off from all their peers, or ends that.
func (sr *scriptRunner) partition(routers []string, cut bool) {
	for _, name := range routers {
		sr.routers[name].peers.Set(cut)
	}
}

// sendEndingAt sends the request that ends servers to routers in turn, one after the other, each once enough servers run.
func (sr *scriptRunner) sendEndingAt(routers []string) {
	for _, name := range routers {
		sr.await("ending-at", func() bool { return sr.cluster.Up() >= endsToKnow })
		sr.request(name, "any/ends")
		time.Sleep(endingInterval)
	}
}

// awaitPeers waits until each router is linked with all others, as those of zones with two routers are.
func (sr *scriptRunner) awaitPeers() {
	sr.await("linked", func() bool {
		for _, r := range sr.routers {
			if len(r.router.mesh.Connected()) < len(sr.routers)-1 {
				return false
			}
		}
		return true
	})
}
