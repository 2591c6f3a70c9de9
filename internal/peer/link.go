package peer

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"mulberryhead.org/mulberryhead/internal/instancelist"
)

// link is an open connection to another instance. Its queue holds messages in order. Long
// messages wait beside it, at most one for each subject, and are sent while the queue is empty.
type link struct {
	mesh     *Mesh
	conn     *websocket.Conn
	peer     Hello
	dialer   instancelist.ID
	opened   time.Time
	outgoing chan outgoingMessage
	// long is signalled when a message is added to longMessages.
	long      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	leaving   atomic.Bool
	silence   silenceTimer

	mu           sync.Mutex
	nextID       RequestID
	pending      map[RequestID]chan ForwardResponse
	longMessages map[string]outgoingMessage // by subject
}

// outgoingMessage is an encoded message.
type outgoingMessage struct {
	kind string
	data []byte
}

// endCause is why a link has ended, for the log.
type endCause string

const (
	causeSilent    endCause = "silent"      // nothing was received for heartbeatTimeout
	causeRead      endCause = "read-failed" // or closed by the peer
	causeWrite     endCause = "write-failed"
	causeQueueFull endCause = "queue-full"
	causeUndecoded endCause = "undecoded"
	causeReplaced  endCause = "replaced"
	causeShutsDown endCause = "shuts-down"
)

const (
	// longMessageSize is the size, in bytes, above which a message with a subject does not wait in
	// the queue, and chunkBytes the size of the parts in which long messages are sent.
	longMessageSize = 8 << 10
	chunkBytes      = 16 << 10
)

func newLink(m *Mesh, conn *websocket.Conn, peer Hello, dialer instancelist.ID) *link {
	return &link{
		mesh: m, conn: conn, peer: peer, dialer: dialer, opened: time.Now(),
		outgoing: make(chan outgoingMessage, sendQueueLength), long: make(chan struct{}, 1),
		done: make(chan struct{}), pending: map[RequestID]chan ForwardResponse{}, longMessages: map[string]outgoingMessage{},
	}
}

// enqueue closes the link when its queue is full, because the peer does not read fast
// enough. The queued messages are lost; on a new link, Receiver.HandleLink can send
// the current state. A long message with a subject replaces the one that waits.
func (l *link) enqueue(message outgoingMessage, subject string) {
	if subject != "" && len(message.data) > longMessageSize {
		l.enqueueLong(message, subject)
		return
	}
	select {
	case l.outgoing <- message:
	default:
		go l.close(causeQueueFull, nil)
	}
}

func (l *link) enqueueLong(message outgoingMessage, subject string) {
	l.mu.Lock()
	l.longMessages[subject] = message
	l.mu.Unlock()
	select {
	case l.long <- struct{}{}:
	default:
	}
}

// takeLong returns a long message that waits, if the queue is empty.
func (l *link) takeLong() (outgoingMessage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for subject, message := range l.longMessages {
		delete(l.longMessages, subject)
		return message, true
	}
	return outgoingMessage{}, false
}

func (l *link) send(message Message) {
	data, err := Encode(message)
	if err != nil {
		return
	}
	l.enqueue(outgoingMessage{kind: kindOf(message), data: data}, subjectOf(message))
}

func (l *link) close(cause endCause, err error) {
	l.closeOnce.Do(func() {
		close(l.done)
		l.silence.stop()
		_ = l.conn.Close()
		l.mesh.removeLink(l, cause, err)
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
		message, ok := l.nextMessage(ticker.C)
		if !ok {
			return
		}
		if message.data == nil && !idle {
			idle = true
			continue
		}
		if message.data == nil {
			l.mesh.mu.Lock()
			message.data = heartbeats[l.mesh.leaving]
			l.mesh.mu.Unlock()
		} else {
			idle = false
		}
		if err := l.writeMessage(message.data); err != nil {
			l.close(causeWrite, err)
			return
		}
		l.mesh.countSent(message.kind, len(message.data))
	}
}

// nextMessage waits for the next message to send. At a tick it returns one without data. It
// returns false when the link has ended.
func (l *link) nextMessage(tick <-chan time.Time) (outgoingMessage, bool) {
	for {
		select {
		case message := <-l.outgoing:
			return message, true
		default:
		}
		if message, ok := l.takeLong(); ok {
			return message, true
		}
		select {
		case <-l.done:
			return outgoingMessage{}, false
		case message := <-l.outgoing:
			return message, true
		case <-l.long:
		case <-tick:
			return outgoingMessage{kind: kindHeartbeat}, true
		}
	}
}

// writeMessage sends a message. Each chunk of a long one has writeTimeout of its own, so that a
// slow link that moves is kept.
func (l *link) writeMessage(data []byte) error {
	if len(data) <= chunkBytes {
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		return l.conn.WriteMessage(websocket.BinaryMessage, data)
	}
	writer, err := l.conn.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	for chunk := range slices.Chunk(data, chunkBytes) {
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := writer.Write(chunk); err != nil {
			return err
		}
	}
	return writer.Close()
}

func (l *link) read() {
	for {
		data, err := l.readMessage()
		if err != nil {
			l.close(causeRead, err)
			return
		}
		l.mesh.receivedBytes.Add(uint64(len(data)))
		message, err := Decode(data)
		if err != nil {
			l.close(causeUndecoded, err)
			return
		}
		l.silence.setBusy(true)
		l.mesh.handle(l, message)
		l.silence.setBusy(false)
	}
}

// readMessage reads a message. Any part of one that arrives shows that the peer is alive.
func (l *link) readMessage() ([]byte, error) {
	_, reader, err := l.conn.NextReader()
	if err != nil {
		return nil, err
	}
	l.silence.heard()
	return io.ReadAll(heardReader{reader: reader, silence: &l.silence})
}

// heardReader reports to a silenceTimer each part that it reads.
type heardReader struct {
	reader  io.Reader
	silence *silenceTimer
}

func (r heardReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.silence.heard()
	}
	return n, err
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
