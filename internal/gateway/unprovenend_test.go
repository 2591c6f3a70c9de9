package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
)

// refusedService is a gateway to which all servers of its only service refuse connections, right after
// a request was in flight on each of them, as an attempt of its own.
type refusedService struct {
	gateway *Gateway
	fleet   *backend.Fleet
	links   *backend.Links
	accepts atomic.Value // deployment.Address of the server that accepts connections again
	servers []deployment.Backend
	brokeAt time.Time
}

const refusedKey = poison.Key(7)

func newRefusedService(t *testing.T) *refusedService {
	s := &refusedService{fleet: backend.NewFleet("zone-0"), brokeAt: time.Now()}
	for i := range 3 {
		s.servers = append(s.servers, deployment.Backend{
			ID: deployment.BackendID(fmt.Sprint("i-", i)), Service: "plain", Zone: "zone-0", Slots: 6,
			Address: deployment.Address(fmt.Sprintf("10.0.0.%d:80", i)), StartedAt: s.brokeAt.Add(-time.Hour),
		})
	}
	s.fleet.Replace(s.brokeAt, s.servers)
	s.accepts.Store(deployment.Address(""))
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		if deployment.Address(address) != s.accepts.Load() {
			return nil, syscall.ECONNREFUSED
		}
		here, there := net.Pipe()
		return here, there.Close()
	}
	s.links = backend.NewLinks(backend.LinksConfig{
		Fleet: s.fleet, Dial: dial, Logger: zap.NewNop(), OnCutOff: func(deployment.ServiceName, bool) {}, OnLinkDown: func(deployment.Address) {},
	})
	s.links.Step(s.brokeAt)
	s.gateway = New(Config{
		Fleet: s.fleet, Dial: s.links.Dial, Links: s.links, Logger: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		OnPoisonEvidence: func(poison.Evidence) {},
	})
	ends := s.gateway.ends
	var suspected []suspectedEnd
	for i, server := range s.servers {
		attempt := ends.begin(&call{id: fmt.Sprint("r-", i), keys: []poison.Key{refusedKey}}, []deployment.Backend{server}, false, nil)
		ends.finish(s.brokeAt, attempt, true)
		suspected = append(suspected, suspectedEnd{server: server, at: s.brokeAt})
	}
	assert.Assert(t, !ends.checkEnds(context.Background(), suspected), "the links of this instance may be at fault")
	return s
}

// heldBack reports whether requests with refusedKey are rejected as those that end backend servers.
func (s *refusedService) heldBack(now time.Time) bool {
	var heldBack *heldBackError
	return errors.As(s.gateway.ends.admit(now, &call{keys: []poison.Key{refusedKey}}), &heldBack)
}

// restarted returns a server as it is listed after its next start, under another id.
func restarted(server deployment.Backend, at time.Time) deployment.Backend {
	server.ID += "-again"
	server.StartedAt = at
	return server
}

// TestEndsOfAllServersAreShownByTheList guards against ends of servers that are forgotten as no other
// server of the service could be reached at that time: the request that ended them is sent again.
func TestEndsOfAllServersAreShownByTheList(t *testing.T) {
	later := func(s *refusedService) time.Time { return s.brokeAt.Add(4 * time.Second) }
	t.Run("restarted", func(t *testing.T) {
		s := newRefusedService(t)
		for _, server := range s.servers {
			s.fleet.Put(restarted(server, later(s)))
		}
		s.gateway.RecordListRead(later(s))
		assert.Assert(t, s.heldBack(later(s)))
	})
	t.Run("removed", func(t *testing.T) {
		s := newRefusedService(t)
		s.fleet.Replace(later(s), nil)
		s.gateway.RecordListRead(later(s))
		assert.Assert(t, !s.heldBack(later(s)), "the entries may be back")
		s.gateway.RecordListRead(later(s).Add(3 * time.Second))
		assert.Assert(t, s.heldBack(later(s).Add(3*time.Second)))
	})
	t.Run("told by a peer", func(t *testing.T) {
		s := newRefusedService(t)
		now := later(s)
		for i, server := range s.servers {
			s.gateway.MergePoisonEvidence(now, "peer", poison.Evidence{Ends: []poison.End{
				{Incarnation: server.Incarnation(), Age: now.Sub(s.brokeAt) - time.Duration(i)*time.Millisecond},
			}})
		}
		assert.Assert(t, s.heldBack(now), "with the attempts of this instance")
	})
	t.Run("others accept connections", func(t *testing.T) {
		s := newRefusedService(t)
		s.accepts.Store(s.servers[0].Address)
		ends := func() bool {
			s.links.Step(time.Now())
			s.gateway.RecordListRead(time.Now())
			s.gateway.ends.mu.Lock()
			defer s.gateway.ends.mu.Unlock()
			return s.gateway.ends.tracker.Ended(s.servers[1].Incarnation()) && s.gateway.ends.tracker.Ended(s.servers[2].Incarnation())
		}
		for !ends() {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, !s.gateway.ends.tracker.Ended(s.servers[0].Incarnation()))
	})
	t.Run("another server responds", func(t *testing.T) {
		s := newRefusedService(t)
		for _, server := range s.servers {
			s.gateway.recordReplaced(later(s), server.ID)
		}
		assert.Assert(t, s.heldBack(later(s)))
	})
}

// TestListedServersHaveNotEnded checks that a fault of this instance's own links blames no request: the
// servers stay in the list, or have announced that they leave.
func TestListedServersHaveNotEnded(t *testing.T) {
	t.Run("stay", func(t *testing.T) {
		s := newRefusedService(t)
		for seconds := range 20 {
			now := s.brokeAt.Add(time.Duration(seconds) * time.Second)
			s.fleet.Replace(now, s.servers)
			s.gateway.RecordListRead(now)
		}
		now := s.brokeAt.Add(20 * time.Second)
		s.fleet.Replace(now, nil)
		s.gateway.RecordListRead(now.Add(3 * time.Second))
		assert.Assert(t, !s.heldBack(now.Add(3*time.Second)), "they ended much later")
	})
	t.Run("leave", func(t *testing.T) {
		s := newRefusedService(t)
		now := s.brokeAt.Add(time.Second)
		for _, server := range s.servers {
			server.Draining = true
			s.fleet.Put(server)
		}
		s.gateway.RecordListRead(now)
		s.fleet.Replace(now, nil)
		s.gateway.RecordListRead(now.Add(3 * time.Second))
		assert.Assert(t, !s.heldBack(now.Add(3*time.Second)))
	})
}

// TestBlamedRequestAvoidsServersThatMayHaveEnded guards against a request that ends the next incarnation
// of a server before the list shows it, so that this end is taken for the known one.
func TestBlamedRequestAvoidsServersThatMayHaveEnded(t *testing.T) {
	s := newRefusedService(t)
	service := &deployment.Service{Name: "plain"}
	blamed, other := &call{service: service, keys: []poison.Key{refusedKey}}, &call{service: service, keys: []poison.Key{refusedKey + 1}}
	now := s.brokeAt.Add(time.Second)
	assert.Equal(t, len(s.gateway.ends.endedServers(now, blamed)), len(s.servers))
	assert.Equal(t, len(s.gateway.ends.endedServers(now, other)), 0)
	next := s.servers[0]
	next.StartedAt = now
	s.fleet.Put(next)
	s.gateway.RecordListRead(now)
	assert.Assert(t, !s.gateway.ends.endedServers(now, blamed)[next.ID], "the list shows the next incarnation")
	assert.Assert(t, s.gateway.ends.endedServers(now, blamed)[s.servers[1].ID])
}
