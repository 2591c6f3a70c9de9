package admission

import (
	"bufio"
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/internal/testarchive"
)

// TestQueue simulates the loads in testdata: requests that arrive at a constant rate and
// a limited capacity. It compares how many requests were served within their target
// latency, served late and rejected, and the longest wait of a rejected request.
func TestQueue(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		var scenario scenario
		lines := bufio.NewScanner(bytes.NewReader(files[0]))
		for lines.Scan() {
			var name string
			var value int
			_, err := fmt.Sscan(lines.Text(), &name, &value)
			assert.NilError(t, err)
			scenario.set(t, name, value)
		}
		assert.Equal(t, scenario.simulate().String(), strings.TrimSpace(string(files[1])))
	})
}

// scenario is a load on a queue, simulated in steps of 10 ms.
type scenario struct {
	arrivals int  // per second
	capacity int  // per second
	outage   int  // milliseconds without capacity at the start
	length   int  // milliseconds
	patience int  // milliseconds until a client gives up
	fifo     bool // the baseline: first come, first served, rejected only at the deadline
}

func (s *scenario) set(t *testing.T, name string, value int) {
	switch name {
	case "arrivals":
		s.arrivals = value
	case "capacity":
		s.capacity = value
	case "outage":
		s.outage = value
	case "length":
		s.length = value
	case "patience":
		s.patience = value
	case "fifo":
		s.fifo = value == 1
	default:
		t.Fatalf("unknown parameter %s", name)
	}
}

// outcome is what the clients of a scenario got.
type outcome struct {
	onTime, late, rejected int
	longestRejectedWait    time.Duration
}

func (o outcome) String() string {
	return fmt.Sprintf("in target %d, late %d, refused %d, held %s", o.onTime, o.late, o.rejected, o.longestRejectedWait)
}

const (
	step   = 10 * time.Millisecond
	target = 500 * time.Millisecond
)

func (s *scenario) simulate() outcome {
	var o outcome
	var queue Queue
	start := time.Unix(1000, 0)
	arrived, served := 0, 0
	for at := time.Duration(0); at < time.Duration(s.length)*time.Millisecond; at += step {
		now := start.Add(at)
		for ; arrived < int(at.Seconds()*float64(s.arrivals)); arrived++ {
			queue.Push(now, &Request{Arrived: now, TargetLatency: target, Deadline: now.Add(time.Duration(s.patience) * time.Millisecond)})
		}
		capacity := int((at - time.Duration(s.outage)*time.Millisecond).Seconds() * float64(s.capacity))
		for _, r := range s.order(&queue, now) {
			if served >= capacity {
				break
			}
			served++
			queue.Admit(now, r)
			if now.Sub(r.Arrived) <= target {
				o.onTime++
			} else {
				o.late++
			}
		}
		served = max(served, capacity) // unused capacity is lost
		for _, rejection := range s.shed(&queue, now) {
			o.rejected++
			o.longestRejectedWait = max(o.longestRejectedWait, now.Sub(rejection.Request.Arrived))
		}
	}
	return o
}

// order returns the waiting requests as the queue orders them, or in order of arrival for
// the baseline.
func (s *scenario) order(queue *Queue, now time.Time) []*Request {
	if s.fifo {
		return append([]*Request(nil), queue.waiting...)
	}
	return queue.Ordered(now)
}

// shed returns the requests that the queue rejects, or for the baseline those that have
// reached their deadline.
func (s *scenario) shed(queue *Queue, now time.Time) []Rejection {
	if !s.fifo {
		return queue.Shed(now)
	}
	var rejections []Rejection
	for _, r := range append([]*Request(nil), queue.waiting...) {
		if !now.Before(r.Deadline) {
			queue.Remove(r)
			rejections = append(rejections, Rejection{Request: r})
		}
	}
	return rejections
}

// TestOrder checks that a resumed request goes first, then those that can still meet their
// target latency by priority, and late ones last.
func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	late := &Request{Arrived: now.Add(-2 * time.Second), TargetLatency: target, Rank: routing.Rank{Priority: 1}}
	onTime := &Request{Arrived: now.Add(-50 * time.Millisecond), TargetLatency: target, Rank: routing.Rank{Priority: 1}}
	urgent := &Request{Arrived: now.Add(-10 * time.Millisecond), TargetLatency: target, Rank: routing.Rank{Priority: 0}}
	resumed := &Request{Resumed: true, Arrived: now.Add(-5 * time.Second), TargetLatency: target, Rank: routing.Rank{Priority: 2}}
	var queue Queue
	for _, r := range []*Request{late, onTime, urgent, resumed} {
		queue.Push(now, r)
	}
	assert.Assert(t, slices.Equal(queue.Ordered(now), []*Request{resumed, urgent, onTime, late}))
}

// TestRetryAfterIsStaggered checks that the Retry-After times of requests rejected together
// do not decrease, and that the last one is at least two seconds and at most maxRetryAfter.
func TestRetryAfterIsStaggered(t *testing.T) {
	now := time.Unix(1000, 0)
	var queue Queue
	for range 30 {
		queue.Push(now, &Request{Arrived: now, TargetLatency: target, Deadline: now.Add(time.Second)})
	}
	now = now.Add(1100 * time.Millisecond)
	for i := range 10 { // one every 100 ms
		queue.admitted = append(queue.admitted, now.Add(time.Duration(i-10)*100*time.Millisecond))
	}
	rejections := queue.Shed(now)
	assert.Equal(t, len(rejections), 30)
	for i := 1; i < len(rejections); i++ {
		assert.Assert(t, rejections[i].RetryAfter >= rejections[i-1].RetryAfter)
	}
	assert.Assert(t, rejections[29].RetryAfter >= 2*time.Second)
	assert.Assert(t, rejections[29].RetryAfter <= maxRetryAfter)
}
