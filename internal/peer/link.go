package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

// link is one open connection to another entry instance.
type link struct {
	mesh     *Mesh
	conn     *websocket.Conn
	peer     Hello
	dialer   instancelist.ID
	outgoing chan []byte
	done     chan struct{}
	finish   sync.Once
	leaving  atomic.Bool

	mu      sync.Mutex
	nextID  RequestID
	waiting map[RequestID]chan ForwardResponse
}

func newLink(m *Mesh, conn *websocket.Conn, peer Hello, dialer instancelist.ID) *link {
	return &link{
		mesh: m, conn: conn, peer: peer, dialer: dialer,
		outgoing: make(chan []byte, linkQueue),
		done:     make(chan struct{}),
		waiting:  map[RequestID]chan ForwardResponse{},
	}
}

// enqueue drops the link when its queue is full: the peer doesn't read, and a
// new link starts with the whole state.
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
	l.finish.Do(func() {
		close(l.done)
		_ = l.conn.Close()
		l.mesh.down(l)
	})
}

func (l *link) write() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	beats := map[bool][]byte{}
	for _, leaving := range []bool{false, true} {
		beats[leaving], _ = Encode(Heartbeat{Leaving: leaving})
	}
	// quiet is set while nothing was sent since the last tick: any message is a
	// sign of life.
	quiet := true
	for {
		var data []byte
		select {
		case <-l.done:
			return
		case data = <-l.outgoing:
			quiet = false
		case <-ticker.C:
			if !quiet {
				quiet = true
				continue
			}
			l.mesh.mu.Lock()
			data = beats[l.mesh.leaving]
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
		_ = l.conn.SetReadDeadline(time.Now().Add(silenceTimeout))
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
		l.mesh.heard(l, message)
	}
}

func (l *link) forward(ctx context.Context, call ForwardRequest) (ForwardResponse, bool) {
	answers := make(chan ForwardResponse, 1)
	l.mu.Lock()
	l.nextID++
	call.ID = l.nextID
	l.waiting[call.ID] = answers
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, call.ID)
	}()
	l.send(call)
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
	case <-l.done:
	}
	return ForwardResponse{}, false
}

func (l *link) answered(answer ForwardResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if waiting, ok := l.waiting[answer.ID]; ok {
		waiting <- answer
		delete(l.waiting, answer.ID)
	}
}
