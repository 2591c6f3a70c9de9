package backend

import (
	"context"
	"errors"
	"os"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/reachability"
)

// downReportInterval is the interval at which a link that is down is reported.
const downReportInterval = time.Second

// serviceLinks are the links of this instance to the servers of one service. It is not safe for
// concurrent use.
type serviceLinks struct {
	service deployment.ServiceName
	tracker *reachability.Tracker
	servers []reachability.Server
	verdict reachability.Verdict // as of the last step
	// dialing holds the connections that requests wait for.
	dialing     map[reachability.AttemptID]dialing
	down        map[deployment.Address]time.Time // links that are down, and when that was last reported
	lastFailure time.Time
}

// dialing is a connection that a request waits for.
type dialing struct {
	address deployment.Address
	cancel  context.CancelCauseFunc // nil for a probe, which ends by itself
}

func newServiceLinks(service deployment.ServiceName) *serviceLinks {
	return &serviceLinks{
		service: service, tracker: reachability.NewTracker(), down: map[deployment.Address]time.Time{},
		dialing: map[reachability.AttemptID]dialing{},
	}
}

func (l *serviceLinks) setServers(now time.Time, servers []reachability.Server) {
	l.servers = servers
	l.tracker.SetServers(now, servers)
}

func (l *serviceLinks) begin(now time.Time, address deployment.Address, cancel context.CancelCauseFunc) reachability.AttemptID {
	id := l.tracker.Begin(now, address)
	l.dialing[id] = dialing{address: address, cancel: cancel}
	return id
}

// record records the end of an attempt to connect. It returns the server's address.
func (l *serviceLinks) record(now time.Time, id reachability.AttemptID, ctx context.Context, err error) deployment.Address {
	address := l.dialing[id].address
	delete(l.dialing, id)
	if err == nil {
		l.tracker.Connected(now, id)
		return address
	}
	l.tracker.Failed(now, id, failureOf(ctx, err))
	l.lastFailure = now
	return address
}

// failureOf returns how an attempt to connect failed.
func failureOf(ctx context.Context, err error) reachability.Failure {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return reachability.Abandoned
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		return reachability.Hung
	}
	return reachability.Refused
}

// linkStep is what follows from a step.
type linkStep struct {
	links        *serviceLinks
	was, verdict reachability.Verdict
	probes       []linkProbe
	down         []downLink // to be reported
}

// downLink is a link that is down.
type downLink struct {
	address deployment.Address
	fresh   bool // it was not before
}

// linkProbe is a probe that has begun.
type linkProbe struct {
	id      reachability.AttemptID
	address deployment.Address
}

// step decides anew. No request waits for a connection over a link that is lost.
func (l *serviceLinks) step(now time.Time) linkStep {
	step := linkStep{links: l, was: l.verdict, verdict: l.tracker.Verdict(now)}
	l.verdict = step.verdict
	if step.verdict != reachability.Sound {
		l.lastFailure = now
	}
	if step.verdict == reachability.CutOff {
		l.cancelDialing(ErrCutOff, func(address deployment.Address) bool { return l.tracker.Link(now, address) != reachability.LinkUp })
	}
	for _, address := range l.tracker.Probes(now) {
		step.probes = append(step.probes, linkProbe{id: l.begin(now, address, nil), address: address})
	}
	step.down = l.downToReport(now)
	if len(l.down) > 0 {
		l.cancelDialing(ErrLinkDown, func(address deployment.Address) bool { return !l.down[address].IsZero() })
	}
	return step
}

// cancelDialing ends the waiting for connections to some servers.
func (l *serviceLinks) cancelDialing(cause error, to func(address deployment.Address) bool) {
	for id, d := range l.dialing {
		if d.cancel != nil && to(d.address) {
			d.cancel(cause)
			delete(l.dialing, id)
		}
	}
}

// downToReport returns the links that are down and were not before, or were reported some time
// ago.
func (l *serviceLinks) downToReport(now time.Time) []downLink {
	if l.verdict != reachability.Sound || now.Sub(l.lastFailure) > linkMemory {
		return nil
	}
	var report []downLink
	for _, server := range l.servers {
		reported := l.down[server.Address]
		switch {
		case l.tracker.Link(now, server.Address) != reachability.LinkDown:
			delete(l.down, server.Address)
		case now.Sub(reported) >= downReportInterval:
			l.down[server.Address] = now
			report = append(report, downLink{address: server.Address, fresh: reported.IsZero()})
		}
	}
	return report
}

// someUp reports whether the link to some server is up.
func (l *serviceLinks) someUp(now time.Time) bool {
	for _, server := range l.servers {
		if l.tracker.Link(now, server.Address) == reachability.LinkUp {
			return true
		}
	}
	return false
}
