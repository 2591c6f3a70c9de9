package retrybudget

import (
	"sync"
	"time"
)

const (
	// urgentFraction is the fraction of a budget that is reserved for urgent retries.
	urgentFraction = 0.5
	// bucketCount is the number of time buckets in which the requests of a window are
	// counted.
	bucketCount = 20
	// denialLifetime is how long after a denial a retry counts as needed. Requests that wait ask
	// again each 20 ms.
	denialLifetime = 500 * time.Millisecond
)

// WindowBudget limits the retries in every sliding window of some seconds: to a fraction
// of the requests in the window, plus this instance's part of a reserve that all instances
// share. It may spend what other instances have lent to it, and not what it has lent to them. It is
// safe for concurrent use.
type WindowBudget struct {
	mu           sync.Mutex
	bounds       Bounds
	instances    int
	started      time.Time
	retries      []time.Time      // within the window
	requests     [bucketCount]int // by bucket
	newestBucket int64            // number of the newest bucket since the Unix epoch
	loans        map[Borrower]*loanState
	granted      []Loan   // by other instances to this one
	reported     Spending // in the last Report
	deniedAt     time.Time
}

// Spending is what an instance, or several together, may spend in the window that ends now, and
// what they have spent, borrowed retries included. A retry that was denied just now counts as
// spent, so that an instance whose part is less than one retry is known to need more.
type Spending struct {
	Allowed float64
	Spent   float64
}

// Bounds limit the retries that all instances together may send to a service.
type Bounds struct {
	Ratio   float64 // retries for each request in a window
	Reserve float64 // additional retries in a window
	Window  time.Duration
}

// NewWindowBudget returns a budget with the given bounds. The first window does not
// include the reserve, because an earlier process of this instance may have spent its
// part of the reserve just before now.
func NewWindowBudget(now time.Time, bounds Bounds, instances int) *WindowBudget {
	return &WindowBudget{bounds: bounds, instances: max(1, instances), started: now, loans: map[Borrower]*loanState{}}
}

// SetBounds changes the bounds. If the length of the window changes, the request counts
// are reset and the first window does not include the reserve.
func (w *WindowBudget) SetBounds(now time.Time, bounds Bounds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if bounds.Window != w.bounds.Window {
		w.requests = [bucketCount]int{}
		w.newestBucket = 0
		w.started = now
	}
	w.bounds = bounds
}

// SetInstanceCount sets the number of instances that share the reserve, including this
// one.
func (w *WindowBudget) SetInstanceCount(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = max(1, count)
}

// RecordRequest counts a request, which raises the allowed retries by Bounds.Ratio.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	w.requests[w.newestBucket%bucketCount]++
}

// CanTake reports whether Take would return true.
func (w *WindowBudget) CanTake(now time.Time, urgent bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.available(now, urgent)
}

// Take spends one retry. It returns false if none is left. A retry is urgent if a client
// that has received a part of its response would otherwise lose the rest; a fraction of
// the budget is reserved for urgent retries.
func (w *WindowBudget) Take(now time.Time, urgent bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.available(now, urgent) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// GiveBack returns a retry that was taken and not sent. The oldest one is removed, so that no
// retry that was sent counts for less than a window.
func (w *WindowBudget) GiveBack() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.retries) > 0 {
		w.retries = w.retries[1:]
	}
}

func (w *WindowBudget) available(now time.Time, urgent bool) bool {
	share := 1.0
	if !urgent {
		share = 1 - urgentFraction
	}
	own := w.spending(now)
	if own.Spent+1 <= share*(own.Allowed+w.borrowed(now)) {
		return true
	}
	w.deniedAt = now
	return false
}

// spending returns the state of this instance's part of the budget, less what it has lent.
func (w *WindowBudget) spending(now time.Time) Spending {
	w.expire(now)
	requests := 0
	for _, count := range w.requests {
		requests += count
	}
	allowed := w.bounds.Ratio * float64(requests)
	if now.Sub(w.started) > w.bounds.Window {
		allowed += w.part() - w.lent(now)
	}
	return Spending{Allowed: allowed, Spent: float64(len(w.retries))}
}

// Report returns what this instance may spend and has spent, to be told to the others.
func (w *WindowBudget) Report(now time.Time) Spending {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reported = w.current(now)
	return w.reported
}

// Spending returns what Report returns, and does not count as a report.
func (w *WindowBudget) Spending(now time.Time) Spending {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current(now)
}

// ReportDue reports whether half of what was left at the last Report has been spent since.
func (w *WindowBudget) ReportDue(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current(now).changedSince(w.reported)
}

func (w *WindowBudget) current(now time.Time) Spending {
	state := w.spending(now)
	state.Allowed = max(0, state.Allowed+w.borrowed(now))
	if now.Sub(w.deniedAt) < denialLifetime {
		state.Spent++
	}
	return state
}

// expire removes the retries and request counts that are older than the window.
func (w *WindowBudget) expire(now time.Time) {
	expired := 0
	for expired < len(w.retries) && now.Sub(w.retries[expired]) > w.bounds.Window {
		expired++
	}
	w.retries = w.retries[expired:]
	bucket := now.UnixNano() / int64(w.bounds.Window/bucketCount)
	for w.newestBucket < bucket {
		if bucket-w.newestBucket > bucketCount {
			w.newestBucket = bucket - bucketCount
		}
		w.newestBucket++
		w.requests[w.newestBucket%bucketCount] = 0
	}
}
