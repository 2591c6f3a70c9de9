package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice"
)

// testMember is a mesh that counts what it hears.
type testMember struct {
	mesh   *Mesh
	server *httptest.Server
	cancel context.CancelFunc

	mu    sync.Mutex
	heard map[logservice.Offset]int
}

func (m *testMember) HandleLink(Hello) {}

func (m *testMember) HandleMessage(_ Hello, message Message) {
	if d, ok := message.(DocumentsOffset); ok {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.heard[d.AsOf]++
	}
}

func (m *testMember) HandleForward(call ForwardRequest) ForwardResponse {
	return ForwardResponse{Status: http.StatusOK, Body: []byte("answer to " + call.Key)}
}

func (m *testMember) hears(asOf logservice.Offset) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[asOf] > 0
}

func startTestMember(t *testing.T, id instancelist.ID, zone instancelist.Zone) *testMember {
	t.Helper()
	m := &testMember{heard: map[logservice.Offset]int{}}
	m.mesh = NewMesh(Config{
		Self: Hello{Instance: id, Incarnation: uuid.New(), Zone: zone}, Receiver: m, Logger: zap.NewNop(),
	})
	m.server = httptest.NewServer(m.mesh.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.mesh.Run(ctx)
	t.Cleanup(m.stop)
	return m
}

func (m *testMember) stop() {
	m.cancel()
	m.server.CloseClientConnections()
	m.server.Close()
}

func (m *testMember) listed() instancelist.Instance {
	return instancelist.Instance{
		ID: m.mesh.config.Self.Instance, Kind: instancelist.KindEntry, Zone: m.mesh.config.Self.Zone,
		Address: m.server.Listener.Addr().String(),
	}
}

// list puts the members on the platform's list, as each of them reads it.
func list(members ...*testMember) {
	var all []instancelist.Instance
	for _, m := range members {
		all = append(all, m.listed())
	}
	for _, m := range members {
		m.mesh.SetInstances(time.Now(), all)
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second))
}

func linked(m *testMember, others ...*testMember) bool {
	open := map[instancelist.ID]bool{}
	for _, hello := range m.mesh.Connected() {
		open[hello.Instance] = true
	}
	for _, other := range others {
		if !open[other.mesh.config.Self.Instance] {
			return false
		}
	}
	return true
}

// TestZoneReplaced replaces all instances of a zone at once.
func TestZoneReplaced(t *testing.T) {
	a1, a2 := startTestMember(t, "a1", "a"), startTestMember(t, "a2", "a")
	b1, b2 := startTestMember(t, "b1", "b"), startTestMember(t, "b2", "b")
	list(a1, a2, b1, b2)
	eventually(t, "links", func() bool { return linked(a1, a2) && linked(b1, b2) && len(a1.mesh.Connected()) >= 2 })
	b1.stop()
	b2.stop()
	b3, b4 := startTestMember(t, "b3", "b"), startTestMember(t, "b4", "b")
	list(a1, a2, b3, b4)
	eventually(t, "links of the new zone", func() bool {
		return linked(b3, b4) && linked(a1, a2) && !linked(a1, b1) && len(b3.mesh.Connected()) >= 2
	})
	a1.mesh.Broadcast(DocumentsOffset{AsOf: 7})
	eventually(t, "news in the new zone", func() bool { return b3.hears(7) || b4.hears(7) })
}

// TestGossipWithoutList tells only one instance about another; the others hear
// of it from their peers.
func TestGossipWithoutList(t *testing.T) {
	a, b, c := startTestMember(t, "a", "zone"), startTestMember(t, "b", "zone"), startTestMember(t, "c", "zone")
	a.mesh.SetInstances(time.Now(), []instancelist.Instance{b.listed()})
	c.mesh.SetInstances(time.Now(), []instancelist.Instance{a.listed()})
	eventually(t, "all linked", func() bool { return linked(a, b, c) && linked(b, a, c) && linked(c, a, b) })
}

// TestForward sends calls to incarnations that live, do not live any more, and
// have no link yet.
func TestForward(t *testing.T) {
	a, b, c := startTestMember(t, "a", "zone-a"), startTestMember(t, "b", "zone-a"), startTestMember(t, "c", "zone-c")
	list(a, b, c)
	eventually(t, "link", func() bool { return linked(a, b) })
	answer, ok := a.mesh.Forward(t.Context(), "b", b.mesh.config.Self.Incarnation, ForwardRequest{Key: "k"})
	assert.Assert(t, ok)
	assert.Equal(t, string(answer.Body), "answer to k")
	_, ok = a.mesh.Forward(t.Context(), "b", uuid.New(), ForwardRequest{Key: "k"})
	assert.Assert(t, !ok)
	_, ok = a.mesh.Forward(t.Context(), "c", c.mesh.config.Self.Incarnation, ForwardRequest{Key: "k"})
	assert.Assert(t, ok)
	_, ok = a.mesh.Forward(t.Context(), "nobody", uuid.New(), ForwardRequest{Key: "k"})
	assert.Assert(t, !ok)
}

// relay is a connection tracker between two ends. It can lose track of the
// connections that are open while new ones work.
type relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent map[net.Conn]bool
	open   []net.Conn
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{listener: listener, target: target, silent: map[net.Conn]bool{}}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go r.carry(near)
		}
	}()
	return r
}

func (r *relay) carry(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	r.mu.Lock()
	r.open = append(r.open, near)
	r.mu.Unlock()
	go r.copy(near, near, far)
	r.copy(near, far, near)
}

func (r *relay) copy(id net.Conn, to io.Writer, from io.Reader) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		lost := r.silent[id]
		r.mu.Unlock()
		if lost {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) loseTrack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		r.silent[c] = true
	}
}

// TestSilentLink makes an open link silent for good; a new one takes its
// place, although neither end saw an error.
func TestSilentLink(t *testing.T) {
	a, b := startTestMember(t, "a", "zone"), startTestMember(t, "b", "zone")
	r := startRelay(t, b.server.Listener.Addr().String())
	through := b.listed()
	through.Address = r.listener.Addr().String()
	a.mesh.SetInstances(time.Now(), []instancelist.Instance{through})
	eventually(t, "link", func() bool { return linked(a, b) })
	r.loseTrack()
	asOf := logservice.Offset(100)
	eventually(t, "news over a new link", func() bool {
		asOf++
		a.mesh.Broadcast(DocumentsOffset{AsOf: asOf})
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.heard) > 0
	})
}

// TestTopologyCost counts the links that each topology asks for at the sizes
// of the target.
func TestTopologyCost(t *testing.T) {
	const instances, zones = 340, 8
	var all []instancelist.Instance
	for i := range instances {
		all = append(all, instancelist.Instance{
			ID: instancelist.ID(fmt.Sprintf("e%03d", i)), Zone: instancelist.Zone(fmt.Sprint(i % zones)),
		})
	}
	for _, test := range []struct {
		topology Topology
		most     int
	}{
		{ZoneMesh{}, 64},
		{FullMesh{}, instances},
	} {
		links := map[[2]instancelist.ID]bool{}
		for _, self := range all {
			r := NewMembership(self.ID, self.Zone, test.topology)
			r.SetListed(time.Unix(0, 0), all)
			for _, target := range r.DialTargets(time.Unix(0, 0)) {
				links[[2]instancelist.ID{min(self.ID, target.ID), max(self.ID, target.ID)}] = true
			}
		}
		degree := map[instancelist.ID]int{}
		worst := 0
		for pair := range links {
			for _, id := range pair {
				degree[id]++
				worst = max(worst, degree[id])
			}
		}
		t.Logf("%T: %d links, at most %d for one instance", test.topology, len(links), worst)
		assert.Assert(t, worst <= test.most, "%T: %d", test.topology, worst)
	}
}
