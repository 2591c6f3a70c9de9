package http1

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndWait guards against an end that is decided before anything shows what it is, and against one of a slow but
// sound server that is lost.
func TestEndWait(t *testing.T) {
	const (
		size, half = 1000, 500                       // bytes
		long       = int(maxStandstill/maxPause) + 1 // looks at the request
		waits      = "waits"                         // the verdict, otherwise the type of the error
		ends       = "<nil>"
		isReset    = "*http1.ResetError"
		isUnread   = "*http1.UnreadRequestError"
	)
	var (
		unread  = requestState{known: true, sent: size, unacknowledged: size}
		partial = requestState{known: true, sent: size, unacknowledged: half}
		begun   = requestState{known: true, sent: half, writing: true}
		taken   = requestState{known: true, sent: size}
		unknown = requestState{sent: size, unacknowledged: size}
		reset   = requestState{known: true, sent: size, err: io.ErrClosedPipe}
	)
	type looks struct {
		state requestState
		count int
	}
	for name, test := range map[string]struct {
		looks []looks
		pause time.Duration // between two of them
		want  string
	}{
		"taken":                 {[]looks{{taken, 1}}, maxPause, ends},
		"not known":             {[]looks{{unknown, 1}}, maxPause, ends},
		"unread":                {[]looks{{unread, long - 1}}, maxPause, waits},
		"unread for long":       {[]looks{{unread, long}}, maxPause, isUnread},
		"own pauses":            {[]looks{{unread, long - 1}}, time.Minute, waits},
		"taken slowly":          {[]looks{{unread, long - 1}, {partial, long - 1}, {taken, 1}}, maxPause, ends},
		"taken in part":         {[]looks{{unread, long - 1}, {partial, long}}, maxPause, isUnread},
		"more to be written":    {[]looks{{begun, long - 1}}, maxPause, waits},
		"not written for long":  {[]looks{{begun, long}}, maxPause, isUnread},
		"reset":                 {[]looks{{unread, 1}, {reset, 1}}, maxPause, isReset},
		"reset, although taken": {[]looks{{reset, 1}}, maxPause, isReset},
	} {
		t.Run(name, func(t *testing.T) {
			var wait endWait
			now, got := time.Now(), waits
			for _, looks := range test.looks {
				for range looks.count {
					assert.Equal(t, got, waits)
					if decided, err := wait.decide(now, looks.state); decided {
						got = fmt.Sprintf("%T", err)
					}
					now = now.Add(test.pause)
				}
			}
			assert.Equal(t, got, test.want)
		})
	}
}
