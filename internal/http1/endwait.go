package http1

import (
	"fmt"
	"time"
)

const (
	// maxStandstill is how long a server that has ended its side of a connection may take nothing more of the request.
	maxStandstill = time.Second
	// maxPause is what counts at most between two looks at the request: in a longer time this process stood still
	// itself.
	maxPause = 50 * time.Millisecond
)

// UnreadRequestError reports that a server ended its side of a connection, and then took no more of the request, so
// that nothing shows that its answer is whole.
type UnreadRequestError struct {
	Unacknowledged int64 // bytes that were written and that the server's host has not taken
}

func (e *UnreadRequestError) Error() string {
	return fmt.Sprintf("connection ended, and its server took no more of the request: %d bytes of what was written are left", e.Unacknowledged)
}

// requestState is what is known of a request while the end of its connection waits.
type requestState struct {
	writing        bool  // more of it is to be written
	sent           int64 // bytes that were written
	known          bool  // the kernel tells unacknowledged
	unacknowledged int64 // bytes of sent that the server's host has not taken
	err            error // of a failed write or a reset
}

// endWait decides whether an end of a connection can be trusted. The zero value begins to wait. As long as the server
// takes more of the request the end waits, within the timeout of the call.
type endWait struct {
	taken      int64         // bytes of the request, when it was looked at last
	lookedAt   time.Time     // when that was
	standstill time.Duration // since the server was seen to take more
}

// decide reports whether the wait is over. Then the error is a *ResetError or an *UnreadRequestError if the end can't
// be trusted.
func (w *endWait) decide(now time.Time, state requestState) (bool, error) {
	if state.err != nil {
		return true, &ResetError{Cause: state.err}
	}
	if !state.known || !state.writing && state.unacknowledged == 0 {
		return true, nil
	}
	taken := state.sent - state.unacknowledged
	if w.lookedAt.IsZero() || taken > w.taken {
		w.standstill = 0
	} else {
		w.standstill += min(now.Sub(w.lookedAt), maxPause)
	}
	w.taken, w.lookedAt = taken, now
	if w.standstill >= maxStandstill {
		return true, &UnreadRequestError{Unacknowledged: state.unacknowledged}
	}
	return false, nil
}
