package runner

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/http1"
	"mulberryhead.org/mulberryhead/internal/http1/http1test"
)

// recordingReceiver sends the replies and the end of a stream to channels.
type recordingReceiver struct {
	replies chan Reply
	lost    chan error
}

func (r *recordingReceiver) HandleReply(_ ID, reply Reply)                 { r.replies <- reply }
func (r *recordingReceiver) HandleStreamLost(_ ID, _ *Stream, cause error) { r.lost <- cause }
func newReceiver() *recordingReceiver {
	return &recordingReceiver{make(chan Reply, 100), make(chan error, 1)}
}
func echo(s Step) Reply { return Reply{Session: s.Session, Position: s.Position} }
func dialTo(t *testing.T, e *fakeEngine, r *recordingReceiver) *Stream {
	t.Helper()
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	stream, err := Dial(t.Context(), "r", server.Listener.Addr().String(), r, http1.NewMemory(FrameMemory))
	assert.NilError(t, err)
	return stream
}

// fakeEngine echoes each step and heartbeat unless it is unresponsive.
type fakeEngine struct {
	unresponsive atomic.Bool
	// dropSteps makes it respond to heartbeats but not to steps.
	dropSteps atomic.Bool
	frames    atomic.Int64
	steps     atomic.Int64
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{}
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	for {
		_, data, err := ws.ReadMessage()
		if err != nil {
			return
		}
		frame, err := DecodeFrame(data)
		if err != nil {
			return
		}
		e.frames.Add(1)
		e.steps.Add(int64(len(frame.Steps)))
		response := Frame{Heartbeat: frame.Heartbeat}
		for _, s := range frame.Steps {
			if !e.dropSteps.Load() {
				response.Replies = append(response.Replies, echo(s))
			}
		}
		if e.unresponsive.Load() || response.empty() && len(response.Replies) == 0 {
			continue
		}
		if data, err = EncodeFrame(response); err != nil {
			return
		}
		if err := ws.WriteMessage(websocket.BinaryMessage, data); err != nil {
			return
		}
	}
}

// TestStreamRepliesInOrder checks that 100 steps sent without waiting are each sent
// once and replied to in order, in at most as many frames as steps. It does not
// require that steps share a frame.
func TestStreamRepliesInOrder(t *testing.T) {
	e, r := &fakeEngine{}, newReceiver()
	stream := dialTo(t, e, r)
	const steps = 100
	for i := range steps {
		assert.Assert(t, stream.Send(Step{Position: Position(i)}))
	}
	for i := range steps {
		assert.Equal(t, (<-r.replies).Position, Position(i))
	}
	assert.Equal(t, e.steps.Load(), int64(steps))
	assert.Assert(t, e.frames.Load() <= steps)
}

// TestStreamHeartbeatTimeout guards against a stream that stays open after the engine
// has stopped responding without closing the connection, with one step in flight and
// while more steps are being sent.
func TestStreamHeartbeatTimeout(t *testing.T) {
	for name, busy := range map[string]bool{"one step in flight": false, "more steps sent": true} {
		t.Run(name, func(t *testing.T) {
			e, r := &fakeEngine{}, newReceiver()
			stream := dialTo(t, e, r)
			e.unresponsive.Store(true)
			assert.Assert(t, stream.Send(Step{}))
			var cause error
			for cause == nil {
				select {
				case cause = <-r.lost:
				case <-time.After(heartbeatInterval / 10):
					if busy {
						_ = stream.Send(Step{})
					}
				}
			}
			assert.Assert(t, errors.As(cause, new(*HeartbeatTimeoutError)), "%v", cause)
			assert.Assert(t, stream.Closed())
			assert.Assert(t, !stream.Send(Step{}))
		})
	}
}

// TestStreamKeepsSlowRunner checks that a stream stays open while the runner responds
// to heartbeats but is slow to reply to a step.
func TestStreamKeepsSlowRunner(t *testing.T) {
	e, r := &fakeEngine{}, newReceiver()
	e.dropSteps.Store(true)
	stream := dialTo(t, e, r)
	assert.Assert(t, stream.Send(Step{}))
	select {
	case cause := <-r.lost:
		t.Fatal(cause)
	case <-time.After(3 * heartbeatTimeout):
	}
	e.dropSteps.Store(false)
	assert.Assert(t, stream.Send(Step{Position: 7}))
	assert.Equal(t, (<-r.replies).Position, Position(7))
}

// TestBrokenHandshakeOpensNoStream guards against a stream that is opened by an answer with a malformed head.
func TestBrokenHandshakeOpensNoStream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upgrader := websocket.Upgrader{}
		ws, err := upgrader.Upgrade(w, r, http.Header{"X Bad": {"a"}})
		assert.Check(t, err)
		_ = ws.Close()
	}))
	t.Cleanup(server.Close)
	_, err := Dial(t.Context(), "r", server.Listener.Addr().String(), newReceiver(), http1.NewMemory(FrameMemory))
	var problem *http1.MalformedError
	assert.Assert(t, errors.As(err, &problem), "%v", err)
}

// dialInTime opens a stream. It dials again after a timeout, as many streams are opened at once, in a process that may
// lack processor time.
func dialInTime(t *testing.T, address string, receiver Receiver, memory *http1.Memory) error {
	const tries = 20
	for try := 1; ; try++ {
		_, err := Dial(t.Context(), "r", address, receiver, memory)
		var timeout net.Error
		if err == nil || try == tries || !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
		t.Logf("dialed again: %v", err)
	}
}

// TestEndlessFramesTakeBoundedMemory guards against frames without an end of many runners that take all the
// memory, and against one that stays open.
func TestEndlessFramesTakeBoundedMemory(t *testing.T) {
	const (
		runners       = 32
		size          = MaxFrameBytes - 1<<20 // behind which a frame stands still
		heldByRunner  = 256 << 10             // bytes, beside FrameMemory
		allowedMemory = FrameMemory + runners*heldByRunner
	)
	part := make([]byte, 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upgrader := websocket.Upgrader{}
		ws, err := upgrader.Upgrade(w, r, nil)
		assert.Check(t, err)
		writer, err := ws.NextWriter(websocket.BinaryMessage)
		for written := 0; err == nil && written < size; written += len(part) {
			_, err = writer.Write(part)
		}
		_, _, _ = ws.ReadMessage() // until the router closes the connection
		_ = ws.Close()
	}))
	t.Cleanup(server.Close)
	memory := http1.NewMemory(FrameMemory)
	var streams []func()
	for range runners {
		streams = append(streams, func() {
			receiver := newReceiver()
			if err := dialInTime(t, server.Listener.Addr().String(), receiver, memory); err != nil {
				t.Error(err)
				return // no stream is open that could be lost
			}
			assert.Check(t, <-receiver.lost != nil)
		})
	}
	peak := http1test.PeakHeap(streams)
	assert.Check(t, peak <= allowedMemory, "%d KiB were held", peak>>10)
}
