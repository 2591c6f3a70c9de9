package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	eventsBeforeLoss = 6
	eventsInAll      = 9
)

// rerouteOrder is an order that a fakeFirstStage got.
type rerouteOrder struct {
	ID   string `json:"id"`
	Path string `json:"path"`
}

// fakeFirstStage serves streams that stop after some events until an order to reroute them has
// come. Its report names no stalled stage.
type fakeFirstStage struct {
	refuse   int  // number of orders that are refused
	recovers bool // streams go on along their path once an order was refused
	// lost is a stage for which all orders are refused whose path contains it.
	lost deployment.Address

	mu      sync.Mutex
	orders  []rerouteOrder
	goOn    map[string]chan struct{}
	ordered chan rerouteOrder // capacity for all orders
}

func (f *fakeFirstStage) start(t *testing.T) deployment.Address {
	f.goOn, f.ordered = map[string]chan struct{}{}, make(chan rerouteOrder, 100)
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return deployment.Address(server.Listener.Addr().String())
}

// stream returns a channel that is closed when a stream may go on.
func (f *fakeFirstStage) stream(id string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.goOn[id] == nil {
		f.goOn[id] = make(chan struct{})
	}
	return f.goOn[id]
}

func (f *fakeFirstStage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		_, _ = io.WriteString(w, "{}")
	case "/api/order":
		f.order(w, r)
	default:
		f.serveStream(w, r)
	}
}

func (f *fakeFirstStage) order(w http.ResponseWriter, r *http.Request) {
	var order rerouteOrder
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	stream := f.stream(order.ID)
	f.mu.Lock()
	f.orders = append(f.orders, order)
	names := f.lost != "" && strings.Contains(order.Path, string(f.lost))
	refused := len(f.orders) <= f.refuse || names
	first := len(f.orders) == 1
	f.mu.Unlock()
	if !refused || f.recovers && first {
		close(stream)
	}
	if refused {
		w.WriteHeader(http.StatusConflict)
	}
	if names {
		_ = json.NewEncoder(w).Encode(map[string]string{"address": string(f.lost)})
	}
	f.ordered <- order
}

func (f *fakeFirstStage) serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderSignature, "s")
	for event := 1; event <= eventsInAll; event++ {
		if event > eventsBeforeLoss {
			select {
			case <-f.stream(r.Header.Get(platform.HeaderRequestID)):
			case <-r.Context().Done():
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, eventText(event))
		_ = http.NewResponseController(w).Flush()
	}
}

// listening returns the address of a stage that accepts connections.
func listening(t *testing.T) deployment.Address {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	return deployment.Address(server.Listener.Addr().String())
}

// refusing returns the address of a stage whose process has ended.
func refusing(t *testing.T) deployment.Address {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return deployment.Address(listener.Addr().String())
}

// engineOf returns a model with an accelerator and slower ones.
func engineOf() *deployment.Engine {
	return &deployment.Engine{
		Layers: 80, LayerSize: 10, KVBytesPerToken: 1, StepTime: time.Millisecond, Stride: 1, TypicalPromptTokens: 800, TypicalOutputTokens: 100,
		Accelerators: map[string]deployment.Accelerator{
			"fast": {Memory: 80000, StepFactor: 1, ReadFactor: 1}, "slow": {Memory: 80000, StepFactor: 2, ReadFactor: 2}, "slower": {Memory: 80000, StepFactor: 4, ReadFactor: 3},
		},
	}
}

// stage returns the entry of a stage of 20 layers.
func stage(id deployment.BackendID, address deployment.Address, accelerator string, first int) deployment.Backend {
	return deployment.Backend{
		ID: id, Service: "svc", Address: address, Zone: "a", Slots: 8, Accelerator: accelerator,
		Layers: deployment.LayerRange{First: first, End: first + 20},
	}
}

func gapCall(id string, priority int) *call {
	now := time.Now()
	c := &call{id: id, started: now, deadline: now.Add(time.Minute), service: &deployment.Service{Name: "svc", Engine: engineOf()}}
	c.decision.Rank.Priority = priority
	c.decision.Route = &deployment.Route{Kind: deployment.Streaming, MaxAttempts: 1, TargetLatency: 100 * time.Millisecond, TargetEventGap: 200 * time.Millisecond}
	c.request = backend.Request{Method: http.MethodPost, URI: "/x", Host: "h", ID: id, Header: http.Header{platform.HeaderRequestID: {id}}}
	return c
}

// TestLostLaterStagesAreReplaced guards against streams that wait for lost later stages until they
// are cut: the first stage does not name them, one of them ends or several hang at once, and the
// first choice is refused or the stages go on in the meantime.
func TestLostLaterStagesAreReplaced(t *testing.T) {
	hangs := func(*testing.T) deployment.Address { return unreachable }
	hangsToo := func(*testing.T) deployment.Address { return unreachableHost + "2" }
	for name, test := range map[string]struct {
		second, fourth func(t *testing.T) deployment.Address
		first          *fakeFirstStage
	}{
		"one hangs":     {second: hangs, fourth: listening, first: &fakeFirstStage{}},
		"two hang":      {second: hangs, fourth: hangsToo, first: &fakeFirstStage{}},
		"one has ended": {second: refusing, fourth: listening, first: &fakeFirstStage{}},
		"refused once":  {second: hangs, fourth: hangsToo, first: &fakeFirstStage{refuse: 1}},
		"goes on":       {second: hangs, fourth: listening, first: &fakeFirstStage{refuse: 100, recovers: true}},
	} {
		t.Run(name, func(t *testing.T) {
			lost := []deployment.Address{test.second(t), test.fourth(t)}
			fleet := backend.NewFleet("a")
			fleet.Replace(time.Now(), []deployment.Backend{
				stage("1", test.first.start(t), "fast", 0), stage("2", lost[0], "fast", 20), stage("3", listening(t), "fast", 40), stage("4", lost[1], "fast", 60),
				stage("5", listening(t), "slow", 20), stage("6", listening(t), "slow", 60), stage("7", listening(t), "slower", 20), stage("8", listening(t), "slower", 60),
			})
			g := testGateway(fleet)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go g.MonitorStreams(ctx)
			response := httptest.NewRecorder()
			g.serveStream(response, httptest.NewRequest(http.MethodPost, "http://h/x", nil), gapCall("r", 0))
			assert.Equal(t, response.Body.String(), allEvents())
			last := test.first.orders[len(test.first.orders)-1]
			assert.Assert(t, !strings.Contains(last.Path, string(lost[0])), last.Path)
			if name == "refused once" {
				assert.Assert(t, test.first.orders[0].Path != last.Path)
			}
		})
	}
}

// allEvents is the text of all events of a stream.
func allEvents() string {
	text := ""
	for event := range eventsInAll {
		text += eventText(event + 1)
	}
	return text
}

// TestHungFirstStageIsLeft guards against streams that stay on a first stage which no longer responds,
// although a stage beside it does.
func TestHungFirstStageIsLeft(t *testing.T) {
	hung := (&fakeFirstStage{}).start(t)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderSignature, "s")
		w.Header().Set("Content-Type", "text/event-stream")
		last, err := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
		assert.Check(t, err)
		for event := last + 1; event <= eventsInAll; event++ {
			_, _ = io.WriteString(w, eventText(event))
		}
	}))
	t.Cleanup(other.Close)
	fleet := backend.NewFleet("a")
	later := listening(t)
	fleet.Replace(time.Now(), []deployment.Backend{
		stage("1", hung, "fast", 0), stage("2", deployment.Address(other.Listener.Addr().String()), "slow", 0),
		{ID: "3", Service: "svc", Address: later, Zone: "a", Accelerator: "fast", Layers: deployment.LayerRange{First: 20, End: 80}},
	})
	g := testGateway(fleet)
	g.ends.transport = backend.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == string(hung) {
			address = unreachable // as seen by probes; streams have connected before
		}
		return dialUnlessUnreachable(ctx, network, address)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.MonitorStreams(ctx)
	c := gapCall("r", 0)
	c.decision.Route.Resumable, c.decision.Route.MaxAttempts = true, 2
	response := httptest.NewRecorder()
	g.serveStream(response, httptest.NewRequest(http.MethodPost, "http://h/x", nil), c)
	assert.Equal(t, response.Body.String(), allEvents())
}

// TestStalledStreamsAreMovedInOrder guards against less urgent streams, or those with more work left,
// that get the fastest replacement before the others, and against all getting the same one.
func TestStalledStreamsAreMovedInOrder(t *testing.T) {
	now := time.Now()
	first := &fakeFirstStage{}
	fleet := backend.NewFleet("a")
	fleet.Replace(now, []deployment.Backend{
		stage("1", first.start(t), "fast", 0), {ID: "2", Service: "svc", Address: unreachable, Zone: "a", Accelerator: "fast", Layers: deployment.LayerRange{First: 20, End: 80}},
		{ID: "3", Service: "svc", Address: "10.0.0.3:80", Zone: "a", Accelerator: "slow", Layers: deployment.LayerRange{First: 20, End: 80}},
		{ID: "4", Service: "svc", Address: "10.0.0.4:80", Zone: "a", Accelerator: "slower", Layers: deployment.LayerRange{First: 20, End: 80}},
	})
	g := testGateway(fleet)
	var stalled []stall
	for _, c := range []*call{gapCall("later", 1), gapCall("longer", 0), gapCall("shorter", 0)} {
		if c.id == "longer" {
			c.size.ExpectedOutput = 500
		}
		path, ok := pipeline.Find(c.service.Engine, fleet.StagesWithFull(now, c.service), "a")
		assert.Assert(t, ok)
		inFlight, ok := fleet.Begin(now, path)
		assert.Assert(t, ok)
		stream := g.monitor.add(c, reservation{path: path, inFlight: inFlight}, true, func() {})
		stalled = append(stalled, stall{stream: stream, since: stream.lastEvent.Load()})
	}
	fleet.MarkSuspect(now, unreachable)
	g.monitor.moveStalled(context.Background(), now, stalled)
	stages := map[string]string{}
	for range stalled {
		order := <-first.ordered
		stages[order.ID] = strings.Split(order.Path, ",")[1]
	}
	assert.DeepEqual(t, stages, map[string]string{"shorter": "10.0.0.3:80=20-80", "longer": "10.0.0.4:80=20-80", "later": "10.0.0.3:80=20-80"})
}

// TestStageThatIsNotThereIsReplacedToo guards against a reroute that keeps a second lost stage, which is
// not suspected yet, until all choices are used up: the refusal names it.
func TestStageThatIsNotThereIsReplacedToo(t *testing.T) {
	now := time.Now()
	lost := deployment.Address("10.0.0.4:80")
	first := &fakeFirstStage{lost: lost}
	fleet := backend.NewFleet("a")
	fleet.Replace(now, []deployment.Backend{
		stage("1", first.start(t), "fast", 0), stage("2", unreachable, "fast", 20), stage("3", "10.0.0.3:80", "fast", 40), stage("4", lost, "fast", 60),
		stage("5", "10.0.0.5:80", "slow", 20), stage("6", "10.0.0.6:80", "slow", 60),
	})
	g := testGateway(fleet)
	c := gapCall("r", 0)
	path, ok := pipeline.Find(c.service.Engine, fleet.StagesWithFull(now, c.service), "a")
	assert.Assert(t, ok)
	inFlight, ok := fleet.Begin(now, path)
	assert.Assert(t, ok)
	stream := g.monitor.add(c, reservation{path: path, inFlight: inFlight}, true, func() {})
	fleet.MarkSuspect(now, unreachable)
	g.monitor.reroute(context.Background(), stall{stream: stream, since: stream.lastEvent.Load()})
	assert.Equal(t, len(first.orders), 2)
	assert.Assert(t, stream.path().Contains("10.0.0.5:80") && stream.path().Contains("10.0.0.6:80"), "%v", stream.path().Hops)
}

// TestEventOfALostStageIsNoSign guards against a lost stage that counts as sound again, and is used for
// further reroutes, since events that had passed it arrive after it was lost.
func TestEventOfALostStageIsNoSign(t *testing.T) {
	fleet, service := testFleet(time.Now())
	g := testGateway(fleet)
	c := gapCall("r", 0)
	c.service = service
	monitored := g.monitor.add(c, testReservation(t, fleet, time.Now()), true, func() {})
	observer := &attemptObserver{stream: &stream{gateway: g, call: c}, monitored: monitored}
	begun := time.Now()
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	for ms := 10; ms <= 200; ms += 10 {
		g.monitor.silence.step(at(ms))
		if ms <= 100 && ms%20 == 0 {
			observer.observeEvent(at(ms))
		}
	}
	fleet.MarkSuspect(at(170), "10.0.0.1:80")
	observer.observeEvent(at(200))
	assert.Equal(t, len(fleet.Suspects()), 1, "passed before it was lost")
	observer.observeEvent(at(220))
	assert.Equal(t, len(fleet.Suspects()), 0, "the stages ran after 200 ms")
}

// TestFirstStageUnderCheckIsNotTriedAgain guards against streams with a target gap that are sent
// again to a first stage that broke off, before it is known whether it has ended.
func TestFirstStageUnderCheckIsNotTriedAgain(t *testing.T) {
	fleet, service := testFleet(time.Now())
	g := testGateway(fleet)
	c := gapCall("r", 0)
	c.service = service
	request := &pathRequest{gateway: g, call: c}
	g.ends.brokeOff["i-1"] = true
	_, _, err := request.findPath(time.Now())
	assert.ErrorContains(t, err, "no path")
	delete(g.ends.brokeOff, "i-1")
	_, _, err = request.findPath(time.Now())
	assert.NilError(t, err)
}
