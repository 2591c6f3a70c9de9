package gateway

import (
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// refusalMemory is how long a peer that does not reach a service is not asked again.
const refusalMemory = time.Second

// refusals remembers which peers have lately refused requests for a service, as they do not
// reach its servers either. It is safe for concurrent use.
type refusals struct {
	mu sync.Mutex
	at map[deployment.ServiceName]map[deployment.InstanceID]time.Time
}

func (r *refusals) record(now time.Time, service deployment.ServiceName, peer deployment.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at == nil {
		r.at = map[deployment.ServiceName]map[deployment.InstanceID]time.Time{}
	}
	if r.at[service] == nil {
		r.at[service] = map[deployment.InstanceID]time.Time{}
	}
	r.at[service][peer] = now
}

// recent returns the peers that are not to be asked, as a new map.
func (r *refusals) recent(now time.Time, service deployment.ServiceName) map[deployment.InstanceID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := map[deployment.InstanceID]bool{}
	for peer, at := range r.at[service] {
		if now.Sub(at) >= refusalMemory {
			delete(r.at[service], peer)
			continue
		}
		peers[peer] = true
	}
	return peers
}
