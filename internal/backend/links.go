package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/reachability"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// linkMemory is how long after the last failed connection links may be down.
	linkMemory = 10 * time.Second
	// serversInterval is the interval at which Links reads the list of backend servers.
	serversInterval = time.Second
)

// ErrCutOff reports that a connection was not waited for, since this instance has lost its
// links to the backend servers.
var ErrCutOff = errors.New("this instance does not reach the backend servers")

// ErrLinkDown reports that a connection was not waited for, since this instance does not reach
// that backend server.
var ErrLinkDown = errors.New("this instance does not reach the backend server")

// LinksConfig configures Links. All fields are required.
type LinksConfig struct {
	Fleet  *Fleet
	Dial   platform.DialFunc
	Logger *zap.Logger
	// OnCutOff is called when this instance has lost its links to the servers of a service, and
	// when it has them again.
	OnCutOff func(service deployment.ServiceName, cutOff bool)
	// OnLinkDown is called when this instance does not reach a backend server, though it
	// reaches others, and at intervals while that lasts.
	OnLinkDown func(address deployment.Address)
}

// Links observes the connections that this instance opens to backend servers, and decides for
// each service by itself whether it has lost its links to its servers. It is safe for concurrent
// use. Step must be called at short intervals.
type Links struct {
	config LinksConfig

	mu        sync.Mutex
	services  map[deployment.ServiceName]*serviceLinks
	byAddress map[deployment.Address]*serviceLinks
	serversAt time.Time // when the list of backend servers was last read
	// connectedBegun is when the last connection to any server that was established was begun.
	connectedBegun time.Time
}

// NewLinks returns Links on which nothing was observed.
func NewLinks(config LinksConfig) *Links {
	return &Links{config: config, services: map[deployment.ServiceName]*serviceLinks{}, byAddress: map[deployment.Address]*serviceLinks{}}
}

// Dial opens a connection to a backend server. It gives up once this instance is known not to
// reach it, with ErrCutOff or ErrLinkDown as a cause.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begun := time.Now()
	links, id := l.begin(begun, deployment.Address(address), cancel)
	connection, err := l.config.Dial(ctx, network, address)
	l.record(begun, links, id, ctx, err)
	if err != nil && ctx.Err() != nil {
		return nil, errors.Join(context.Cause(ctx), err)
	}
	return connection, err
}

// begin records that a connection is opened. The links are nil if the server is not listed.
func (l *Links) begin(now time.Time, address deployment.Address, cancel context.CancelCauseFunc) (*serviceLinks, reachability.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := l.byAddress[address]
	if links == nil {
		return nil, 0
	}
	return links, links.begin(now, address, cancel)
}

// record records the end of an attempt to connect.
func (l *Links) record(begun time.Time, links *serviceLinks, id reachability.AttemptID, ctx context.Context, err error) {
	if links == nil {
		return
	}
	l.mu.Lock()
	now := time.Now()
	if err == nil && begun.After(l.connectedBegun) {
		l.connectedBegun = begun
	}
	address := links.record(now, id, ctx, err)
	settled := err == nil && links.verdict == reachability.Sound
	l.mu.Unlock()
	if err == nil {
		l.config.Fleet.RecordConnected(now, begun, address)
	}
	if !settled {
		l.Step(now)
	}
}

// Step decides anew, begins the probes that are due, and reports what has changed.
func (l *Links) Step(now time.Time) {
	l.mu.Lock()
	l.readServers(now)
	var steps []linkStep
	for _, links := range l.services {
		steps = append(steps, links.step(now))
	}
	l.mu.Unlock()
	for _, step := range steps {
		for _, probe := range step.probes {
			go l.probe(step.links, probe)
		}
		l.report(&step)
	}
}

// readServers is called with mu held.
func (l *Links) readServers(now time.Time) {
	if now.Sub(l.serversAt) < serversInterval {
		return
	}
	l.serversAt = now
	listed := l.config.Fleet.Endpoints()
	clear(l.byAddress)
	for service, servers := range listed {
		links, ok := l.services[service]
		if !ok {
			links = newServiceLinks(service)
			l.services[service] = links
		}
		links.setServers(now, servers)
		for _, server := range servers {
			l.byAddress[server.Address] = links
		}
	}
	for service := range l.services {
		if listed[service] == nil {
			delete(l.services, service)
		}
	}
}

func (l *Links) report(step *linkStep) {
	service := step.links.service
	if step.was != step.verdict {
		l.config.Logger.Info("links to backend servers", zap.String("service", string(service)), zap.Stringer("verdict", step.verdict), zap.Stringer("was", step.was))
	}
	if lost := step.verdict == reachability.CutOff; lost != (step.was == reachability.CutOff) {
		if !lost {
			l.config.Fleet.ClearLinkSuspects(service)
		}
		l.config.OnCutOff(service, lost)
	}
	for _, down := range step.down {
		if down.fresh {
			l.config.Logger.Info("link to a backend server down", zap.String("address", string(down.address)))
		}
		l.config.OnLinkDown(down.address)
	}
}

// probe connects to a backend server and closes the connection without sending anything.
func (l *Links) probe(links *serviceLinks, probe linkProbe) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), reachability.ProbeTimeout)
	defer cancel()
	connection, err := l.config.Dial(ctx, "tcp4", string(probe.address))
	if err == nil {
		_ = connection.Close() // nothing was sent
	}
	l.record(begun, links, probe.id, ctx, err)
}

// CutOff reports whether this instance has lost its links to the servers of a service.
func (l *Links) CutOff(service deployment.ServiceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	links, ok := l.services[service]
	return ok && links.verdict == reachability.CutOff
}

// Doubtful reports whether it is being found out if this instance has lost its links to the
// servers of a service.
func (l *Links) Doubtful(service deployment.ServiceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	links, ok := l.services[service]
	return ok && links.verdict == reachability.Doubtful
}

// AnyCutOff reports whether this instance has lost its links to the servers of some service.
func (l *Links) AnyCutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, links := range l.services {
		if links.verdict == reachability.CutOff {
			return true
		}
	}
	return false
}

// SomeUp reports whether this instance connects to some server of a service, although it has
// lost most of its links to it.
func (l *Links) SomeUp(now time.Time, service deployment.ServiceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	links, ok := l.services[service]
	return ok && links.someUp(now)
}

// ReachesOthers reports whether this instance has connected to other servers since a connection
// to one was refused, so that the link is not at fault: to another one of its service or, if it
// is the only one, of any service. settled is false while that is being found out.
func (l *Links) ReachesOthers(now time.Time, address deployment.Address, refusedAt time.Time) (reaches, settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := l.byAddress[address]
	switch {
	case links == nil:
		return true, true // it has left the list
	case links.tracker.Link(now, address) == reachability.LinkDown:
		return true, true
	case len(links.servers) == 1 && l.connectedBegun.After(refusedAt):
		return true, true
	case len(links.servers) > 1 && links.verdict == reachability.CutOff:
		return false, true
	}
	return false, false
}

// Calm reports whether no link can be down, as no connection has failed lately.
func (l *Links) Calm(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, links := range l.services {
		if now.Sub(links.lastFailure) <= linkMemory {
			return false
		}
	}
	return true
}

// Down reports whether this instance does not reach a backend server, though it reaches
// others of its service.
func (l *Links) Down(now time.Time, address deployment.Address) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := l.byAddress[address]
	return links != nil && links.tracker.Link(now, address) == reachability.LinkDown
}

// Unreachable reports whether this instance reaches no server of a service to which requests
// are sent: any of a plain service, the first stages of a model service.
func (l *Links) Unreachable(now time.Time, service *deployment.Service) bool {
	if l.CutOff(service.Name) {
		return true
	}
	if l.Calm(now) {
		return false
	}
	entries := l.config.Fleet.Entries(now, service)
	for _, address := range entries {
		if !l.Down(now, address) {
			return false
		}
	}
	return len(entries) > 0
}
