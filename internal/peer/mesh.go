package peer

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

const (
	// LinkPath is the URL path at which an instance accepts links.
	LinkPath = "/v1/peer"

	maxMessageBytes   = 64 << 20
	dialTimeout       = 1 * time.Second
	writeTimeout      = 2 * time.Second
	heartbeatInterval = 1 * time.Second
	// heartbeatTimeout is how long a link may bring no data before it is closed.
	heartbeatTimeout = 3 * time.Second
	// maxHeartbeatGap is how long a link may bring no data before its peer may be out of reach.
	maxHeartbeatGap  = heartbeatInterval * 3 / 2
	maintainInterval = 250 * time.Millisecond
	membersInterval  = 10 * time.Second
	forwardTimeout   = 15 * time.Second
	sendQueueLength  = 1024
)

// Receiver handles the messages that a mesh receives. HandleLink and HandleMessage
// must not block, because they delay the link's reader.
type Receiver interface {
	// HandleLink is called for each new link, before its first message.
	HandleLink(from Hello)
	// HandleMessage is called for each message that the mesh does not handle itself:
	// all but Heartbeat, Members, ForwardRequest and ForwardResponse.
	HandleMessage(from Hello, message Message)
	// HandleForward serves a forwarded request. It runs in its own goroutine.
	HandleForward(request ForwardRequest) ForwardResponse
}

// Config configures a Mesh.
type Config struct {
	Self     Hello
	Receiver Receiver
	Logger   *zap.Logger
	// Seeds are addresses, HOST:PORT, that are dialed while no link is open. They
	// need not be reachable.
	Seeds []string
	// Topology may be nil, which means ZoneMesh.
	Topology Topology
	// WrapConnection wraps the connections that the mesh dials. With nil they are used as they
	// are.
	WrapConnection func(net.Conn) net.Conn
	// OnSent is called for each message that was sent, with its kind and size in bytes, for
	// metrics. It must be safe for concurrent use. It may be nil.
	OnSent func(kind string, size int)
}

// Stats holds the number of open links, and the messages and bytes sent and the bytes
// received since the mesh was created.
type Stats struct {
	Links         int
	SentBytes     uint64
	SentMessages  uint64
	ReceivedBytes uint64
}

// Mesh maintains the links to other instances. It is safe for concurrent use.
type Mesh struct {
	config Config

	mu         sync.Mutex
	seeds      []string
	membership *Membership
	links      map[instancelist.ID]*link
	dialing    map[instancelist.ID]bool
	leaving    bool

	sentBytes     atomic.Uint64
	sentMessages  atomic.Uint64
	receivedBytes atomic.Uint64
}

// NewMesh returns a mesh without links. Run opens them.
func NewMesh(config Config) *Mesh {
	return &Mesh{
		config:     config,
		membership: NewMembership(config.Self.Instance, config.Self.Zone, config.Topology),
		seeds:      config.Seeds,
		links:      map[instancelist.ID]*link{},
		dialing:    map[instancelist.ID]bool{},
	}
}

// Handler returns the handler that accepts links from other instances.
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

// SetInstances replaces the instances of the platform's list.
func (m *Mesh) SetInstances(now time.Time, list []instancelist.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.membership.SetListed(now, list)
}

// SetSeeds replaces the addresses that are dialed while no link is open.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Leave announces to the peers that this instance is shutting down. Links stay open.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.Broadcast(Heartbeat{Leaving: true})
}

// Connected returns the instances with an open link, sorted by ID.
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

// Active returns this instance and those with an open link, except the ones that are
// shutting down, sorted by ID.
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

// ActiveInZone returns the IDs of the active instances of this zone, sorted.
func (m *Mesh) ActiveInZone() []instancelist.ID {
	var list []instancelist.ID
	for _, hello := range m.Active() {
		if hello.Zone == m.config.Self.Zone {
			list = append(list, hello.Instance)
		}
	}
	return list
}

// IsBridge reports whether this instance is one of its zone's bridges to another zone.
func (m *Mesh) IsBridge(zone instancelist.Zone) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.isBridge(zone)
}

// MissingLinks returns which links this instance lacks or hears nothing on. What is broadcast may not reach all
// instances then.
func (m *Mesh) MissingLinks(now time.Time) MissingLinks {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.missingLinks(func(id instancelist.ID) bool { return m.hears(now, id) })
}

// FirstInZone reports whether this instance has the smallest ID of the active ones of its zone that it hears.
func (m *Mesh) FirstInZone(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.links {
		active := l.peer.Zone == m.config.Self.Zone && !l.leaving.Load() && m.hears(now, id)
		if active && (m.leaving || id < m.config.Self.Instance) {
			return false
		}
	}
	return true
}

// hears reports whether there is a link to an instance that has brought data lately. The caller holds m.mu.
func (m *Mesh) hears(now time.Time, id instancelist.ID) bool {
	l := m.links[id]
	return l != nil && l.silence.silentFor(now) < maxHeartbeatGap
}

// Stats returns the current counts.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{
		Links: len(m.links), SentBytes: m.sentBytes.Load(),
		SentMessages: m.sentMessages.Load(), ReceivedBytes: m.receivedBytes.Load(),
	}
}

// Broadcast queues a message on every link.
func (m *Mesh) Broadcast(message Message) {
	m.sendMatching(message, func(*link) bool { return true })
}

// BroadcastZone queues a message on the links inside this zone.
func (m *Mesh) BroadcastZone(message Message) {
	m.sendMatching(message, func(l *link) bool { return l.peer.Zone == m.config.Self.Zone })
}

// BroadcastOtherZones queues a message on the links to other zones.
func (m *Mesh) BroadcastOtherZones(message Message) {
	m.sendMatching(message, func(l *link) bool { return l.peer.Zone != m.config.Self.Zone })
}

// Send queues a message to one instance. It reports whether there is a link, not
// whether the message arrives.
func (m *Mesh) Send(to instancelist.ID, message Message) bool {
	sent := false
	m.sendMatching(message, func(l *link) bool {
		matches := l.peer.Instance == to
		sent = sent || matches
		return matches
	})
	return sent
}

func (m *Mesh) sendMatching(message Message, matches func(*link) bool) {
	data, err := Encode(message)
	if err != nil {
		m.config.Logger.Error("failed to encode peer message", zap.Error(err))
		return
	}
	outgoing, subject := outgoingMessage{kind: kindOf(message), data: data}, subjectOf(message)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if matches(l) {
			l.enqueue(outgoing, subject)
		}
	}
}

// countSent counts a message that was sent.
func (m *Mesh) countSent(kind string, size int) {
	m.sentBytes.Add(uint64(size))
	m.sentMessages.Add(1)
	if m.config.OnSent != nil {
		m.config.OnSent(kind, size)
	}
}

// Forward sends a request to an incarnation of an instance and waits for the
// response, at most forwardTimeout. Without a link it dials the instance first. It
// returns false if the instance cannot be reached, runs as another incarnation, or
// does not respond in time.
func (m *Mesh) Forward(ctx context.Context, to instancelist.ID, incarnation Incarnation, request ForwardRequest) (ForwardResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	l := m.linkTo(to)
	if l == nil {
		m.mu.Lock()
		target, ok := m.membership.Get(to)
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
	return l.forward(ctx, request)
}

func (m *Mesh) linkTo(id instancelist.ID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[id]
}

// Run keeps links open to the topology's targets, and to seeds while there is no
// link, and gossips unlisted instances every membersInterval, until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	lastMembers := time.Time{}
	for {
		select {
		case <-ctx.Done():
			m.closeAll()
			return
		case now := <-ticker.C:
			for _, target := range m.targetsToDial(now) {
				go m.dial(ctx, target)
			}
			if now.Sub(lastMembers) >= membersInterval {
				lastMembers = now
				m.mu.Lock()
				unlisted := m.membership.Unlisted()
				m.mu.Unlock()
				if len(unlisted) > 0 {
					m.Broadcast(Members{Instances: unlisted})
				}
			}
		}
	}
}

// closeAll closes all links. Each removes itself, which needs m.mu.
func (m *Mesh) closeAll() {
	m.mu.Lock()
	links := slices.Collect(maps.Values(m.links))
	m.mu.Unlock()
	for _, l := range links {
		l.close(causeShutsDown, nil)
	}
}

// targetsToDial returns the targets without a link that are not being dialed, and marks
// them as being dialed. Without any link it includes the seeds.
func (m *Mesh) targetsToDial(now time.Time) []instancelist.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.links {
		m.membership.MarkAlive(now, id)
	}
	m.membership.RemoveExpired(now)
	var list []instancelist.Instance
	for _, target := range m.membership.DialTargets(now) {
		if m.links[target.ID] == nil && !m.dialing[target.ID] {
			m.dialing[target.ID] = true
			list = append(list, target)
		}
	}
	if len(m.links) == 0 {
		list = append(list, m.seedsToDial()...)
	}
	return list
}

// seedsToDial returns the seeds that are not being dialed, and marks them as being
// dialed. Their IDs are placeholders: the real ones are known only from their Hello.
func (m *Mesh) seedsToDial() []instancelist.Instance {
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
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: m.dialConnection}
	conn, response, err := dialer.DialContext(ctx, "ws://"+target.Address+LinkPath, nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	m.open(conn, m.config.Self.Instance)
}

func (m *Mesh) dialConnection(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil || m.config.WrapConnection == nil {
		return conn, err
	}
	return m.config.WrapConnection(conn), nil
}

// open exchanges hellos and starts a link. An empty dialer means that the other side
// dialed.
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
	_ = conn.SetReadDeadline(time.Time{})
	l := newLink(m, conn, hello, dialer)
	l.silence.start(func() { l.close(causeSilent, nil) })
	m.mu.Lock()
	old := m.links[hello.Instance]
	if old != nil && m.keepsOld(old, l) {
		m.mu.Unlock()
		l.silence.stop()
		_ = conn.Close()
		m.logSecondLink(hello.Instance, "earlier")
		return
	}
	m.links[hello.Instance] = l
	known := m.membership.Others()
	m.mu.Unlock()
	if old != nil {
		old.close(causeReplaced, nil)
		m.logSecondLink(hello.Instance, "later")
	}
	m.config.Logger.Info("peer link up", zap.String("peer", string(hello.Instance)))
	m.config.Receiver.HandleLink(hello)
	if len(known) > 0 {
		l.send(Members{Instances: known})
	}
	go l.write()
	go l.read()
}

// logSecondLink logs that one of two links to an instance was closed, and which was kept. The peer may have
// the other one only, for a moment, and then reports that it failed.
func (m *Mesh) logSecondLink(peer instancelist.ID, kept string) {
	m.config.Logger.Info("second peer link closed", zap.String("peer", string(peer)), zap.String("kept", kept))
}

// keepsOld reports whether an open link takes precedence over a new one to the same
// instance. When both sides dial at once, both keep the link that the instance with
// the smaller ID dialed.
func (m *Mesh) keepsOld(old, l *link) bool {
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

// ProtocolError reports that a peer violated the protocol.
type ProtocolError struct {
	Reason string
}

func (e *ProtocolError) Error() string {
	return "peer protocol: " + e.Reason
}

// removeLink removes a closed link, unless a newer one has replaced it.
func (m *Mesh) removeLink(l *link, cause endCause, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.Instance] == l {
		delete(m.links, l.peer.Instance)
		m.config.Logger.Info("peer link down", zap.String("peer", string(l.peer.Instance)), zap.String("cause", string(cause)),
			zap.Duration("age-ms", time.Since(l.opened)), zap.Int("queued", len(l.outgoing)), zap.Error(err))
	}
}

// handle processes a message that was received on a link. A nil message is of a kind
// that this build does not know, and is ignored.
func (m *Mesh) handle(l *link, message Message) {
	switch message := message.(type) {
	case Heartbeat:
		l.leaving.Store(message.Leaving)
	case Members:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.membership.MergeGossip(time.Now(), message.Instances)
	case ForwardRequest:
		go func() {
			response := m.config.Receiver.HandleForward(message)
			response.ID = message.ID
			l.send(response)
		}()
	case ForwardResponse:
		l.handleForwardResponse(message)
	case nil:
	default:
		m.config.Receiver.HandleMessage(l.peer, message)
	}
}
