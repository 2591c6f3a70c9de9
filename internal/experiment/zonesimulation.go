package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/placement"
)

// zoneSimulation is the state of a ZoneLoad.
type zoneSimulation struct {
	config    ZoneLoadConfig
	service   *deployment.Service
	random    *rand.Rand
	start     time.Time
	now       time.Time
	next      time.Time // of the next arrival
	servers   map[deployment.BackendID]*simulatedServer
	instances []*simulatedInstance
	running   []*simulatedRequest
	all       []*simulatedRequest
	rejected  int
}

type simulatedServer struct {
	id          deployment.BackendID
	accelerator deployment.Accelerator
	layers      int
	slotsUsed   int
	queue       []*simulatedRequest
	writing     int     // requests with this stage on their path
	held        float64 // tokens times layers of these requests
	total       float64 // tokens times layers
	firstStage  bool    // has run a request as the first stage
}

type simulatedInstance struct {
	id      deployment.InstanceID
	fleet   *backend.Fleet
	queue   admission.Queue
	waiting map[*admission.Request]*simulatedRequest
}

// simulatedRequest is a request, and its state on its path.
type simulatedRequest struct {
	instance  *simulatedInstance
	admission *admission.Request
	arrived   time.Time
	prompt    float64
	output    float64

	path       pipeline.Path
	inFlight   *backend.InFlightRequest
	sent       time.Time
	begun      bool    // has a slot of its first stage
	reading    float64 // seconds left
	written    float64 // tokens
	firstEvent time.Duration
	gapTime    time.Duration // since the last event
	lateEvent  bool
	ended      bool
	turnedAway bool
}

func newZoneSimulation(config ZoneLoadConfig) *zoneSimulation {
	start := time.Unix(1000, 0)
	s := &zoneSimulation{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), start: start, next: start, now: start,
		service: &deployment.Service{Name: "model", Engine: config.Engine},
		servers: map[deployment.BackendID]*simulatedServer{},
	}
	planned := serversOf(config.Engine, config.Zone)
	for i := range planned {
		planned[i].Slots = config.Slots
	}
	var entries []deployment.Backend
	for _, assignment := range placement.Plan(config.Engine, planned) {
		entries = append(entries, s.addServer(assignment))
	}
	for i := range config.Instances {
		instance := &simulatedInstance{
			id: deployment.InstanceID(fmt.Sprintf("instance-%03d", i)), fleet: backend.NewFleet(""), waiting: map[*admission.Request]*simulatedRequest{},
		}
		instance.fleet.Replace(start, entries)
		instance.fleet.SetInstanceCounts(config.Instances, config.Instances)
		s.instances = append(s.instances, instance)
	}
	return s
}

func (s *zoneSimulation) addServer(assignment placement.Assignment) deployment.Backend {
	engine := s.config.Engine
	card := accelerator(engine, assignment.ID)
	free := float64(card.Memory) - float64(assignment.Layers.Len())*float64(engine.LayerSize)
	s.servers[assignment.ID] = &simulatedServer{
		id: assignment.ID, accelerator: card, layers: assignment.Layers.Len(), total: free * 1e6 / engine.KVBytesPerToken * float64(engine.Layers),
	}
	return deployment.Backend{
		ID: assignment.ID, Service: s.service.Name, Address: deployment.Address(assignment.ID), Zone: s.config.Zone.Zone,
		Slots: s.config.Slots, Accelerator: cardName(assignment.ID), Layers: assignment.Layers, StartedAt: s.start,
	}
}

// arrive adds the requests that arrive in this tick. Their sizes spread like those of the
// deployment: a mean with an exponential tail, cut at three times the mean.
func (s *zoneSimulation) arrive() {
	engine := s.config.Engine
	for !s.next.After(s.now) {
		s.next = s.next.Add(time.Duration(s.random.ExpFloat64() / s.config.Requests * float64(time.Second)))
		instance := s.instances[s.random.IntN(len(s.instances))]
		request := &simulatedRequest{
			instance: instance, arrived: s.now, prompt: s.size(engine.TypicalPromptTokens), output: max(float64(engine.Stride), s.size(engine.TypicalOutputTokens)),
			admission: &admission.Request{Arrived: s.now, TargetLatency: s.config.TargetLatency, Deadline: s.now.Add(clientPatience)},
		}
		s.all = append(s.all, request)
		if instance.queue.Len() > 0 || !s.send(request) {
			instance.queue.Push(s.now, request.admission)
			instance.waiting[request.admission] = request
		}
	}
}

func (s *zoneSimulation) size(mean float64) float64 {
	return min(3*mean, mean*s.random.ExpFloat64())
}

// send chooses a path for a request and gives it to the first stage. It reports whether
// the path was found and no stage has rejected the request.
func (s *zoneSimulation) send(request *simulatedRequest) bool {
	fleet := request.instance.fleet
	path, ok := pipeline.Find(s.config.Engine, fleet.StagesWithFull(s.now, s.service), s.config.Zone.Zone)
	if !ok {
		return false
	}
	inFlight, ok := fleet.Begin(s.now, path)
	if !ok {
		return false
	}
	request.path, request.inFlight, request.sent = path, inFlight, s.now
	first := s.servers[path.IDs[0]]
	if first.slotsUsed >= s.config.Slots && len(first.queue) >= s.config.QueueLength {
		return s.reject(request, path.Hops[0].Address)
	}
	request.instance.queue.Admit(s.now, request.admission)
	delete(request.instance.waiting, request.admission)
	first.queue = append(first.queue, request)
	first.firstStage = true
	s.running = append(s.running, request)
	return true
}

func (s *zoneSimulation) reject(request *simulatedRequest, at deployment.Address) bool {
	s.rejected++
	request.instance.fleet.MarkFull(s.now, at)
	request.inFlight.Done(s.now, backend.Inconclusive)
	return false
}

// dispatch sends the waiting requests of each instance in the order of admission.
func (s *zoneSimulation) dispatch() {
	for _, instance := range s.instances {
		for _, waiting := range instance.queue.Ordered(s.now) {
			if !s.send(instance.waiting[waiting]) {
				break
			}
		}
		for _, rejection := range instance.queue.Shed(s.now) {
			request := instance.waiting[rejection.Request]
			delete(instance.waiting, rejection.Request)
			request.ended, request.turnedAway = true, true
		}
	}
}

// report tells each instance the loads of the others.
func (s *zoneSimulation) report() {
	for _, instance := range s.instances {
		loads := instance.fleet.SnapshotLoads()
		for _, other := range s.instances {
			if other != instance {
				other.fleet.SetPeerLoads(s.now, instance.id, loads)
			}
		}
	}
}

// advance moves all requests on their paths forward by one tick.
func (s *zoneSimulation) advance() {
	s.begin()
	kept := s.running[:0]
	for _, request := range s.running {
		if request.begun {
			s.step(request)
		} else {
			request.lateEvent = request.lateEvent || s.now.Sub(request.arrived) > s.config.TargetLatency
		}
		if !request.ended {
			kept = append(kept, request)
		}
	}
	s.running = kept
}

// begin gives free slots to the queues of first stages. A request that a stage of its path
// has no memory for is rejected and waits at its instance again.
func (s *zoneSimulation) begin() {
	var again []*simulatedRequest
	for _, id := range s.serverIDs() {
		server := s.servers[id]
		for len(server.queue) > 0 && server.slotsUsed < s.config.Slots {
			request := server.queue[0]
			server.queue = server.queue[1:]
			if full := s.withoutMemory(request); full != "" {
				s.reject(request, full)
				again = append(again, request)
				continue
			}
			server.slotsUsed++
			s.occupy(request, 1)
			request.begun = true
			request.reading = s.readTime(request)
			request.instance.fleet.RecordAccepted(request.path)
		}
	}
	for _, request := range again {
		s.remove(request)
		request.instance.queue.Push(s.now, request.admission)
		request.instance.waiting[request.admission] = request
	}
}

func (s *zoneSimulation) serverIDs() []deployment.BackendID {
	var ids []deployment.BackendID
	for id := range s.servers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (s *zoneSimulation) remove(request *simulatedRequest) {
	for i, running := range s.running {
		if running == request {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}

// withoutMemory returns the first stage of a request's path that has no memory for its
// prompt, or "".
func (s *zoneSimulation) withoutMemory(request *simulatedRequest) deployment.Address {
	for i, hop := range request.path.Hops {
		server := s.servers[request.path.IDs[i]]
		if server.held+request.prompt*float64(hop.Layers.Len()) > server.total {
			return hop.Address
		}
	}
	return ""
}

// occupy adds a request to the stages of its path, or with sign -1 removes it.
func (s *zoneSimulation) occupy(request *simulatedRequest, sign float64) {
	for i, hop := range request.path.Hops {
		server := s.servers[request.path.IDs[i]]
		server.writing += int(sign)
		server.held += sign * (request.prompt + request.written) * float64(hop.Layers.Len())
	}
}

func (s *zoneSimulation) readTime(request *simulatedRequest) float64 {
	seconds := 0.0
	for i, hop := range request.path.Hops {
		share := float64(hop.Layers.Len()) / float64(s.config.Engine.Layers)
		seconds += share * s.servers[request.path.IDs[i]].accelerator.ReadFactor * request.prompt / s.config.ReadTokens
	}
	return seconds
}

// tokenTime is the time of one token of a request at the present load of its stages.
func (s *zoneSimulation) tokenTime(request *simulatedRequest) time.Duration {
	total := time.Duration(len(request.path.Hops)) * pipeline.HopTime
	for i, hop := range request.path.Hops {
		server := s.servers[request.path.IDs[i]]
		stage := pipeline.Stage{Accelerator: server.accelerator, Requests: server.writing}
		total += pipeline.PredictedStepTime(s.config.Engine, stage, hop.Layers.Len())
	}
	return total
}

// step reads, then writes tokens, for one tick.
func (s *zoneSimulation) step(request *simulatedRequest) {
	left := zoneLoadTick.Seconds()
	if request.reading > 0 {
		request.reading -= left
		return
	}
	token := s.tokenTime(request)
	before := math.Floor(request.written / float64(s.config.Engine.Stride))
	tokens := min(left/token.Seconds(), request.output-request.written)
	s.occupy(request, -1)
	request.written += tokens
	s.occupy(request, 1)
	request.gapTime += zoneLoadTick
	if math.Floor(request.written/float64(s.config.Engine.Stride)) > before {
		s.recordEvent(request)
	}
	if request.written >= request.output {
		s.end(request)
	}
}

func (s *zoneSimulation) recordEvent(request *simulatedRequest) {
	switch {
	case request.firstEvent == 0:
		request.firstEvent = s.now.Sub(request.arrived)
		request.lateEvent = request.firstEvent > s.config.TargetLatency
		request.instance.fleet.RecordFirstEvent(s.now, request.path.IDs[0], s.now.Sub(request.sent))
	case request.gapTime > s.config.TargetEventGap:
		request.lateEvent = true
	}
	request.gapTime = 0
}

func (s *zoneSimulation) end(request *simulatedRequest) {
	s.occupy(request, -1)
	s.servers[request.path.IDs[0]].slotsUsed--
	request.inFlight.Done(s.now, backend.Succeeded)
	request.ended = true
}

func (s *zoneSimulation) result() ZoneLoadResult {
	result := ZoneLoadResult{Rejections: s.rejected}
	var hops []int
	var firstEvents []time.Duration
	for _, request := range s.all {
		if request.arrived.After(s.start.Add(s.config.Duration - zoneLoadTail)) {
			continue
		}
		result.Requests++
		hops = append(hops, len(request.path.Hops))
		if request.firstEvent > 0 {
			firstEvents = append(firstEvents, request.firstEvent)
		}
		switch {
		case request.turnedAway:
			result.Rejected++
		case request.firstEvent > 0 && !request.lateEvent:
			result.InTime++
		default:
			result.Late++
		}
	}
	sort.Ints(hops)
	sort.Slice(firstEvents, func(i, j int) bool { return firstEvents[i] < firstEvents[j] })
	if len(hops) > 0 {
		result.MedianHops = hops[len(hops)/2]
	}
	if len(firstEvents) > 0 {
		result.FirstEvent = firstEvents[len(firstEvents)/2]
	}
	for _, server := range s.servers {
		if server.firstStage {
			result.FirstStages++
		}
	}
	return result
}
