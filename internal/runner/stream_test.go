package runner

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"gotest.tools/v3/assert"
)

// receiver passes on what a stream says.
type receiver struct {
	replies chan Reply
	lost    chan error
}

func (r *receiver) HandleReply(_ ID, reply Reply)                 { r.replies <- reply }
func (r *receiver) HandleStreamLost(_ ID, _ *Stream, cause error) { r.lost <- cause }
func newReceiver() *receiver                                      { return &receiver{make(chan Reply, 100), make(chan error, 1)} }
func echo(s Step) Reply                                           { return Reply{Session: s.Session, Position: s.Position} }
func dialTo(t *testing.T, e *fakeEngine, r *receiver) *Stream {
	t.Helper()
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	stream, err := Dial(t.Context(), "r", server.Listener.Addr().String(), r)
	assert.NilError(t, err)
	return stream
}

// fakeEngine echoes each step until it falls silent.
type fakeEngine struct {
	silent atomic.Bool
	// deaf keeps it from answering steps, but not beats.
	deaf   atomic.Bool
	frames atomic.Int64
	steps  atomic.Int64
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
		answer := Frame{Heartbeat: frame.Heartbeat}
		for _, s := range frame.Steps {
			if !e.deaf.Load() {
				answer.Replies = append(answer.Replies, echo(s))
			}
		}
		if e.silent.Load() || answer.empty() && len(answer.Replies) == 0 {
			continue
		}
		if data, err = EncodeFrame(answer); err != nil {
			return
		}
		if err := ws.WriteMessage(websocket.BinaryMessage, data); err != nil {
			return
		}
	}
}

// TestStreamSharesWrites queues many steps and counts the frames.
func TestStreamSharesWrites(t *testing.T) {
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

// TestStreamNoticesSilence lets a connection go silent: with one step under way,
// and while steps go on being sent.
func TestStreamNoticesSilence(t *testing.T) {
	for name, busy := range map[string]bool{"one step": false, "steps go on": true} {
		t.Run(name, func(t *testing.T) {
			e, r := &fakeEngine{}, newReceiver()
			stream := dialTo(t, e, r)
			e.silent.Store(true)
			assert.Assert(t, stream.Send(Step{}))
			var cause error
			for cause == nil {
				select {
				case cause = <-r.lost:
				case <-time.After(beatInterval / 10):
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

// TestStreamKeepsSlowRunner waits for a runner that answers beats but is slow:
// its connection stays.
func TestStreamKeepsSlowRunner(t *testing.T) {
	e, r := &fakeEngine{}, newReceiver()
	e.deaf.Store(true)
	stream := dialTo(t, e, r)
	assert.Assert(t, stream.Send(Step{}))
	select {
	case cause := <-r.lost:
		t.Fatal(cause)
	case <-time.After(3 * silenceTimeout):
	}
	e.deaf.Store(false)
	assert.Assert(t, stream.Send(Step{Position: 7}))
	assert.Equal(t, (<-r.replies).Position, Position(7))
}
