package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

// link is an open connection to another instance.
type link struct {
	mesh      *Mesh
	conn      *websocket.Conn
	peer      Hello
	dialer    instancelist.ID
	outgoing  chan []byte
	done      chan struct{}
	closeOnce sync.Once
	leaving   atomic.Bool

	mu      sync.Mutex
	nextID  RequestID
	pending map[RequestID]chan ForwardResponse
}

func newLink(m *Mesh, conn *websocket.Conn, peer Hello, dialer instancelist.ID) *link {
	return &link{
		mesh: m, conn: conn, peer: peer, dialer: dialer,
		outgoing: make(chan []byte, sendQueueLength),
		done:     make(chan struct{}),
		pending:  map[RequestID]chan ForwardResponse{},
	}
}

// enqueue closes the link when its queue is full, because the peer does not read fast
// enough. The queued messages are lost; on a new link, Receiver.HandleLink can send
// the current state.
func (l *link) enqueue(data []byte) {
	select {
	case l.outgoing <- data:
	default:
		go l.close()
	}
}

func (l *link) send(message Message) {
	data, err := Encode(message)
	if err != nil {
		return
	}
	l.enqueue(data)
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
		l.mesh.removeLink(l)
	})
}

func (l *link) write() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	heartbeats := map[bool][]byte{}
	for _, leaving := range []bool{false, true} {
		heartbeats[leaving], _ = Encode(Heartbeat{Leaving: leaving})
	}
	// idle is set while nothing was sent since the last tick. Any message serves as a
	// heartbeat, so heartbeats are sent only on an idle link.
	idle := true
	for {
		var data []byte
		select {
		case <-l.done:
			return
		case data = <-l.outgoing:
			idle = false
		case <-ticker.C:
			if !idle {
				idle = true
				continue
			}
			l.mesh.mu.Lock()
			data = heartbeats[l.mesh.leaving]
			l.mesh.mu.Unlock()
		}
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := l.conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
			l.close()
			return
		}
		l.mesh.sentBytes.Add(uint64(len(data)))
		l.mesh.sentMessages.Add(1)
	}
}

func (l *link) read() {
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(heartbeatTimeout))
		_, data, err := l.conn.ReadMessage()
		if err != nil {
			l.close()
			return
		}
		l.mesh.receivedBytes.Add(uint64(len(data)))
		message, err := Decode(data)
		if err != nil {
			l.close()
			return
		}
		l.mesh.handle(l, message)
	}
}

func (l *link) forward(ctx context.Context, request ForwardRequest) (ForwardResponse, bool) {
	responses := make(chan ForwardResponse, 1)
	l.mu.Lock()
	l.nextID++
	request.ID = l.nextID
	l.pending[request.ID] = responses
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pending, request.ID)
	}()
	l.send(request)
	select {
	case response := <-responses:
		return response, true
	case <-ctx.Done():
	case <-l.done:
	}
	return ForwardResponse{}, false
}

func (l *link) handleForwardResponse(response ForwardResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pending, ok := l.pending[response.ID]; ok {
		pending <- response
		delete(l.pending, response.ID)
	}
}
