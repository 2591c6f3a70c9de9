package router

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// processTimeInterval is the time that a processTimer sleeps, again and again. It is that
	// of an event, so that the timer is late as often as the fake servers are.
	processTimeInterval = platformtest.EventInterval
	// timerTolerance is how late a sleep is without a shortage of processor time.
	timerTolerance = 5 * time.Millisecond
)

// processTimer measures how much time a process has lost since it got no processor time. A
// script runs all routers and servers in one process: beside other processes an event that
// takes 15 ms may take 60 ms, and a stream then reaches its deadline though nothing in the
// router is wrong. The time lost is what sleeps last longer than asked for.
type processTimer struct {
	mu    sync.Mutex
	lates []lateness
}

// lateness is how much longer a sleep has lasted than asked for.
type lateness struct {
	at   time.Time // the end of the sleep
	late time.Duration
}

// record records a sleep that began at a time and has ended.
func (p *processTimer) record(began, ended time.Time) {
	late := ended.Sub(began) - processTimeInterval
	if late <= timerTolerance {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lates = append(p.lates, lateness{at: ended, late: late})
}

// run measures until stop is closed.
func (p *processTimer) run(stop <-chan struct{}) {
	for {
		began := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(processTimeInterval):
			p.record(began, time.Now())
		}
	}
}

// lost returns the time that the process has lost between two times.
func (p *processTimer) lost(from, to time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := time.Duration(0)
	for _, sleep := range p.lates {
		// The sleep was late from at-late to at, of which only a part may lie between the times.
		first, last := sleep.at.Add(-sleep.late), sleep.at
		if first.Before(from) {
			first = from
		}
		if last.After(to) {
			last = to
		}
		total += max(0, last.Sub(first))
	}
	return total
}

// cutForLackOfTime reports whether a stream was cut at its deadline, and the process has lost so
// much time until then that the rest of the stream fits in it. With that time the stream would
// have been whole before its deadline.
func (p *processTimer) cutForLackOfTime(try firstTry, deadline time.Duration) bool {
	if try.route != "stream" || try.err == nil || try.status != http.StatusOK || try.took < deadline {
		return false
	}
	rest := time.Duration(platformtest.EventsPerStream-try.events) * platformtest.EventInterval
	return p.lost(try.sent, try.sent.Add(deadline)) >= rest
}

// withoutLackOfTime returns the first tries without the streams that were cut for lack of
// processor time, whose number is logged.
func (sr *scriptRunner) withoutLackOfTime() []firstTry {
	tries := slices.DeleteFunc(slices.Clone(sr.steady.tries), func(try firstTry) bool {
		return sr.steady.timer.cutForLackOfTime(try, sr.deadline)
	})
	if left := len(sr.steady.tries) - len(tries); left > 0 {
		sr.t.Logf("%d streams of %d requests were cut at their deadline after the process had lost the time for the rest of them", left, len(sr.steady.tries))
	}
	return tries
}

// TestCutForLackOfTime guards against a healthy stream that counts as cut by the router where
// the test process got no processor time, and against a stream cut by the router that does not
// count.
func TestCutForLackOfTime(t *testing.T) {
	const deadline = 3 * time.Second
	sent := time.Unix(1000, 0)
	starved, idle := &processTimer{}, &processTimer{}
	for at := sent.Add(-time.Second); at.Before(sent.Add(deadline)); at = at.Add(45 * time.Millisecond) {
		starved.record(at, at.Add(45*time.Millisecond)) // two thirds of the time are lost
	}
	for at := sent; at.Before(sent.Add(deadline)); at = at.Add(processTimeInterval + timerTolerance) {
		idle.record(at, at.Add(processTimeInterval+timerTolerance))
	}
	cut := func(events int, took time.Duration) firstTry {
		return firstTry{sent: sent, took: took, result: result{route: "stream", status: http.StatusOK, events: events, err: io.ErrUnexpectedEOF}}
	}
	for _, test := range []struct {
		name  string
		timer *processTimer
		try   firstTry
		want  bool
	}{
		{"at its deadline in a starved process", starved, cut(45, deadline), true},
		{"before its deadline", starved, cut(45, 2900*time.Millisecond), false},
		{"at its deadline in an idle process", idle, cut(59, deadline), false},
		{"whole", starved, firstTry{sent: sent, took: deadline, result: result{route: "stream", status: http.StatusOK, events: 60}}, false},
		{"without a response", starved, firstTry{sent: sent, took: deadline, result: result{route: "stream", err: io.ErrUnexpectedEOF}}, false},
	} {
		assert.Check(t, test.timer.cutForLackOfTime(test.try, deadline) == test.want, test.name)
	}
	short := &processTimer{}
	short.record(sent, sent.Add(processTimeInterval+300*time.Millisecond))
	assert.Check(t, short.cutForLackOfTime(cut(40, deadline), deadline), "300 ms are the time of 20 events")
	assert.Check(t, !short.cutForLackOfTime(cut(39, deadline), deadline), "21 events take longer than 300 ms")
}
