package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// reachingTimeout is the age from which it counts as unknown whether a peer reaches backend
// servers.
const reachingTimeout = 3 * time.Second

// reach is whether a peer reaches backend servers.
type reach int

const (
	reachUnknown reach = iota
	reachesServers
	cutOff
)

// peerState is what is known of one peer.
type peerState struct {
	peer    Peer
	listed  bool
	leaving bool
	reach   reach
	reachAt time.Time
	load    int // requests in flight, as told
	relayed int // this instance's own relayed requests in flight
}

// Directory knows the peers and chooses one for a request. It is not safe for concurrent
// use; see SharedDirectory.
type Directory struct {
	self  deployment.InstanceID
	peers map[deployment.InstanceID]*peerState
}

// NewDirectory returns a Directory without peers for an instance.
func NewDirectory(self deployment.InstanceID) *Directory {
	return &Directory{self: self, peers: map[deployment.InstanceID]*peerState{}}
}

// SetPeers replaces the list of peers. What was known of a peer with another key or address
// is forgotten, since it was another process.
func (d *Directory) SetPeers(list []Peer) {
	for _, state := range d.peers {
		state.listed = false
	}
	for _, peer := range list {
		d.setPeer(peer)
	}
	for id := range d.peers {
		d.removeUnused(id)
	}
}

func (d *Directory) setPeer(peer Peer) {
	if peer.ID == d.self || peer.Key.IsZero() {
		return
	}
	state, ok := d.peers[peer.ID]
	switch {
	case !ok:
		state = &peerState{}
		d.peers[peer.ID] = state
	case state.peer.Key != peer.Key || state.peer.Address != peer.Address:
		*state = peerState{relayed: state.relayed}
	}
	state.peer = peer
	state.listed = true
}

// removeUnused removes a peer that is neither listed nor has relayed requests in flight.
func (d *Directory) removeUnused(id deployment.InstanceID) {
	if state := d.peers[id]; !state.listed && state.relayed == 0 {
		delete(d.peers, id)
	}
}

// SetReaching records whether a peer reaches backend servers, as it told. Peers that are
// not listed are ignored, here and in the other setters.
func (d *Directory) SetReaching(now time.Time, id deployment.InstanceID, reaching bool) {
	state, ok := d.peers[id]
	if !ok {
		return
	}
	state.reachAt = now
	state.reach = cutOff
	if reaching {
		state.reach = reachesServers
	}
}

// SetLoad records how many requests a peer has in flight, as it told.
func (d *Directory) SetLoad(id deployment.InstanceID, requests int) {
	if state, ok := d.peers[id]; ok {
		state.load = max(requests, 0)
	}
}

// SetLeaving records that the process of a peer is shutting down.
func (d *Directory) SetLeaving(id deployment.InstanceID) {
	if state, ok := d.peers[id]; ok {
		state.leaving = true
	}
}

// Began counts a request that this instance relays to a peer.
func (d *Directory) Began(id deployment.InstanceID) {
	if state, ok := d.peers[id]; ok {
		state.relayed++
	}
}

// Ended ends the count of Began.
func (d *Directory) Ended(id deployment.InstanceID) {
	state, ok := d.peers[id]
	if !ok || state.relayed == 0 {
		return
	}
	state.relayed--
	d.removeUnused(id)
}

// Choose returns the peer for a request, and false if there is none. It prefers peers that
// are known to reach backend servers, then those of the zone, then the least loaded. It
// leaves out those in tried, those that are leaving and those that are known to be cut off.
func (d *Directory) Choose(now time.Time, zone deployment.Zone, tried map[deployment.InstanceID]bool) (Peer, bool) {
	var best *candidate
	for id, state := range d.peers {
		if tried[id] || !state.usable(now) {
			continue
		}
		c := d.candidate(now, zone, state)
		if best == nil || c.before(best) {
			best = c
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return best.peer, true
}

func (s *peerState) usable(now time.Time) bool {
	return s.listed && !s.leaving && s.reachNow(now) != cutOff
}

// reachNow returns whether the peer reaches backend servers, as far as what is known is
// fresh.
func (s *peerState) reachNow(now time.Time) reach {
	if now.Sub(s.reachAt) >= reachingTimeout {
		return reachUnknown
	}
	return s.reach
}

// candidate is a peer with what decides between peers.
type candidate struct {
	peer     Peer
	reaching bool
	ownZone  bool
	load     int
	// weight differs from instance to instance, so that they prefer different peers of
	// equal load.
	weight uint64
}

func (d *Directory) candidate(now time.Time, zone deployment.Zone, state *peerState) *candidate {
	return &candidate{
		peer: state.peer, reaching: state.reachNow(now) == reachesServers, ownZone: state.peer.Zone == zone,
		load: state.load + state.relayed, weight: xxhash.Sum64String(string(d.self) + "\x00" + string(state.peer.ID)),
	}
}

// before reports whether c is preferred to other. It is a strict order over peers.
func (c *candidate) before(other *candidate) bool {
	switch {
	case c.reaching != other.reaching:
		return c.reaching
	case c.ownZone != other.ownZone:
		return c.ownZone
	case c.load != other.load:
		return c.load < other.load
	case c.weight != other.weight:
		return c.weight < other.weight
	}
	return c.peer.ID < other.peer.ID
}
