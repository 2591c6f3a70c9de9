package peer

import (
	"sync"
	"time"
)

// maxTimerDelay is how late a timer may be before this process is taken to have had no
// processor time, so that received data may wait unread.
const maxTimerDelay = 100 * time.Millisecond

// silenceTimer calls a function when a link has been silent for heartbeatTimeout. If the timer
// itself is late, or a message is still being handled, the link gets heartbeatInterval more to be
// read.
type silenceTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	busy  bool // a message is being handled, and nothing is read meanwhile
	ended bool
}

// start starts the timer. onSilence is called once at most. The timer must be stopped if the link
// ends otherwise.
func (s *silenceTimer) start(onSilence func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = time.Now().Add(heartbeatTimeout)
	s.timer = time.AfterFunc(heartbeatTimeout, func() {
		if s.expired(time.Now()) {
			onSilence()
		}
	})
}

// heard records that data has arrived.
func (s *silenceTimer) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = time.Now().Add(heartbeatTimeout)
}

// silentFor returns how long the link has been silent.
func (s *silenceTimer) silentFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.due) + heartbeatTimeout
}

// setBusy records whether a message is being handled.
func (s *silenceTimer) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.due = time.Now().Add(heartbeatTimeout)
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
}

// expired reports whether the link is silent as the timer fires, and sets the timer again if it
// is not.
func (s *silenceTimer) expired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	late := now.Sub(s.due)
	if late > maxTimerDelay || s.busy {
		s.due = now.Add(heartbeatInterval)
		late = -heartbeatInterval
	}
	if late >= 0 {
		s.ended = true
		return true
	}
	s.timer.Reset(-late)
	return false
}
