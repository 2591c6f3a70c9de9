package reachability

import (
	"fmt"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

const (
	simulatedTick  = 5 * time.Millisecond
	requestTimeout = 600 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// behaviour is what a new connection to a server does.
type behaviour int

const (
	connects behaviour = iota
	hangs
	refuses
)

// notice is what the instance gets to know of an attempt, at a time.
type notice struct {
	at time.Duration
	id AttemptID
	// connected is set if the attempt connected; else it failed.
	connected bool
	failure   Failure
}

// change is a change of a verdict.
type change struct {
	at time.Duration
	to Verdict
}

// simulation plays an instance, its requests and its probes on a network.
type simulation struct {
	tracker   *Tracker
	servers   []Server
	targets   []Server // of requests, in turn
	network   map[deployment.Address]behaviour
	now       time.Duration
	interval  time.Duration // between requests, 0 for none
	requestAt time.Duration
	requests  int
	relays    bool // requests are given to others while the verdict is CutOff
	roundTrip time.Duration
	jitter    func() time.Duration // by which the instance is late for Next
	loses     func() bool          // whether a notice is lost
	abandons  func() bool          // whether a request gives up its attempt halfway
	notices   []notice
	nextAt    time.Duration // negative if there is none
	verdict   Verdict
	changes   []change
	probes    map[Verdict][]time.Duration // by the verdict that asked for them
	ups       []time.Duration             // when links that were down came up
	// onStep is called after each call of the tracker, onNotice before each notice, and
	// onBegin with each attempt.
	onStep   func()
	onNotice func(notice)
	onBegin  func(AttemptID, deployment.Address)
}

func newSimulation(servers []Server) *simulation {
	s := &simulation{
		tracker: NewTracker(), servers: servers, targets: servers,
		network: map[deployment.Address]behaviour{}, probes: map[Verdict][]time.Duration{},
		interval: 50 * time.Millisecond, roundTrip: simulatedTick, nextAt: -1,
		jitter: func() time.Duration { return 0 }, loses: func() bool { return false }, abandons: func() bool { return false },
		onStep: func() {}, onNotice: func(notice) {}, onBegin: func(AttemptID, deployment.Address) {},
	}
	s.tracker.SetServers(start, servers)
	return s
}

// serversIn returns some servers in each of some zones: a1, a2, b1, b2.
func serversIn(zones, each int) []Server {
	var servers []Server
	for zone := range zones {
		for i := range each {
			name := string(rune('a' + zone))
			servers = append(servers, Server{Address: deployment.Address(fmt.Sprint(name, i+1)), Zone: deployment.Zone(name)})
		}
	}
	return servers
}

func (s *simulation) time() time.Time { return start.Add(s.now) }

func (s *simulation) set(b behaviour, matches func(Server) bool) {
	for _, server := range s.servers {
		if matches(server) {
			s.network[server.Address] = b
		}
	}
}

func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += simulatedTick {
		s.deliver()
		if s.now >= s.requestAt && s.sends() {
			s.requestAt = s.now + s.interval
			s.requests++
			s.begin(s.targets[s.requests%len(s.targets)].Address, requestTimeout)
			s.settle()
		}
		if s.nextAt >= 0 && s.now >= s.nextAt {
			s.settle()
		}
	}
}

func (s *simulation) sends() bool {
	return s.interval > 0 && (!s.relays || s.verdict != CutOff)
}

// pause lets time pass in which the instance stands still. Attempts that are pending may
// have timed out when it goes on.
func (s *simulation) pause(d time.Duration, timesOut bool) {
	s.now += d
	for i := range s.notices {
		if timesOut && d >= requestTimeout {
			s.notices[i].connected = false
			s.notices[i].failure = Hung
		}
	}
}

func (s *simulation) deliver() {
	slices.SortStableFunc(s.notices, func(a, b notice) int { return int(a.at - b.at) })
	for len(s.notices) > 0 && s.notices[0].at <= s.now {
		n := s.notices[0]
		s.notices = s.notices[1:]
		s.onNotice(n)
		s.apply(n)
		s.settle()
	}
}

func (s *simulation) apply(n notice) {
	if !n.connected {
		s.tracker.Failed(s.time(), n.id, n.failure)
		return
	}
	before := s.linksDown()
	s.tracker.Connected(s.time(), n.id)
	if len(s.linksDown()) < len(before) {
		s.ups = append(s.ups, s.now)
	}
}

func (s *simulation) begin(address deployment.Address, timeout time.Duration) {
	id := s.tracker.Begin(s.time(), address)
	s.onBegin(id, address)
	if s.loses() {
		return
	}
	n := notice{id: id, at: s.now + s.roundTrip}
	switch s.network[address] {
	case connects:
		n.connected = true
	case refuses:
		n.failure = Refused
	case hangs:
		n.at = s.now + timeout
		n.failure = Hung
		if timeout != ProbeTimeout && s.abandons() {
			n.at = s.now + timeout/2
			n.failure = Abandoned
		}
	}
	s.notices = append(s.notices, n)
}

// settle does what the instance does after each call.
func (s *simulation) settle() {
	s.observe()
	verdict := s.tracker.Verdict(s.time())
	for _, address := range s.tracker.Probes(s.time()) {
		s.probes[verdict] = append(s.probes[verdict], s.now)
		s.begin(address, ProbeTimeout)
	}
	s.observe()
	s.nextAt = -1
	if next, ok := s.tracker.Next(s.time()); ok {
		s.nextAt = next.Sub(start) + s.jitter()
	}
	s.onStep()
}

func (s *simulation) observe() {
	verdict := s.tracker.Verdict(s.time())
	if verdict != s.verdict {
		s.verdict = verdict
		s.changes = append(s.changes, change{at: s.now, to: verdict})
	}
}

func (s *simulation) linksDown() []deployment.Address {
	var down []deployment.Address
	for _, server := range s.servers {
		if s.tracker.link(s.tracker.servers[server.Address]) == LinkDown {
			down = append(down, server.Address)
		}
	}
	return down
}

// probesWithin returns the probes of a verdict in the second up to each of them.
func (s *simulation) probesWithin(verdict Verdict) map[time.Duration]int {
	within := map[time.Duration]int{}
	first := 0
	for last, at := range s.probes[verdict] {
		for at-s.probes[verdict][first] >= time.Second {
			first++
		}
		within[at] = last - first + 1
	}
	return within
}

// upsBefore returns how many links came up in the second before a time.
func (s *simulation) upsBefore(end time.Duration) int {
	count := 0
	for _, at := range s.ups {
		if at <= end && at > end-time.Second {
			count++
		}
	}
	return count
}

func (s *simulation) entries(verdict Verdict) int {
	count := 0
	for _, c := range s.changes {
		if c.to == verdict {
			count++
		}
	}
	return count
}
