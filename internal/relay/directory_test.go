package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

const self = deployment.InstanceID("self")

func testKey(b byte) Key { return Key{0: b, 1: 1} }

// model is what a test knows of each peer, kept apart from the Directory.
type model struct {
	peer    Peer
	listed  bool
	leaving bool
	told    bool
	reaches bool
	toldAt  time.Time
	load    int
	own     int
}

func (m *model) fresh(now time.Time) bool  { return m.told && now.Sub(m.toldAt) < reachingTimeout }
func (m *model) cutOff(now time.Time) bool { return m.fresh(now) && !m.reaches }
func (m *model) usable(now time.Time) bool { return m.listed && !m.leaving && !m.cutOff(now) }
func (m *model) known(now time.Time) bool  { return m.fresh(now) && m.reaches }

// play is a random sequence of calls of a Directory.
type play struct {
	directory *Directory
	now       time.Time
	models    map[deployment.InstanceID]*model
}

func newPlay() *play {
	return &play{directory: NewDirectory(self), now: time.Unix(1000, 0), models: map[deployment.InstanceID]*model{}}
}

func (p *play) list(t *rapid.T) {
	for _, m := range p.models {
		m.listed = false
	}
	peers := []Peer{{ID: self, Zone: "z0", Key: testKey(1)}, {ID: "keyless", Zone: "z0"}}
	for i := range rapid.IntRange(0, 8).Draw(t, "peers") {
		peers = append(peers, Peer{
			ID: deployment.InstanceID(fmt.Sprintf("i%d", i)), Zone: deployment.Zone(fmt.Sprintf("z%d", i%3)),
			Key: testKey(byte(rapid.IntRange(1, 2).Draw(t, "key"))),
		})
	}
	for _, peer := range peers[2:] {
		m, ok := p.models[peer.ID]
		if !ok || m.peer.Key != peer.Key {
			own := 0
			if ok {
				own = m.own
			}
			m = &model{own: own}
			p.models[peer.ID] = m
		}
		m.peer, m.listed = peer, true
	}
	for id, m := range p.models {
		if !m.listed && m.own == 0 {
			delete(p.models, id)
		}
	}
	p.directory.SetPeers(peers)
}

// step makes one call.
func (p *play) step(t *rapid.T) {
	p.now = p.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	id := deployment.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 8).Draw(t, "id")))
	m := p.models[id]
	if m == nil {
		m = &model{} // what is told of it must be ignored
	}
	switch rapid.IntRange(0, 6).Draw(t, "call") {
	case 0:
		p.list(t)
	case 1, 2:
		m.told, m.toldAt, m.reaches = true, p.now, rapid.Bool().Draw(t, "reaches")
		p.directory.SetReaching(p.now, id, m.reaches)
	case 3:
		m.load = rapid.IntRange(0, 5).Draw(t, "load")
		p.directory.SetLoad(id, m.load)
	case 4:
		m.leaving = true
		p.directory.SetLeaving(id)
	case 5:
		m.own++
		p.directory.Began(id)
	case 6:
		m.own = max(m.own-1, 0)
		p.directory.Ended(id)
		if !m.listed && m.own == 0 {
			delete(p.models, id)
		}
	}
}

// check chooses peers until there is none, and compares each choice with the model.
func (p *play) check(t *rapid.T, zone deployment.Zone) {
	tried := map[deployment.InstanceID]bool{}
	for calls := 0; ; calls++ {
		if calls > len(p.models) {
			t.Fatalf("chosen %d times of %d peers", calls, len(p.models))
		}
		chosen, ok := p.directory.Choose(p.now, zone, tried)
		usable := p.usable(tried)
		if ok != (len(usable) > 0) {
			t.Fatalf("chosen %v, %d can be", ok, len(usable))
		}
		if !ok {
			return
		}
		again, _ := p.directory.Choose(p.now, zone, tried)
		if again != chosen {
			t.Fatalf("%s, then %s", chosen.ID, again.ID)
		}
		p.checkChoice(t, zone, chosen, usable)
		tried[chosen.ID] = true
	}
}

func (p *play) usable(tried map[deployment.InstanceID]bool) []*model {
	var usable []*model
	for id, m := range p.models {
		if m.usable(p.now) && !tried[id] {
			usable = append(usable, m)
		}
	}
	return usable
}

// checkChoice checks that no usable peer is better than the chosen one.
func (p *play) checkChoice(t *rapid.T, zone deployment.Zone, chosen Peer, usable []*model) {
	m := p.models[chosen.ID]
	found := false
	for _, other := range usable {
		found = found || other == m
		switch {
		case other.known(p.now) != m.known(p.now):
			if other.known(p.now) {
				t.Fatalf("%s of unknown state before %s", chosen.ID, other.peer.ID)
			}
		case (other.peer.Zone == zone) != (m.peer.Zone == zone):
			if other.peer.Zone == zone {
				t.Fatalf("%s of another zone before %s", chosen.ID, other.peer.ID)
			}
		case other.load+other.own < m.load+m.own:
			t.Fatalf("%s with load %d before %s with %d", chosen.ID, m.load+m.own, other.peer.ID, other.load+other.own)
		}
	}
	if !found || chosen != m.peer {
		t.Fatalf("%s can't be chosen", chosen.ID)
	}
}

// TestUnusablePeerIsChosen guards against a request that goes to this instance itself, to a
// tried peer, one that is leaving or cut off, across zones without need, or to none although
// a peer could take it.
func TestUnusablePeerIsChosen(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		p := newPlay()
		p.list(t)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			p.step(t)
		}
		p.check(t, deployment.Zone(fmt.Sprintf("z%d", rapid.IntRange(0, 3).Draw(t, "zone"))))
	})
}

// listPeers returns a Directory with a number of peers of one zone, which all reach servers.
func listPeers(of deployment.InstanceID, now time.Time, count int) *Directory {
	d := NewDirectory(of)
	var list []Peer
	for i := range count {
		list = append(list, Peer{ID: deployment.InstanceID(fmt.Sprintf("i%d", i)), Zone: "z", Key: testKey(1)})
	}
	d.SetPeers(list)
	for _, peer := range list {
		d.SetReaching(now, peer.ID, true)
	}
	return d
}

// TestCutOffPeerStaysOut guards against a peer that is never used again after its links came
// back and the notice of that was lost.
func TestCutOffPeerStaysOut(t *testing.T) {
	now := time.Unix(1000, 0)
	d := listPeers(self, now, 1)
	d.SetReaching(now, "i0", false)
	_, ok := d.Choose(now.Add(reachingTimeout-1), "z", nil)
	assert.Assert(t, !ok)
	_, ok = d.Choose(now.Add(reachingTimeout), "z", nil)
	assert.Assert(t, ok)
}

// TestRestartedPeerStaysOut guards against a peer whose earlier process was leaving.
func TestRestartedPeerStaysOut(t *testing.T) {
	now := time.Unix(1000, 0)
	d := listPeers(self, now, 1)
	d.SetLeaving("i0")
	d.SetPeers([]Peer{{ID: "i0", Zone: "z", Key: testKey(1)}})
	_, ok := d.Choose(now, "z", nil)
	assert.Assert(t, !ok)
	d.SetPeers([]Peer{{ID: "i0", Zone: "z", Key: testKey(2)}})
	chosen, ok := d.Choose(now, "z", nil)
	assert.Assert(t, ok)
	assert.Equal(t, chosen.Key, testKey(2))
}

// TestCutOffInstancesCrowdOnePeer guards against instances that all relay to the same peer.
func TestCutOffInstancesCrowdOnePeer(t *testing.T) {
	const senders, peers, requests = 12, 4, 8
	now := time.Unix(1000, 0)
	counts := map[deployment.InstanceID]int{}
	for i := range senders {
		d := listPeers(deployment.InstanceID(fmt.Sprintf("sender-%d", i)), now, peers)
		for range requests {
			chosen, ok := d.Choose(now, "z", nil)
			assert.Assert(t, ok)
			d.Began(chosen.ID)
			counts[chosen.ID]++
		}
	}
	for id, count := range counts {
		assert.Equal(t, count, senders*requests/peers, id)
	}
	first := map[deployment.InstanceID]bool{}
	for i := range senders {
		chosen, _ := listPeers(deployment.InstanceID(fmt.Sprintf("sender-%d", i)), now, peers).Choose(now, "z", nil)
		first[chosen.ID] = true
	}
	assert.Assert(t, len(first) > 1, "all prefer %v", first)
}

// TestEndedRequestsLeaveNoLoad guards against a peer that looks busy for ever, or less busy
// than it is because an end was counted twice.
func TestEndedRequestsLeaveNoLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewSharedDirectory(self)
	d.SetPeers([]Peer{{ID: "a", Zone: "z", Key: testKey(1)}, {ID: "b", Zone: "z", Key: testKey(1)}})
	d.SetLoad("b", 1)
	d.SetReaching(now, "a", true)
	d.SetReaching(now, "b", true)
	first, endFirst, ok := d.Begin(now, "z", nil)
	assert.Assert(t, ok && first.ID == "a")
	endFirst()
	endFirst()
	again, endAgain, _ := d.Begin(now, "z", nil)
	assert.Equal(t, again.ID, first.ID)
	d.SetPeers(nil)
	_, end, ok := d.Begin(now, "z", nil)
	assert.Assert(t, !ok)
	end()
	endAgain()
	assert.Equal(t, len(d.directory.peers), 0)
}
