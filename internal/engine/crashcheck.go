package engine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"mulberryhead.org/mulberryhead/internal/runner"
)

const (
	crashCheckTimeout = 250 * time.Millisecond
	crashCheckRetry   = 10 * time.Millisecond
)

// checkCrash asks a runner whose stream ended whether it still is the process
// that it was. If not, this request was running when it crashed.
func (d *driver) checkCrash(ctx context.Context, id runner.ID) {
	p := d.pool
	p.mu.Lock()
	r, ok := p.fleet.Runner(id)
	if !ok || d.running.silent || d.running.at != id {
		p.mu.Unlock()
		return
	}
	address, before := r.Address, r.Report.Incarnation
	p.mu.Unlock()
	if !p.hasCrashed(ctx, id, address, before) {
		return
	}
	p.mu.Lock()
	request := d.request.Fingerprint
	news := p.suspects.RecordCrash(time.Now(), request, before, p.suspects.Attributable(request, id))
	notify := p.notify
	p.mu.Unlock()
	if news {
		notify(request, before)
	}
}

// hasCrashed reports whether a runner is another process than before, or none.
// A process that is just ending may still take a connection and drop it, so
// anything but a clear answer is asked again for a while.
func (p *Pool) hasCrashed(ctx context.Context, id runner.ID, address, before string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		report, err := p.status.FetchReport(ctx, id, address)
		if err == nil {
			return report.Incarnation != before
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		time.Sleep(crashCheckRetry)
	}
	return false
}
