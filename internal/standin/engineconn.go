package standin

import (
	"sync"
	"time"

	"github.com/gorilla/websocket"

	"mulberryhead.org/mulberryhead/internal/runner"
)

type engineConn struct {
	ws       *websocket.Conn
	mu       sync.Mutex
	silent   bool
	pending  []runner.Reply
	beat     uint64
	flushing bool
}

// deliver sends a reply over the connection that its step came in on.
func (e *Engine) deliver(c *engineConn, reply runner.Reply) {
	e.mu.Lock()
	delay := e.config.LinkDelay + milliseconds(e.faults.LinkDelayMillis)
	targets, times := []*engineConn{c}, 1
	if e.faults.StrayReplies {
		times = 2
		targets = targets[:0]
		for other := range e.conns {
			targets = append(targets, other)
		}
	}
	e.mu.Unlock()
	send := func() {
		for range times {
			for _, target := range targets {
				target.send([]runner.Reply{reply}, 0)
			}
		}
	}
	if delay > 0 {
		time.AfterFunc(delay, send)
		return
	}
	send()
}

func (c *engineConn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *engineConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// send queues replies; replies that gather during a write share the next frame.
func (c *engineConn) send(replies []runner.Reply, beat uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return
	}
	c.pending = append(c.pending, replies...)
	c.beat = max(c.beat, beat)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
}

func (c *engineConn) flush() {
	for {
		c.mu.Lock()
		if c.silent || (len(c.pending) == 0 && c.beat == 0) {
			c.flushing = false
			c.mu.Unlock()
			return
		}
		frame := runner.Frame{Replies: c.pending, Heartbeat: c.beat}
		c.pending, c.beat = nil, 0
		c.mu.Unlock()
		data, err := runner.EncodeFrame(frame)
		if err != nil {
			continue
		}
		_ = c.ws.WriteMessage(websocket.BinaryMessage, data)
	}
}
