package engine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"mulberryhead.org/mulberryhead/internal/runner"
)

const (
	crashCheckTimeout       = 250 * time.Millisecond
	crashCheckRetryInterval = 10 * time.Millisecond
)

// checkCrash determines whether the runner of a lost stream crashed while it ran
// this request, and if so records the crash. Each session first probes the runner
// without the pool's lock and then, if the runner crashed, calls Attributable with
// the lock held.
//
// There is no check after a heartbeat timeout, for a runner that is no longer in
// the fleet, or if the session's last step was sent to another runner.
func (d *driver) checkCrash(ctx context.Context, id runner.ID) {
	p := d.pool
	p.mu.Lock()
	r, ok := p.fleet.Runner(id)
	if !ok || d.active.heartbeatTimedOut || d.active.currentRunner != id {
		p.mu.Unlock()
		return
	}
	address, incarnation := r.Address, r.Report.Incarnation
	p.mu.Unlock()
	if !p.hasCrashed(ctx, id, address, incarnation) {
		return
	}
	p.mu.Lock()
	request := d.request.Fingerprint
	recorded := p.crashTracker.RecordCrash(time.Now(), request, incarnation, p.crashTracker.Attributable(request, id, incarnation))
	notify := p.onCrash
	p.mu.Unlock()
	if recorded {
		notify(request, incarnation)
	}
}

// hasCrashed reports whether a runner's process is gone or has been replaced by
// another incarnation. A process that is about to exit may still accept a
// connection and drop it, so any other error is retried until crashCheckTimeout,
// after which the runner counts as not crashed.
func (p *Pool) hasCrashed(ctx context.Context, id runner.ID, address, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		report, err := p.statusClient.FetchReport(ctx, id, address)
		if err == nil {
			return report.Incarnation != incarnation
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		time.Sleep(crashCheckRetryInterval)
	}
	return false
}
