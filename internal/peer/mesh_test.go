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

// testMember is a mesh that counts the DocumentsOffset messages that it receives.
type testMember struct {
	mesh   *Mesh
	server *httptest.Server
	cancel context.CancelFunc

	mu       sync.Mutex
	received map[logservice.Offset]int
}

func (m *testMember) HandleLink(Hello) {}

func (m *testMember) HandleMessage(_ Hello, message Message) {
	if d, ok := message.(DocumentsOffset); ok {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.received[d.AsOf]++
	}
}

func (m *testMember) HandleForward(request ForwardRequest) ForwardResponse {
	return ForwardResponse{Status: http.StatusOK, Body: []byte("response to " + request.Key)}
}

func (m *testMember) hasReceived(asOf logservice.Offset) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received[asOf] > 0
}

func startTestMember(t *testing.T, id instancelist.ID, zone instancelist.Zone) *testMember {
	t.Helper()
	m := &testMember{received: map[logservice.Offset]int{}}
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

func (m *testMember) instance() instancelist.Instance {
	return instancelist.Instance{
		ID: m.mesh.config.Self.Instance, Kind: instancelist.KindEntry, Zone: m.mesh.config.Self.Zone,
		Address: m.server.Listener.Addr().String(),
	}
}

// setInstances passes all members to each of them as the platform's list.
func setInstances(members ...*testMember) {
	var all []instancelist.Instance
	for _, m := range members {
		all = append(all, m.instance())
	}
	for _, m := range members {
		m.mesh.SetInstances(time.Now(), all)
	}
}

func waitFor(t *testing.T, what string, holds func() bool) {
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

// TestZoneReplaced checks that the links of a zone are rebuilt, and messages from
// another zone arrive, after all its instances were replaced at once.
func TestZoneReplaced(t *testing.T) {
	a1, a2 := startTestMember(t, "a1", "a"), startTestMember(t, "a2", "a")
	b1, b2 := startTestMember(t, "b1", "b"), startTestMember(t, "b2", "b")
	setInstances(a1, a2, b1, b2)
	waitFor(t, "links", func() bool { return linked(a1, a2) && linked(b1, b2) && len(a1.mesh.Connected()) >= 2 })
	b1.stop()
	b2.stop()
	b3, b4 := startTestMember(t, "b3", "b"), startTestMember(t, "b4", "b")
	setInstances(a1, a2, b3, b4)
	waitFor(t, "links of the new zone", func() bool {
		return linked(b3, b4) && linked(a1, a2) && !linked(a1, b1) && len(b3.mesh.Connected()) >= 2
	})
	a1.mesh.Broadcast(DocumentsOffset{AsOf: 7})
	waitFor(t, "message in the new zone", func() bool { return b3.hasReceived(7) || b4.hasReceived(7) })
}

// TestGossipWithoutList checks that instances which the platform's list does not name
// are learned from peers: a and c each know one other instance, b knows none.
func TestGossipWithoutList(t *testing.T) {
	a, b, c := startTestMember(t, "a", "zone"), startTestMember(t, "b", "zone"), startTestMember(t, "c", "zone")
	a.mesh.SetInstances(time.Now(), []instancelist.Instance{b.instance()})
	c.mesh.SetInstances(time.Now(), []instancelist.Instance{a.instance()})
	waitFor(t, "all linked", func() bool { return linked(a, b, c) && linked(b, a, c) && linked(c, a, b) })
}

// TestForward forwards requests to a linked instance, to an incarnation that no longer
// runs, to an instance without a link, and to an unknown instance.
func TestForward(t *testing.T) {
	a, b, c := startTestMember(t, "a", "zone-a"), startTestMember(t, "b", "zone-a"), startTestMember(t, "c", "zone-c")
	setInstances(a, b, c)
	waitFor(t, "link", func() bool { return linked(a, b) })
	response, ok := a.mesh.Forward(t.Context(), "b", b.mesh.config.Self.Incarnation, ForwardRequest{Key: "k"})
	assert.Assert(t, ok)
	assert.Equal(t, string(response.Body), "response to k")
	_, ok = a.mesh.Forward(t.Context(), "b", uuid.New(), ForwardRequest{Key: "k"})
	assert.Assert(t, !ok)
	_, ok = a.mesh.Forward(t.Context(), "c", c.mesh.config.Self.Incarnation, ForwardRequest{Key: "k"})
	assert.Assert(t, ok)
	_, ok = a.mesh.Forward(t.Context(), "nobody", uuid.New(), ForwardRequest{Key: "k"})
	assert.Assert(t, !ok)
}

// tcpProxy relays TCP connections. Like a connection tracker that loses its state, it
// can drop all further data of the open connections while new ones work.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	dropping map[net.Conn]bool
	open     []net.Conn
}

func startProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &tcpProxy{listener: listener, target: target, dropping: map[net.Conn]bool{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.proxy(client)
		}
	}()
	return p
}

func (p *tcpProxy) proxy(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.open = append(p.open, client)
	p.mu.Unlock()
	go p.copy(client, client, server)
	p.copy(client, server, client)
}

func (p *tcpProxy) copy(conn net.Conn, to io.Writer, from io.Reader) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		drop := p.dropping[conn]
		p.mu.Unlock()
		if drop {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *tcpProxy) dropOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		p.dropping[c] = true
	}
}

// TestUnresponsiveLink guards against a link that stays open after a connection tracker
// on the path has lost its state: no data arrives, and neither end sees an error. A new
// link must replace it.
func TestUnresponsiveLink(t *testing.T) {
	a, b := startTestMember(t, "a", "zone"), startTestMember(t, "b", "zone")
	proxy := startProxy(t, b.server.Listener.Addr().String())
	proxied := b.instance()
	proxied.Address = proxy.listener.Addr().String()
	a.mesh.SetInstances(time.Now(), []instancelist.Instance{proxied})
	waitFor(t, "link", func() bool { return linked(a, b) })
	proxy.dropOpen()
	asOf := logservice.Offset(100)
	waitFor(t, "message over a new link", func() bool {
		asOf++
		a.mesh.Broadcast(DocumentsOffset{AsOf: asOf})
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.received) > 0
	})
}

// TestTopologyCost limits the number of links of one instance in ZoneMesh and FullMesh,
// with 340 instances in 8 zones.
func TestTopologyCost(t *testing.T) {
	const instances, zones = 340, 8
	var all []instancelist.Instance
	for i := range instances {
		all = append(all, instancelist.Instance{
			ID: instancelist.ID(fmt.Sprintf("e%03d", i)), Zone: instancelist.Zone(fmt.Sprint(i % zones)),
		})
	}
	for _, test := range []struct {
		topology  Topology
		maxDegree int
	}{
		{ZoneMesh{}, 64},
		{FullMesh{}, instances},
	} {
		links := map[[2]instancelist.ID]bool{}
		for _, self := range all {
			membership := NewMembership(self.ID, self.Zone, test.topology)
			membership.SetListed(time.Unix(0, 0), all)
			for _, target := range membership.DialTargets(time.Unix(0, 0)) {
				links[[2]instancelist.ID{min(self.ID, target.ID), max(self.ID, target.ID)}] = true
			}
		}
		degree := map[instancelist.ID]int{}
		highest := 0
		for pair := range links {
			for _, id := range pair {
				degree[id]++
				highest = max(highest, degree[id])
			}
		}
		t.Logf("%T: %d links, at most %d for one instance", test.topology, len(links), highest)
		assert.Assert(t, highest <= test.maxDegree, "%T: %d", test.topology, highest)
	}
}

// TestRunEndsWithOpenLinks guards against a mesh that waits for itself when it closes its
// links at the end.
func TestRunEndsWithOpenLinks(t *testing.T) {
	b := startTestMember(t, "b", "zone")
	a := &testMember{received: map[logservice.Offset]int{}}
	a.mesh = NewMesh(Config{Self: Hello{Instance: "a", Incarnation: uuid.New(), Zone: "zone"}, Receiver: a, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		a.mesh.Run(ctx)
		close(ended)
	}()
	a.mesh.SetInstances(time.Now(), []instancelist.Instance{b.instance()})
	waitFor(t, "link", func() bool { return linked(a, b) })
	cancel()
	waitFor(t, "end of Run", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	assert.Equal(t, a.mesh.Stats().Links, 0)
}
