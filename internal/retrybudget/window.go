package retrybudget

import (
	"sync"
	"time"
)

const (
	// urgentShare is the part of a budget that is kept for urgent retries.
	urgentShare = 0.5
	// buckets divide a window to count its requests.
	buckets = 20
)

// WindowBudget allows retries within a bound that holds for every window of some
// seconds: a share of the window's requests, and this instance's part of a reserve
// that several share. It is safe for concurrent use.
type WindowBudget struct {
	mu        sync.Mutex
	bounds    Bounds
	instances int
	started   time.Time
	retries   []time.Time
	counts    [buckets]int // requests by slice of time
	newest    int64        // slice of time of the newest count
}

// Bounds are how many retries a service bears from all instances.
type Bounds struct {
	Ratio   float64 // retries for each request of a window
	Reserve float64 // retries of a window beside that
	Window  time.Duration
}

// NewWindowBudget returns a budget within bounds. Since an earlier run of this instance
// may have spent its part of the reserve just before now, the first window is without
// it.
func NewWindowBudget(now time.Time, bounds Bounds, instances int) *WindowBudget {
	return &WindowBudget{bounds: bounds, instances: max(1, instances), started: now}
}

// SetBounds changes the bounds. With another window the count of requests starts
// anew, and the first window is without the reserve.
func (w *WindowBudget) SetBounds(now time.Time, bounds Bounds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if bounds.Window != w.bounds.Window {
		w.counts = [buckets]int{}
		w.newest = 0
		w.started = now
	}
	w.bounds = bounds
}

// SetInstanceCount tells how many instances share the reserve.
func (w *WindowBudget) SetInstanceCount(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = max(1, count)
}

// RecordRequest earns a share of a retry for a request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget(now)
	w.counts[w.newest%buckets]++
}

// CanTake tells whether Take would spend a retry.
func (w *WindowBudget) CanTake(now time.Time, urgent bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.has(now, urgent)
}

// Take spends one retry, and reports false when none is left. Urgent ones are
// those without which a caller that has a part of its answer would lose the rest;
// a part of the budget is kept for them.
func (w *WindowBudget) Take(now time.Time, urgent bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.has(now, urgent) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

func (w *WindowBudget) has(now time.Time, urgent bool) bool {
	w.forget(now)
	requests := 0
	for _, count := range w.counts {
		requests += count
	}
	allowed := w.bounds.Ratio * float64(requests)
	if now.Sub(w.started) > w.bounds.Window {
		allowed += w.bounds.Reserve / float64(w.instances)
	}
	if !urgent {
		allowed *= 1 - urgentShare
	}
	return float64(len(w.retries)+1) <= allowed
}

// forget drops what is older than the window.
func (w *WindowBudget) forget(now time.Time) {
	old := 0
	for old < len(w.retries) && now.Sub(w.retries[old]) > w.bounds.Window {
		old++
	}
	w.retries = w.retries[old:]
	slice := now.UnixNano() / int64(w.bounds.Window/buckets)
	for w.newest < slice {
		if slice-w.newest > buckets {
			w.newest = slice - buckets
		}
		w.newest++
		w.counts[w.newest%buckets] = 0
	}
}
