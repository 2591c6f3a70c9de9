package peer

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

const (
	// LinkPath is where an entry instance accepts links.
	LinkPath = "/v1/peer"

	maxMessageBytes = 64 << 20
	dialTimeout     = 1 * time.Second
	writeTimeout    = 2 * time.Second
	beatInterval    = 1 * time.Second
	// silenceTimeout ends a link that carried nothing for so long.
	silenceTimeout  = 3 * time.Second
	maintainEvery   = 250 * time.Millisecond
	membersInterval = 10 * time.Second
	forwardTimeout  = 15 * time.Second
	linkQueue       = 1024
)

// Receiver gets what the mesh hears. Its methods must not block.
type Receiver interface {
	// HandleLink is called for each new link, before its first message.
	HandleLink(from Hello)
	// HandleMessage is called for each message but those of the mesh itself.
	HandleMessage(from Hello, message Message)
	// HandleForward serves a forwarded call; it runs in a goroutine of its own.
	HandleForward(call ForwardRequest) ForwardResponse
}

// Config is what a mesh works with.
type Config struct {
	Self     Hello
	Receiver Receiver
	Logger   *zap.Logger
	// Seeds are addresses of instances to be tried while there is no link. They may
	// be gone.
	Seeds []string
	// Topology is ZoneMesh where it is nil.
	Topology Topology
}

// Stats counts what a mesh has sent and received.
type Stats struct {
	Links         int
	SentBytes     uint64
	SentMessages  uint64
	ReceivedBytes uint64
}

// Mesh keeps the links to other entry instances.
type Mesh struct {
	config Config

	mu      sync.Mutex
	seeds   []string
	roster  *Membership
	links   map[instancelist.ID]*link
	dialing map[instancelist.ID]bool
	leaving bool

	sentBytes     atomic.Uint64
	sentMessages  atomic.Uint64
	receivedBytes atomic.Uint64
}

// NewMesh returns a mesh without links.
func NewMesh(config Config) *Mesh {
	return &Mesh{
		config:  config,
		roster:  NewMembership(config.Self.Instance, config.Self.Zone, config.Topology),
		seeds:   config.Seeds,
		links:   map[instancelist.ID]*link{},
		dialing: map[instancelist.ID]bool{},
	}
}

// Handler accepts links.
func (m *Mesh) Handler() http.Handler {
	upgrader := websocket.Upgrader{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := upgrader.Upgrade(w, r, nil)
		if err != nil {
			return
		}
		m.open(conn, "")
	})
}

// SetInstances takes the entry instances of the platform's list.
func (m *Mesh) SetInstances(now time.Time, list []instancelist.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster.SetListed(now, list)
}

// SetSeeds takes other addresses to be tried while there is no link.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Leave tells the peers that this instance is leaving.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.Broadcast(Heartbeat{Leaving: true})
}

// Connected returns the instances with an open link, sorted by id.
func (m *Mesh) Connected() []Hello {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Hello, 0, len(m.links))
	for _, l := range m.links {
		list = append(list, l.peer)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// Active returns the instances with an open link that are not leaving, and this one
// unless it is, sorted by id.
func (m *Mesh) Active() []Hello {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Hello
	if !m.leaving {
		list = append(list, m.config.Self)
	}
	for _, l := range m.links {
		if !l.leaving.Load() {
			list = append(list, l.peer)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// ActiveInZone returns the ids of those present in this zone, sorted.
func (m *Mesh) ActiveInZone() []instancelist.ID {
	var list []instancelist.ID
	for _, hello := range m.Active() {
		if hello.Zone == m.config.Self.Zone {
			list = append(list, hello.Instance)
		}
	}
	return list
}

// Stats returns what the mesh has sent and received so far.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{
		Links: len(m.links), SentBytes: m.sentBytes.Load(),
		SentMessages: m.sentMessages.Load(), ReceivedBytes: m.receivedBytes.Load(),
	}
}

// Broadcast sends a message over every link.
func (m *Mesh) Broadcast(message Message) {
	m.each(message, func(*link) bool { return true })
}

// BroadcastZone sends a message over the links inside this zone.
func (m *Mesh) BroadcastZone(message Message) {
	m.each(message, func(l *link) bool { return l.peer.Zone == m.config.Self.Zone })
}

// Send sends a message to one instance, and reports whether there is a link.
func (m *Mesh) Send(to instancelist.ID, message Message) bool {
	sent := false
	m.each(message, func(l *link) bool {
		chosen := l.peer.Instance == to
		sent = sent || chosen
		return chosen
	})
	return sent
}

func (m *Mesh) each(message Message, chosen func(*link) bool) {
	data, err := Encode(message)
	if err != nil {
		m.config.Logger.Error("peer message not encoded", zap.Error(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if chosen(l) {
			l.enqueue(data)
		}
	}
}

// Forward sends a call to an incarnation of an instance and waits for its
// answer, over a new link where there is none. It returns false when the
// instance can't be reached, is another incarnation now, or does not answer.
func (m *Mesh) Forward(ctx context.Context, to instancelist.ID, incarnation Incarnation, call ForwardRequest) (ForwardResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	l := m.linkTo(to)
	if l == nil {
		m.mu.Lock()
		target, ok := m.roster.Get(to)
		m.mu.Unlock()
		if !ok {
			return ForwardResponse{}, false
		}
		m.dial(ctx, target)
		l = m.linkTo(to)
	}
	if l == nil || l.peer.Incarnation != incarnation {
		return ForwardResponse{}, false
	}
	return l.forward(ctx, call)
}

func (m *Mesh) linkTo(id instancelist.ID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[id]
}

// Run keeps links to the targets until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(maintainEvery)
	defer ticker.Stop()
	lastMembers := time.Time{}
	for {
		select {
		case <-ctx.Done():
			m.closeAll()
			return
		case now := <-ticker.C:
			for _, target := range m.missing(now) {
				go m.dial(ctx, target)
			}
			if now.Sub(lastMembers) >= membersInterval {
				lastMembers = now
				m.mu.Lock()
				unlisted := m.roster.Unlisted()
				m.mu.Unlock()
				if len(unlisted) > 0 {
					m.Broadcast(Members{Instances: unlisted})
				}
			}
		}
	}
}

func (m *Mesh) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.close()
	}
}

// missing returns the targets without a link, and marks them as being dialed.
func (m *Mesh) missing(now time.Time) []instancelist.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.links {
		m.roster.MarkAlive(now, id)
	}
	m.roster.RemoveExpired(now)
	var list []instancelist.Instance
	for _, target := range m.roster.DialTargets(now) {
		if m.links[target.ID] == nil && !m.dialing[target.ID] {
			m.dialing[target.ID] = true
			list = append(list, target)
		}
	}
	if len(m.links) == 0 {
		list = append(list, m.missingSeeds()...)
	}
	return list
}

// missingSeeds returns the seeds that are not being dialed, and marks them. Their ids are
// known only once they answer.
func (m *Mesh) missingSeeds() []instancelist.Instance {
	var list []instancelist.Instance
	for _, address := range m.seeds {
		id := instancelist.ID("seed " + address)
		if !m.dialing[id] {
			m.dialing[id] = true
			list = append(list, instancelist.Instance{ID: id, Address: address})
		}
	}
	return list
}

func (m *Mesh) dial(ctx context.Context, target instancelist.Instance) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.dialing, target.ID)
	}()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout}
	conn, response, err := dialer.DialContext(ctx, "ws://"+target.Address+LinkPath, nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	m.open(conn, m.config.Self.Instance)
}

// open exchanges hellos and starts a link. An empty dialer stands for the
// other side.
func (m *Mesh) open(conn *websocket.Conn, dialer instancelist.ID) {
	conn.SetReadLimit(maxMessageBytes)
	hello, err := exchangeHello(conn, m.config.Self)
	if err != nil || hello.Instance == m.config.Self.Instance {
		_ = conn.Close()
		return
	}
	if dialer == "" {
		dialer = hello.Instance
	}
	l := newLink(m, conn, hello, dialer)
	m.mu.Lock()
	old := m.links[hello.Instance]
	if old != nil && m.keeps(old, l) {
		m.mu.Unlock()
		_ = conn.Close()
		return
	}
	m.links[hello.Instance] = l
	known := m.roster.Others()
	m.mu.Unlock()
	if old != nil {
		old.close()
	}
	m.config.Logger.Info("peer link up", zap.String("peer", string(hello.Instance)))
	m.config.Receiver.HandleLink(hello)
	if len(known) > 0 {
		l.send(Members{Instances: known})
	}
	go l.write()
	go l.read()
}

// keeps reports whether an open link goes before a new one. When both sides
// dialed at once, both keep the link that the smaller id dialed.
func (m *Mesh) keeps(old, l *link) bool {
	first := min(m.config.Self.Instance, l.peer.Instance)
	return old.peer.Incarnation == l.peer.Incarnation && old.dialer == first && l.dialer != first
}

func exchangeHello(conn *websocket.Conn, self Hello) (Hello, error) {
	data, err := Encode(self)
	if err != nil {
		return Hello{}, err
	}
	deadline := time.Now().Add(dialTimeout)
	_ = conn.SetWriteDeadline(deadline)
	if err := conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
		return Hello{}, err
	}
	_ = conn.SetReadDeadline(deadline)
	_, data, err = conn.ReadMessage()
	if err != nil {
		return Hello{}, err
	}
	message, err := Decode(data)
	if err != nil {
		return Hello{}, err
	}
	hello, ok := message.(Hello)
	if !ok {
		return Hello{}, &ProtocolError{Reason: "first message is not a hello"}
	}
	return hello, nil
}

// ProtocolError says that a peer broke the protocol.
type ProtocolError struct {
	Reason string
}

func (e *ProtocolError) Error() string {
	return "peer protocol: " + e.Reason
}

// down forgets a link that has ended.
func (m *Mesh) down(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.Instance] == l {
		delete(m.links, l.peer.Instance)
		m.config.Logger.Info("peer link down", zap.String("peer", string(l.peer.Instance)))
	}
}

// heard takes a message of a link.
func (m *Mesh) heard(l *link, message Message) {
	switch message := message.(type) {
	case Heartbeat:
		l.leaving.Store(message.Leaving)
	case Members:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.roster.MergeGossip(time.Now(), message.Instances)
	case ForwardRequest:
		go func() {
			answer := m.config.Receiver.HandleForward(message)
			answer.ID = message.ID
			l.send(answer)
		}()
	case ForwardResponse:
		l.answered(message)
	case nil:
	default:
		m.config.Receiver.HandleMessage(l.peer, message)
	}
}
