package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

// unreachable is an address to which connections hang, as those that begin with unreachableHost.
const (
	unreachable     = unreachableHost + "1"
	unreachableHost = "unreachable:"
)

// dialUnlessUnreachable connects, but hangs for unreachable addresses.
func dialUnlessUnreachable(ctx context.Context, network, address string) (net.Conn, error) {
	if strings.HasPrefix(address, unreachableHost) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return platform.Dialer(0, platform.BackendSilence).DialContext(ctx, network, address)
}

// testGateway returns a gateway of an instance in zone a with retries enough.
func testGateway(fleet *backend.Fleet) *Gateway {
	settings := deployment.Settings{RetryRatio: 1, RetryReserve: 1000, RetryWindow: time.Second, Zone: "a"}
	g := New(Config{
		Settings: settings, Fleet: fleet, Dial: dialUnlessUnreachable,
		BackendClient: platform.NewBackendClient(dialUnlessUnreachable, func(deployment.Address) {}, func(deployment.Address, deployment.ServerStatement) {}),
		Logger:        zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()), OnObservation: func(deployment.BackendID, backend.Observation) {},
		OnSlowdownMeasured: func(deployment.BackendID, float64) {}, OnPoisonEvidence: func(poison.Evidence) {},
	})
	g.started = time.Now().Add(-time.Hour)
	return g
}

// streamEvents is the number of events of silentStage.
const streamEvents = 3

func eventText(event int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", event) }

// silentStage is a stage that falls silent for a while after the first event of a stream, and
// loses nothing.
func silentStage(t *testing.T, silence time.Duration) deployment.Address {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/report" {
			time.Sleep(silence)
			return
		}
		w.Header().Set(platform.HeaderSignature, "s")
		for event := 1; event <= streamEvents; event++ {
			if event == 2 {
				select {
				case <-time.After(silence):
				case <-r.Context().Done():
					return
				}
			}
			_, err := io.WriteString(w, eventText(event))
			assert.Check(t, err)
			assert.Check(t, http.NewResponseController(w).Flush())
		}
	}))
	t.Cleanup(server.Close)
	return deployment.Address(server.Listener.Addr().String())
}

// TestSilentStageIsNotLeftForAnUnreachableOne guards against a stream that is cut as it leaves a
// stage that is only silent for a reserved one that can't be reached.
func TestSilentStageIsNotLeftForAnUnreachableOne(t *testing.T) {
	now := time.Now()
	layers := deployment.LayerRange{End: 80}
	fleet := backend.NewFleet("a")
	fleet.Replace(now, []deployment.Backend{
		{ID: "i-1", Service: "svc", Address: silentStage(t, 1300*time.Millisecond), Zone: "a", Slots: 4, Accelerator: "h100", Layers: layers},
		{ID: "i-2", Service: "svc", Address: unreachable, Zone: "b", Slots: 4, Accelerator: "h100", Layers: layers},
	})
	g := testGateway(fleet)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.MonitorStreams(ctx)
	c := &call{id: "r", started: now, deadline: now.Add(time.Minute), service: &deployment.Service{Name: "svc", Engine: &deployment.Engine{Layers: 80}}}
	c.decision.Route = &deployment.Route{Kind: deployment.Streaming, Resumable: true, MaxAttempts: 3, TargetLatency: 100 * time.Millisecond}
	c.request = backend.Request{Method: http.MethodPost, URI: "/x", Host: "h", ID: "r", Header: http.Header{}}
	response := httptest.NewRecorder()
	g.serveStream(response, httptest.NewRequest(http.MethodPost, "http://h/x", nil), c)
	assert.Equal(t, response.Body.String(), eventText(1)+eventText(2)+eventText(3))
}

// TestSilentServerIsNotLeftForAnUnreachableOne guards against the same for a buffered request.
func TestSilentServerIsNotLeftForAnUnreachableOne(t *testing.T) {
	now := time.Now()
	fleet := backend.NewFleet("a")
	fleet.Put(deployment.Backend{ID: "i-0", Service: "svc", Address: slowServer(t, time.Second), Zone: "a", Slots: 4})
	fleet.Put(deployment.Backend{ID: "i-1", Service: "svc", Address: unreachable, Zone: "b", Slots: 4})
	c := &call{id: "r", started: now, deadline: now.Add(time.Minute), service: &deployment.Service{Name: "svc"}}
	c.decision = routing.Decision{Route: &deployment.Route{Kind: deployment.Idempotent, MaxAttempts: 2, TargetLatency: 100 * time.Millisecond}}
	c.request = backend.Request{Method: http.MethodGet, URI: "/x", Host: "h", ID: "r", Header: http.Header{}}
	response := httptest.NewRecorder()
	testGateway(fleet).serveBuffered(response, httptest.NewRequest(http.MethodGet, "http://h/x", nil), c)
	assert.Equal(t, response.Code, http.StatusOK)
	assert.Equal(t, response.Body.String(), "answer")
}

// stalledStream returns a stream that scan takes for stalled on a suspected stage.
func stalledStream(t *testing.T, acquire func(ctx context.Context) (reservation, error)) (*streamMonitor, stall, *backend.Fleet) {
	m, stream, fleet := seekingMonitor(t, acquire)
	stream.lastEvent.Store(time.Now().Add(-time.Second).UnixNano())
	stalled, _ := m.scan(time.Now())
	assert.Equal(t, len(stalled), 1)
	return m, stalled[0], fleet
}

// TestStreamThatWentOnBeforeTheSearchKeepsItsPath guards against a path that is left for an
// event that came between the scan and the search.
func TestStreamThatWentOnBeforeTheSearchKeepsItsPath(t *testing.T) {
	var next reservation
	m, stalled, fleet := stalledStream(t, func(context.Context) (reservation, error) { return next, nil })
	next = testReservation(t, fleet, time.Now())
	stalled.stream.recordEvent(time.Now())
	fleet.RecordResponsive(stalled.stream.path())
	m.reroute(context.Background(), stalled)
	assert.Assert(t, !stalled.stream.interrupted.Load())
}

// TestStageThatRespondsIsNotLeft guards against searches that all leave their paths as the first
// stream on them goes on.
func TestStageThatRespondsIsNotLeft(t *testing.T) {
	var m *streamMonitor
	var stalled stall
	var fleet *backend.Fleet
	m, stalled, fleet = stalledStream(t, func(context.Context) (reservation, error) {
		fleet.RecordResponsive(stalled.stream.path())
		return testReservation(t, fleet, time.Now()), nil
	})
	m.seekSuccessor(context.Background(), stalled.stream, stalled.since)
	assert.Assert(t, !stalled.stream.interrupted.Load())
}

// holdRequest makes a request held back after a backend server has ended during it.
func holdRequest(g *Gateway, c *call) {
	c.keys = keysOf(c)
	var ends []poison.End
	for i := range 4 {
		ends = append(ends, poison.End{
			Incarnation: deployment.Incarnation{Server: deployment.BackendID(rune('a' + i)), StartedAt: 1}, Age: time.Duration(4-i) * time.Second,
			Blamed: []poison.Blamed{{Attempt: poison.Attempt(i + 1), Keys: c.keys}},
		})
	}
	g.MergePoisonEvidence(time.Now(), "peer", poison.Evidence{Ends: ends})
	c.endedServer.Store(true)
}

func heldCall() (*Gateway, *call, *backend.Fleet) {
	now := time.Now()
	fleet, service := testFleet(now)
	c := &call{id: "r", service: service, started: now, attempts: 1, deadline: now.Add(time.Minute)}
	c.decision.Route = &deployment.Route{Resumable: true, MaxAttempts: 2}
	return testGateway(fleet), c, fleet
}

// TestHeldRequestIsNotSentAlongAReservedPath guards against a request that ends one more server
// since its next path was reserved before it came to be held.
func TestHeldRequestIsNotSentAlongAReservedPath(t *testing.T) {
	g, c, fleet := heldCall()
	next := testReservation(t, fleet, time.Now())
	s := &stream{gateway: g, call: c, ran: map[deployment.BackendID]bool{"i-1": true}, lastEventAt: time.Now(), next: &next}
	b := &bufferedRequest{gateway: g, call: c, next: &bufferedReservation{inFlight: testReservation(t, fleet, time.Now()).inFlight}}
	holdRequest(g, c)
	_, err := s.takeNext()
	assert.Assert(t, heldBackOf(err) != nil, "%v", err)
	_, err = b.takeNext(context.Background())
	assert.Assert(t, heldBackOf(err) != nil, "%v", err)
}

// TestBegunStreamOnASilentStageIsNotAbandoned guards against a resumed stream that is cut as
// held although its answer has begun and its stage is only silent.
func TestBegunStreamOnASilentStageIsNotAbandoned(t *testing.T) {
	g, c, fleet := heldCall()
	stream := g.monitor.add(c, testReservation(t, fleet, time.Now()), true, func() {})
	holdRequest(g, c)
	fleet.MarkSuspect(time.Now(), "10.0.0.1:80")
	g.monitor.reroute(context.Background(), stall{stream: stream, since: stream.lastEvent.Load()})
	assert.Assert(t, !stream.interrupted.Load())
}

// TestSearchDoesNotRaceWithTheNextAttempt guards against a search that reads what the next
// attempt of its stream writes.
func TestSearchDoesNotRaceWithTheNextAttempt(t *testing.T) {
	g, c, fleet := heldCall()
	fleet.MarkSuspect(time.Now(), "10.0.0.1:80")
	s := &stream{gateway: g, call: c, ran: map[deployment.BackendID]bool{}, lastEventAt: time.Now(), headerWritten: true}
	first := testReservation(t, fleet, time.Now())
	for range 10 {
		s.countAttempt()
		stream := g.monitor.add(c, first, true, func() {})
		stream.setSource(&streamInFlight{stream: s, first: "i-1"})
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.monitor.seekSuccessor(context.Background(), stream, stream.lastEvent.Load())
		}()
		time.Sleep(2 * dispatchInterval)
		stream.endSeek()
		defer func() { <-done }()
	}
}
