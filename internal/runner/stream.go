package runner

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"mulberryhead.org/mulberryhead/internal/http1"
)

const (
	// StepsPath is the URL path at which an engine accepts streams of steps.
	StepsPath = "/v1/steps"
	// MaxFrameBytes is the maximum size of a received frame.
	MaxFrameBytes = 16 << 20

	dialTimeout  = 250 * time.Millisecond
	writeTimeout = 2 * time.Second
	// frameTimeout is how long a frame may take from its beginning to its end.
	frameTimeout = 2 * time.Second
	// FrameMemory is the memory of all frames that are being received, beyond a small part of each.
	FrameMemory = 64 << 20 // bytes
	// While replies are pending, a stream that has received no data for
	// heartbeatInterval sends heartbeats, and ends after heartbeatTimeout without
	// data.
	heartbeatInterval = 100 * time.Millisecond
	heartbeatTimeout  = 300 * time.Millisecond
	maxFrameItems     = 256
	sendQueueLength   = 4096
)

// DialError reports that a stream to a runner could not be opened.
type DialError struct {
	Runner ID
	Cause  error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("dial runner %s: %v", e.Runner, e.Cause)
}

func (e *DialError) Unwrap() error {
	return e.Cause
}

// Receiver handles the replies and the end of a stream. Its methods must not block.
type Receiver interface {
	// HandleReply is called for each reply, in the order of arrival. Replies may be
	// repeated by the runner.
	HandleReply(from ID, reply Reply)
	// HandleStreamLost is called once, when the stream has ended. cause is a
	// *HeartbeatTimeoutError if the runner stopped responding.
	HandleStreamLost(from ID, stream *Stream, cause error)
}

// Stream is an open connection to a runner, shared by many sessions. Steps that are
// queued while a write is in progress are sent together in the next frame, at most
// maxFrameItems of them. It is safe for concurrent use.
type Stream struct {
	id        ID
	conn      *websocket.Conn
	receiver  Receiver
	memory    *http1.Memory // of the frames that are being received
	outgoing  chan outgoingItem
	done      chan struct{}
	closeOnce sync.Once

	// pending is the number of steps without a reply. lastReceived is when data was
	// last received, or when a step was sent while none was pending, in Unix
	// nanoseconds.
	pending      atomic.Int64
	lastReceived atomic.Int64
}

// HeartbeatTimeoutError reports that no data was received from a runner, for Elapsed,
// while replies were pending.
type HeartbeatTimeoutError struct {
	Elapsed time.Duration
}

func (e *HeartbeatTimeoutError) Error() string {
	return fmt.Sprintf("no data received for %s", e.Elapsed)
}

type outgoingItem struct {
	step  *Step
	close *CloseSession
}

// Dial opens a stream to the runner that listens at address, HOST:PORT. The error is a
// *DialError. ctx limits only the dialing, which takes at most dialTimeout. memory is shared with other streams.
func Dial(ctx context.Context, id ID, address string, receiver Receiver, memory *http1.Memory) (*Stream, error) {
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: http1.DialUpgrade(new(net.Dialer).DialContext, memory)}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, response, err := dialer.DialContext(ctx, "ws://"+address+StepsPath, nil)
	if err != nil {
		return nil, &DialError{Runner: id, Cause: err}
	}
	_ = response.Body.Close()
	conn.SetReadLimit(MaxFrameBytes)
	s := &Stream{
		id: id, conn: conn, receiver: receiver, memory: memory,
		outgoing: make(chan outgoingItem, sendQueueLength),
		done:     make(chan struct{}),
	}
	go s.write()
	go s.read()
	return s, nil
}

// Send queues a step. It returns false if the stream has ended or its queue is full.
func (s *Stream) Send(step Step) bool {
	if s.pending.Add(1) == 1 {
		s.lastReceived.Store(time.Now().UnixNano())
	}
	if s.enqueue(outgoingItem{step: &step}) {
		return true
	}
	s.pending.Add(-1)
	return false
}

// CloseSession queues a request to the runner to release a session's state. It returns
// false if the stream has ended or its queue is full.
func (s *Stream) CloseSession(c CloseSession) bool {
	return s.enqueue(outgoingItem{close: &c})
}

func (s *Stream) enqueue(item outgoingItem) bool {
	if s.Closed() {
		return false
	}
	select {
	case s.outgoing <- item:
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

// CloseWithError ends the stream. The first call, which may come from the stream itself,
// calls the receiver's HandleStreamLost with its cause; later calls do nothing.
func (s *Stream) CloseWithError(cause error) {
	s.closeOnce.Do(func() {
		close(s.done)
		_ = s.conn.Close()
		s.receiver.HandleStreamLost(s.id, s, cause)
	})
}

func (s *Stream) write() {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	heartbeat := uint64(0)
	for {
		frame, ok := s.nextFrame(timer)
		if !ok {
			return
		}
		// Writes can succeed for a while on a connection whose other end has
		// stopped responding, so the timeout is also checked when there are steps
		// to send.
		elapsed := s.timeSinceReceived(time.Now())
		if elapsed >= heartbeatTimeout {
			s.CloseWithError(&HeartbeatTimeoutError{Elapsed: elapsed})
			return
		}
		if elapsed >= heartbeatInterval {
			heartbeat++
			frame.Heartbeat = heartbeat
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

// nextFrame waits for steps or closes to send. While replies are pending it waits at
// most heartbeatInterval and then returns an empty frame. Without pending replies it
// sets no timer, so that idle streams use no processor time. It returns false when
// the stream has ended.
func (s *Stream) nextFrame(timer *time.Timer) (Frame, bool) {
	var timeout <-chan time.Time
	if s.pending.Load() > 0 {
		timer.Reset(heartbeatInterval)
		timeout = timer.C
	}
	select {
	case <-s.done:
		return Frame{}, false
	case first := <-s.outgoing:
		return s.collect(first), true
	case <-timeout:
		return Frame{}, true
	}
}

func (f *Frame) empty() bool {
	return len(f.Steps)+len(f.Closes) == 0 && f.Heartbeat == 0
}

// timeSinceReceived returns how long no data has been received while replies are
// pending, or 0 if none are.
func (s *Stream) timeSinceReceived(now time.Time) time.Duration {
	if s.pending.Load() <= 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.lastReceived.Load()))
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

// collect joins first and the items that are already queued into one frame, at most
// maxFrameItems.
func (s *Stream) collect(first outgoingItem) Frame {
	var f Frame
	f.add(first)
	for n := 1; n < maxFrameItems; n++ {
		select {
		case item := <-s.outgoing:
			f.add(item)
		default:
			return f
		}
	}
	return f
}

func (f *Frame) add(item outgoingItem) {
	if item.step != nil {
		f.Steps = append(f.Steps, *item.step)
	}
	if item.close != nil {
		f.Closes = append(f.Closes, *item.close)
	}
}

// countReply counts a reply. Repeated replies must not leave the count below 0: the
// stream would treat later steps as not pending and never detect a timeout.
func (s *Stream) countReply() {
	if s.pending.Add(-1) < 0 {
		s.pending.Store(0)
	}
}

// readFrame reads the next frame, which must end within frameTimeout once it has begun.
func (s *Stream) readFrame() (Frame, error) {
	_, reader, err := s.conn.NextReader()
	if err != nil {
		return Frame{}, err
	}
	deadline := time.Now().Add(frameTimeout)
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return Frame{}, err
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	data, release, err := s.memory.ReadAll(ctx, reader, -1, MaxFrameBytes)
	if err != nil {
		return Frame{}, err
	}
	defer release()
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return Frame{}, err
	}
	return DecodeFrame(data)
}

func (s *Stream) read() {
	for {
		frame, err := s.readFrame()
		if err != nil {
			s.CloseWithError(err)
			return
		}
		s.lastReceived.Store(time.Now().UnixNano())
		for _, reply := range frame.Replies {
			s.countReply()
			s.receiver.HandleReply(s.id, reply)
		}
	}
}
