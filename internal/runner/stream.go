package runner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
)

const (
	// StepsPath is where an engine accepts streams of steps.
	StepsPath = "/v1/steps"
	// MaxFrameBytes bounds one frame of a stream.
	MaxFrameBytes = 16 << 20

	dialTimeout  = 250 * time.Millisecond
	writeTimeout = 2 * time.Second
	// A stream with steps under way that has been quiet for beatInterval asks
	// for a sign of life, and ends after silenceTimeout without one.
	beatInterval   = 100 * time.Millisecond
	silenceTimeout = 300 * time.Millisecond
	maxBatch       = 256
	queueLength    = 4096
)

// DialError says that a stream ended before it answered.
type DialError struct {
	Runner ID
	Cause  error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("runner %s lost: %v", e.Runner, e.Cause)
}

func (e *DialError) Unwrap() error {
	return e.Cause
}

// Receiver gets what a stream reads. Its methods must not block.
type Receiver interface {
	// HandleReply is called for each reply, in the order of arrival.
	HandleReply(from ID, reply Reply)
	// HandleStreamLost is called once, when the stream has ended.
	HandleStreamLost(from ID, stream *Stream, cause error)
}

// Stream is one open connection to a runner, shared by many sessions. Steps
// that are queued while a write is under way share the next frame.
type Stream struct {
	id       ID
	conn     *websocket.Conn
	receiver Receiver
	outgoing chan outgoing
	done     chan struct{}
	finish   sync.Once

	// waiting counts the steps without a reply; heard is when the runner last
	// sent anything or had nothing to answer, in Unix nanoseconds.
	waiting atomic.Int64
	heard   atomic.Int64
}

// HeartbeatTimeoutError says that a connection carried nothing although answers were
// due.
type HeartbeatTimeoutError struct {
	Elapsed time.Duration
}

func (e *HeartbeatTimeoutError) Error() string {
	return fmt.Sprintf("connection silent for %s", e.Elapsed)
}

type outgoing struct {
	step  *Step
	close *CloseSession
}

// Dial opens a stream to the runner that listens at address, HOST:PORT.
func Dial(ctx context.Context, id ID, address string, receiver Receiver) (*Stream, error) {
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, response, err := dialer.DialContext(ctx, "ws://"+address+StepsPath, nil)
	if err != nil {
		return nil, &DialError{Runner: id, Cause: err}
	}
	_ = response.Body.Close()
	conn.SetReadLimit(MaxFrameBytes)
	s := &Stream{
		id: id, conn: conn, receiver: receiver,
		outgoing: make(chan outgoing, queueLength),
		done:     make(chan struct{}),
	}
	go s.write()
	go s.read()
	return s, nil
}

// Send queues a step. It reports false when the stream has ended or its queue
// is full.
func (s *Stream) Send(step Step) bool {
	if s.waiting.Add(1) == 1 {
		s.heard.Store(time.Now().UnixNano())
	}
	if s.enqueue(outgoing{step: &step}) {
		return true
	}
	s.waiting.Add(-1)
	return false
}

// CloseSession queues the release of a session's state at the runner.
func (s *Stream) CloseSession(c CloseSession) bool {
	return s.enqueue(outgoing{close: &c})
}

func (s *Stream) enqueue(o outgoing) bool {
	if s.Closed() {
		return false
	}
	select {
	case s.outgoing <- o:
		return true
	default:
		return false
	}
}

// Closed reports whether the stream has ended.
func (s *Stream) Closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// CloseWithError ends the stream. The receiver's HandleStreamLost is called with cause.
func (s *Stream) CloseWithError(cause error) {
	s.finish.Do(func() {
		close(s.done)
		_ = s.conn.Close()
		s.receiver.HandleStreamLost(s.id, s, cause)
	})
}

func (s *Stream) write() {
	timer := time.NewTimer(beatInterval)
	defer timer.Stop()
	beat := uint64(0)
	for {
		frame, ok := s.nextFrame(timer)
		if !ok {
			return
		}
		// Sending goes on over a connection that has gone silent, so silence
		// is looked at also when there is something to send.
		silence := s.silence(time.Now())
		if silence >= silenceTimeout {
			s.CloseWithError(&HeartbeatTimeoutError{Elapsed: silence})
			return
		}
		if silence >= beatInterval {
			beat++
			frame.Heartbeat = beat
		}
		if frame.empty() {
			continue
		}
		if err := s.writeFrame(frame); err != nil {
			s.CloseWithError(err)
			return
		}
	}
}

// nextFrame waits for something to send, and while answers are due no longer
// than beatInterval; the frame is empty then. An idle stream waits for the next
// step only, so that many of them cost nothing. It reports false at the
// stream's end.
func (s *Stream) nextFrame(timer *time.Timer) (Frame, bool) {
	var watch <-chan time.Time
	if s.waiting.Load() > 0 {
		timer.Reset(beatInterval)
		watch = timer.C
	}
	select {
	case <-s.done:
		return Frame{}, false
	case first := <-s.outgoing:
		return s.collect(first), true
	case <-watch:
		return Frame{}, true
	}
}

func (f *Frame) empty() bool {
	return len(f.Steps)+len(f.Closes) == 0 && f.Heartbeat == 0
}

// silence is how long an answer has been due without a sign of life.
func (s *Stream) silence(now time.Time) time.Duration {
	if s.waiting.Load() <= 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.heard.Load()))
}

func (s *Stream) writeFrame(frame Frame) error {
	data, err := EncodeFrame(frame)
	if err != nil {
		return err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return s.conn.WriteMessage(websocket.BinaryMessage, data)
}

// collect joins first and all that is queued now into one frame.
func (s *Stream) collect(first outgoing) Frame {
	var f Frame
	f.add(first)
	for n := 1; n < maxBatch; n++ {
		select {
		case o := <-s.outgoing:
			f.add(o)
		default:
			return f
		}
	}
	return f
}

func (f *Frame) add(o outgoing) {
	if o.step != nil {
		f.Steps = append(f.Steps, *o.step)
	}
	if o.close != nil {
		f.Closes = append(f.Closes, *o.close)
	}
}

// answered counts a reply. A runner that repeats replies must not make the
// stream believe that no answer is due for good.
func (s *Stream) answered() {
	if s.waiting.Add(-1) < 0 {
		s.waiting.Store(0)
	}
}

func (s *Stream) read() {
	for {
		_, data, err := s.conn.ReadMessage()
		if err != nil {
			s.CloseWithError(err)
			return
		}
		frame, err := DecodeFrame(data)
		if err != nil {
			s.CloseWithError(err)
			return
		}
		s.heard.Store(time.Now().UnixNano())
		for _, reply := range frame.Replies {
			s.answered()
			s.receiver.HandleReply(s.id, reply)
		}
	}
}
