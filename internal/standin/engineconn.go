package standin

import (
	"sync"
	"time"

	"github.com/gorilla/websocket"

	"mulberryhead.org/mulberryhead/internal/runner"
)

type engineConn struct {
	ws        *websocket.Conn
	mu        sync.Mutex
	silent    bool
	pending   []runner.Reply
	heartbeat uint64
	flushing  bool
}

// deliver sends a reply over the connection on which its step was received. With
// StrayReplies it sends the reply twice over every open connection instead.
func (e *Engine) deliver(c *engineConn, reply runner.Reply) {
	e.mu.Lock()
	delay := e.config.LinkDelay + milliseconds(e.faults.LinkDelayMillis)
	targets, copies := []*engineConn{c}, 1
	if e.faults.StrayReplies {
		copies = 2
		targets = targets[:0]
		for other := range e.conns {
			targets = append(targets, other)
		}
	}
	e.mu.Unlock()
	send := func() {
		for range copies {
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

// send queues replies and a heartbeat, if above 0. Everything queued during a
// write is sent in the next frame.
func (c *engineConn) send(replies []runner.Reply, heartbeat uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return
	}
	c.pending = append(c.pending, replies...)
	c.heartbeat = max(c.heartbeat, heartbeat)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
}

func (c *engineConn) flush() {
	for {
		c.mu.Lock()
		if c.silent || (len(c.pending) == 0 && c.heartbeat == 0) {
			c.flushing = false
			c.mu.Unlock()
			return
		}
		frame := runner.Frame{Replies: c.pending, Heartbeat: c.heartbeat}
		c.pending, c.heartbeat = nil, 0
		c.mu.Unlock()
		data, err := runner.EncodeFrame(frame)
		if err != nil {
			continue
		}
		_ = c.ws.WriteMessage(websocket.BinaryMessage, data)
	}
}
