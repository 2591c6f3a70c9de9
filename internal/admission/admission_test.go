package admission

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/testarchive"
)

// TestLine plays scripts: requests that arrive at a rate, and capacity for fewer of
// them. What callers get is compared: how many were served within their target,
// later, and refused, and how long the refused ones held their clients.
func TestLine(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		var load load
		lines := bufio.NewScanner(bytes.NewReader(files[0]))
		for lines.Scan() {
			var name string
			var value int
			_, err := fmt.Sscan(lines.Text(), &name, &value)
			assert.NilError(t, err)
			load.set(t, name, value)
		}
		assert.Equal(t, load.play().String(), strings.TrimSpace(string(files[1])))
	})
}

// load is a load on a line, played in steps of 10 ms.
type load struct {
	arrivals int // in a second
	capacity int // in a second
	outage   int // milliseconds at the begin without any capacity
	length   int // milliseconds
	patience int // milliseconds
	fifo     bool
}

func (l *load) set(t *testing.T, name string, value int) {
	switch name {
	case "arrivals":
		l.arrivals = value
	case "capacity":
		l.capacity = value
	case "outage":
		l.outage = value
	case "length":
		l.length = value
	case "patience":
		l.patience = value
	case "fifo":
		l.fifo = value == 1
	default:
		t.Fatalf("unknown line %s", name)
	}
}

// account is what callers got.
type account struct {
	inTarget, late, refused int
	held                    time.Duration // longest wait of a refused one
}

func (a account) String() string {
	return fmt.Sprintf("in target %d, late %d, refused %d, held %s", a.inTarget, a.late, a.refused, a.held)
}

const (
	step   = 10 * time.Millisecond
	target = 500 * time.Millisecond
)

func (l *load) play() account {
	var a account
	var line Queue
	start := time.Unix(1000, 0)
	arrived, served := 0, 0
	for at := time.Duration(0); at < time.Duration(l.length)*time.Millisecond; at += step {
		now := start.Add(at)
		for ; arrived < int(at.Seconds()*float64(l.arrivals)); arrived++ {
			line.Push(now, &Request{Arrived: now, TargetLatency: target, Deadline: now.Add(time.Duration(l.patience) * time.Millisecond)})
		}
		free := int((at - time.Duration(l.outage)*time.Millisecond).Seconds() * float64(l.capacity))
		for _, r := range l.order(&line, now) {
			if served >= free {
				break
			}
			served++
			line.Admit(now, r)
			if now.Sub(r.Arrived) <= target {
				a.inTarget++
			} else {
				a.late++
			}
		}
		served = max(served, free) // capacity that nobody took is lost
		for _, refusal := range l.refuse(&line, now) {
			a.refused++
			a.held = max(a.held, now.Sub(refusal.Request.Arrived))
		}
	}
	return a
}

// order is the line's, or first come, first served for the baseline.
func (l *load) order(line *Queue, now time.Time) []*Request {
	if l.fifo {
		return append([]*Request(nil), line.waiting...)
	}
	return line.Ordered(now)
}

// refuse is the line's, or that of the baseline, which knows only who has left.
func (l *load) refuse(line *Queue, now time.Time) []Rejection {
	if !l.fifo {
		return line.Shed(now)
	}
	var refusals []Rejection
	for _, r := range append([]*Request(nil), line.waiting...) {
		if !now.Before(r.Deadline) {
			line.Remove(r)
			refusals = append(refusals, Rejection{Request: r})
		}
	}
	return refusals
}

// TestResumedGoesFirst checks the order of requests that differ in one thing each.
func TestResumedGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	old := &Request{Arrived: now.Add(-2 * time.Second), TargetLatency: target, Priority: 1}
	fresh := &Request{Arrived: now.Add(-50 * time.Millisecond), TargetLatency: target, Priority: 1}
	urgent := &Request{Arrived: now.Add(-10 * time.Millisecond), TargetLatency: target, Priority: 0}
	resumed := &Request{Resumed: true, Arrived: now.Add(-5 * time.Second), TargetLatency: target, Priority: 2}
	var line Queue
	for _, r := range []*Request{old, fresh, urgent, resumed} {
		line.Push(now, r)
	}
	assert.DeepEqual(t, line.Ordered(now), []*Request{resumed, urgent, fresh, old})
}

// TestRefusalTellsWhenToComeBack checks that clients which are refused together
// are told to come back one after the other.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	var line Queue
	for range 30 {
		line.Push(now, &Request{Arrived: now, TargetLatency: target, Deadline: now.Add(time.Second)})
	}
	now = now.Add(1100 * time.Millisecond)
	for i := range 10 { // one each tenth of a second
		line.admitted = append(line.admitted, now.Add(time.Duration(i-10)*100*time.Millisecond))
	}
	refusals := line.Shed(now)
	assert.Equal(t, len(refusals), 30)
	for i := 1; i < len(refusals); i++ {
		assert.Assert(t, refusals[i].RetryAfter >= refusals[i-1].RetryAfter)
	}
	assert.Assert(t, refusals[29].RetryAfter >= 2*time.Second)
	assert.Assert(t, refusals[29].RetryAfter <= longestPause)
}
