package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	// endCheckDelay is the time after which a backend server that still accepts connections
	// right after a failed attempt is checked once more: a process may close its connections
	// before its listener.
	endCheckDelay   = 30 * time.Millisecond
	endCheckTimeout = 300 * time.Millisecond
	// linkCheckTimeout is how long it may take to show that a refused connection is due to the
	// server, not to this instance's own links. linkCheckInterval is the interval of the checks.
	linkCheckTimeout     = 600 * time.Millisecond
	minLinkCheckInterval = time.Millisecond
	linkCheckInterval    = 20 * time.Millisecond
	// othersCheckInterval is the minimum time between two checks of a stage since another one of
	// its path has ended: each stream that broke off asks for one.
	othersCheckInterval = 300 * time.Millisecond
)

// suspectedEnd is a backend server that may have ended.
type suspectedEnd struct {
	server deployment.Backend
	// at is when its connection broke off, zero for a stage further down the path: streams
	// wait for a while for one that has ended.
	at time.Time
	// others are the other stages of its path, which may have ended at the same moment.
	others []deployment.Backend
}

// otherStages returns the servers of a path but one.
func otherStages(path []deployment.Backend, server deployment.Backend) []deployment.Backend {
	return slices.DeleteFunc(slices.Clone(path), func(other deployment.Backend) bool { return other.ID == server.ID })
}

// checkOthers checks the other stages of the path of a backend server that has ended. Servers
// that are lost together are then known at once: otherwise each is found only when streams wait
// for it, as the end of another moment for which those streams are blamed. The checks of a stage
// are at least othersCheckInterval apart.
func (e *endWatch) checkOthers(now time.Time, suspect suspectedEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.othersCheckedAt, func(_ deployment.Incarnation, at time.Time) bool { return now.Sub(at) >= othersCheckInterval })
	for _, other := range suspect.others {
		incarnation := other.Incarnation()
		if _, checked := e.othersCheckedAt[incarnation]; checked || e.tracker.Ended(incarnation) {
			continue
		}
		e.othersCheckedAt[incarnation] = now
		go e.checkEnd(context.Background(), suspectedEnd{server: other})
	}
}

// checkEnds checks side by side which of the suspected backend servers have ended, and waits for the
// results. It reports whether one has.
func (e *endWatch) checkEnds(ctx context.Context, suspected []suspectedEnd) bool {
	var ended atomic.Bool
	var checks sync.WaitGroup
	for _, suspect := range suspected {
		checks.Go(func() {
			if e.checkEnd(ctx, suspect) {
				ended.Store(true)
			}
		})
	}
	checks.Wait()
	return ended.Load()
}

// checkEnd checks whether a backend server has ended, unless that is known.
func (e *endWatch) checkEnd(ctx context.Context, suspect suspectedEnd) bool {
	incarnation := suspect.server.Incarnation()
	e.mu.Lock()
	if e.tracker.Ended(incarnation) {
		e.mu.Unlock()
		e.recordEnd(time.Now(), suspect) // the attempt that asks may be blamed too
		e.checkOthers(time.Now(), suspect)
		return true
	}
	done, underWay := e.checks[incarnation]
	if !underWay {
		done = make(chan struct{})
		e.checks[incarnation] = done
		if !suspect.at.IsZero() {
			e.brokeOff[suspect.server.ID] = true
		}
		go e.runCheck(suspect, done)
	}
	e.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	e.mu.Lock()
	ended := e.tracker.Ended(incarnation)
	e.mu.Unlock()
	if ended {
		e.checkOthers(time.Now(), suspect)
	}
	return ended
}

// runCheck connects to a backend server. Where the connection is refused, the process has
// ended; where it gets no response, the machine or the network may have failed.
func (e *endWatch) runCheck(suspect suspectedEnd, done chan struct{}) {
	incarnation := suspect.server.Incarnation()
	refused := e.refuses(suspect.server.Address)
	if !refused {
		time.Sleep(endCheckDelay)
		refused = e.refuses(suspect.server.Address)
	}
	refusedAt := time.Now()
	if refused {
		reaches := e.reachesOthers(suspect.server.Address, refusedAt)
		switch {
		case !e.config.Fleet.Serving(incarnation):
		case reaches:
			e.recordEnd(time.Now(), suspect)
		default:
			e.awaitProof(time.Now(), suspect)
		}
	}
	e.mu.Lock()
	delete(e.checks, incarnation)
	delete(e.brokeOff, suspect.server.ID)
	e.mu.Unlock()
	close(done)
}

// underCheck returns the servers whose connections broke off in the middle of a stream and of which
// it is being found out whether they have ended.
func (e *endWatch) underCheck() map[deployment.BackendID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.brokeOff)
}

// refuses reports whether connections to an address are refused.
func (e *endWatch) refuses(address deployment.Address) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	return e.transport.Refused(ctx, address)
}

// reachesOthers reports whether this instance connects to other servers since it could not to
// one. Otherwise its own links may have failed.
func (e *endWatch) reachesOthers(address deployment.Address, refusedAt time.Time) bool {
	links := e.config.Links
	if links == nil {
		return true
	}
	interval := minLinkCheckInterval
	for time.Since(refusedAt) < linkCheckTimeout {
		now := time.Now()
		links.Step(now)
		if reaches, settled := links.ReachesOthers(now, address, refusedAt); settled {
			return reaches
		}
		time.Sleep(interval)
		interval = min(2*interval, linkCheckInterval)
	}
	return false
}

// recordEnd records that a backend server has ended, and blames this instance's attempts that
// were in flight there.
func (e *endWatch) recordEnd(now time.Time, suspect suspectedEnd) {
	incarnation := suspect.server.Incarnation()
	e.mu.Lock()
	at := e.endTime(now, suspect)
	blamed := append(e.blamedFor(at, incarnation), e.takeUnproven(incarnation)...)
	known := e.tracker.Ended(incarnation)
	news := e.tracker.RecordEnd(now, at, incarnation, blamed)
	e.changed(now, news)
	e.mu.Unlock()
	e.tell(news)
	if !known {
		e.config.Fleet.MarkEnded(now, incarnation)
		e.logEnd(suspect.server, noticedHere, "", len(blamed))
	}
}

// endTime returns when a backend server ended, as far as that is known: not later than its
// connection broke off, or after it was last seen running.
func (e *endWatch) endTime(now time.Time, suspect suspectedEnd) time.Time {
	if !suspect.at.IsZero() {
		return suspect.at
	}
	if seen := e.seenRunning(suspect.server.Incarnation()); !seen.IsZero() {
		return seen
	}
	return now
}

func (e *endWatch) logEnd(server deployment.Backend, source noticeSource, from deployment.InstanceID, blamed int) {
	e.config.Metrics.countBackendEnd(source)
	e.config.Logger.Info("backend server ended", zap.String("backend", string(server.ID)), zap.String("address", string(server.Address)),
		zap.Time("started-at", server.StartedAt), zap.String("source", string(source)), zap.String("told-by", string(from)), zap.Int("blamed", blamed))
}
