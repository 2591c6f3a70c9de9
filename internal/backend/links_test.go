package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// network is a network of which some servers can't be reached. Connections to them are refused,
// or hang until their context ends.
type network struct {
	mu      sync.Mutex
	refused map[deployment.Address]bool
	hanging map[deployment.Address]bool
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	refused, hanging := n.refused[deployment.Address(address)], n.hanging[deployment.Address(address)]
	n.mu.Unlock()
	switch {
	case refused:
		return nil, syscall.ECONNREFUSED
	case hanging:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	return client, server.Close()
}

func (n *network) refuse(refused ...deployment.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = map[deployment.Address]bool{}
	for _, address := range refused {
		n.refused[address] = true
	}
}

// linksTest is the Links of an instance to three plain and three model servers.
type linksTest struct {
	links *Links
	fleet *Fleet
	net   network
}

func newLinksTest() *linksTest {
	l := &linksTest{fleet: NewFleet("zone-0")}
	var list []deployment.Backend
	for i := range 3 {
		zone := deployment.Zone(fmt.Sprint("zone-", i))
		list = append(list,
			deployment.Backend{ID: deployment.BackendID(fmt.Sprint("p-", i)), Service: "plain", Address: plainAddress(i), Zone: zone},
			deployment.Backend{ID: deployment.BackendID(fmt.Sprint("m-", i)), Service: "model", Address: modelAddress(i), Zone: zone, Accelerator: "h100", Layers: deployment.LayerRange{End: 80}})
	}
	l.fleet.Replace(time.Now(), list)
	l.links = NewLinks(LinksConfig{
		Fleet: l.fleet, Dial: l.net.dial, Logger: zap.NewNop(), OnCutOff: func(deployment.ServiceName, bool) {}, OnLinkDown: func(deployment.Address) {},
	})
	l.links.Step(time.Now())
	return l
}

func plainAddress(i int) deployment.Address { return deployment.Address(fmt.Sprint("plain:", i)) }
func modelAddress(i int) deployment.Address { return deployment.Address(fmt.Sprint("model:", i)) }

func (l *linksTest) connect(address deployment.Address) error {
	connection, err := l.links.Dial(context.Background(), "tcp4", string(address))
	if err != nil {
		return err
	}
	return connection.Close()
}

// await steps until a condition holds.
func (l *linksTest) await(t *testing.T, holds func(now time.Time) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		now := time.Now()
		l.links.Step(now)
		if holds(now) {
			return
		}
		assert.Assert(t, now.Before(deadline), "condition not met")
	}
}

// TestServicesLoseTheirLinksByThemselves guards against a service out of reach that is not
// noticed since another one is within reach.
func TestServicesLoseTheirLinksByThemselves(t *testing.T) {
	l := newLinksTest()
	l.net.refuse(modelAddress(0), modelAddress(1), modelAddress(2))
	assert.ErrorIs(t, l.connect(modelAddress(0)), syscall.ECONNREFUSED)
	l.await(t, func(time.Time) bool { return l.links.CutOff("model") })
	assert.NilError(t, l.connect(plainAddress(0)))
	assert.Assert(t, !l.links.CutOff("plain"))
	assert.Assert(t, l.links.AnyCutOff())
	l.net.refuse()
	l.await(t, func(time.Time) bool { return !l.links.AnyCutOff() })
}

// TestNoRequestWaitsForALostLink guards against requests that wait for connections which are
// known not to come.
func TestNoRequestWaitsForALostLink(t *testing.T) {
	l := newLinksTest()
	l.net.hanging = map[deployment.Address]bool{modelAddress(0): true, modelAddress(1): true, modelAddress(2): true}
	failed := make(chan error, 1)
	go func() { failed <- l.connect(modelAddress(0)) }()
	l.await(t, func(time.Time) bool { return l.links.CutOff("model") })
	assert.ErrorIs(t, <-failed, ErrCutOff)
	l.net.mu.Lock()
	l.net.hanging = map[deployment.Address]bool{plainAddress(0): true}
	l.net.mu.Unlock()
	go func() { failed <- l.connect(plainAddress(0)) }()
	l.await(t, func(now time.Time) bool { return l.links.Down(now, plainAddress(0)) })
	assert.ErrorIs(t, <-failed, ErrLinkDown)
	assert.Assert(t, !l.links.CutOff("plain"))
}

// TestFirstStagesOutOfReachMakeAServiceUnreachable guards against requests that look for a path
// whose first stage can't be reached from here, while later stages can.
func TestFirstStagesOutOfReachMakeAServiceUnreachable(t *testing.T) {
	l := newLinksTest()
	for i := range 3 {
		id := deployment.BackendID(fmt.Sprint("m-", i))
		l.fleet.SetLayers(id, deployment.LayerRange{First: 20 * i, End: 80})
	}
	service := &deployment.Service{Name: "model", Engine: &deployment.Engine{Layers: 80}}
	l.net.refuse(modelAddress(0))
	assert.ErrorIs(t, l.connect(modelAddress(0)), syscall.ECONNREFUSED)
	l.await(t, func(now time.Time) bool { return l.links.Unreachable(now, service) })
	assert.Assert(t, !l.links.CutOff("model"))
}

// TestLinkThatIsBackEndsItsSuspicion guards against servers that stay out of use after a cut.
func TestLinkThatIsBackEndsItsSuspicion(t *testing.T) {
	l := newLinksTest()
	service := &deployment.Service{Name: "model", Engine: &deployment.Engine{Layers: 80}}
	l.net.refuse(modelAddress(0), modelAddress(1), modelAddress(2))
	for i := range 3 {
		assert.Assert(t, errors.Is(l.connect(modelAddress(i)), syscall.ECONNREFUSED))
		l.fleet.MarkLinkSuspect(time.Now(), modelAddress(i))
	}
	assert.Equal(t, len(l.fleet.Stages(time.Now(), service)), 0)
	l.await(t, func(time.Time) bool { return l.links.CutOff("model") })
	l.net.refuse()
	l.await(t, func(time.Time) bool { return !l.links.CutOff("model") })
	assert.Equal(t, len(l.fleet.Stages(time.Now(), service)), 3)
}

// TestServerThatIsBackAfterACrashIsUsed guards against a service that stays out of reach although
// one of its servers, which have all ended, is back.
func TestServerThatIsBackAfterACrashIsUsed(t *testing.T) {
	l := newLinksTest()
	l.net.refuse(plainAddress(0), plainAddress(1), plainAddress(2))
	assert.ErrorIs(t, l.connect(plainAddress(0)), syscall.ECONNREFUSED)
	l.await(t, func(time.Time) bool { return l.links.CutOff("plain") })
	assert.Assert(t, !l.links.SomeUp(time.Now(), "plain"))
	l.net.refuse(plainAddress(1), plainAddress(2))
	l.await(t, func(now time.Time) bool { return l.links.SomeUp(now, "plain") })
	assert.NilError(t, l.connect(plainAddress(0)))
}

// TestEndIsToldFromALostLink guards against ends that are held against requests though this
// instance's links failed, and against those of an only server that never are.
func TestEndIsToldFromALostLink(t *testing.T) {
	l := newLinksTest()
	l.net.refuse(modelAddress(0))
	refusedAt := time.Now()
	assert.ErrorIs(t, l.connect(modelAddress(0)), syscall.ECONNREFUSED)
	reaches, settled := false, false
	l.await(t, func(now time.Time) bool {
		reaches, settled = l.links.ReachesOthers(now, modelAddress(0), refusedAt)
		return settled
	})
	assert.Assert(t, reaches)
	l.net.refuse(plainAddress(0), plainAddress(1), plainAddress(2))
	assert.ErrorIs(t, l.connect(plainAddress(0)), syscall.ECONNREFUSED)
	l.await(t, func(now time.Time) bool {
		reaches, settled = l.links.ReachesOthers(now, plainAddress(0), refusedAt)
		return settled
	})
	assert.Assert(t, !reaches)
}
