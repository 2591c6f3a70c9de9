package reachability

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

const (
	// maxCutOffDelay is how long after a total cut the verdict may stay Sound or Doubtful
	// while requests come, and maxSoundDelay how long it may stay CutOff after the heal.
	maxCutOffDelay = 2500 * time.Millisecond
	maxSoundDelay  = 1500 * time.Millisecond
	maxJitter      = 40 * time.Millisecond
)

// maxProbes bounds the probes of each verdict in a second: two windows of links, two rounds
// in doubt, and while cut off two probes and two proofs. Each link that comes up allows
// another probe.
var maxProbes = map[Verdict]int{
	Sound:    2 * maxLinkProbes,
	Doubtful: 2 * doubtProbes,
	CutOff:   2 + 2*(proofServers<<maxProofDoublings),
}

// witness keeps what the instance was told, to check a verdict against.
type witness struct {
	t         *rapid.T
	s         *simulation
	connected AttemptID
	failed    map[AttemptID]bool
	told      map[AttemptID]bool
	begun     map[AttemptID]begun
	checked   int
}

type begun struct {
	at      time.Duration
	address deployment.Address
}

func watch(t *rapid.T, s *simulation) {
	w := &witness{t: t, s: s, failed: map[AttemptID]bool{}, told: map[AttemptID]bool{}, begun: map[AttemptID]begun{}}
	s.onBegin = func(id AttemptID, address deployment.Address) { w.begun[id] = begun{s.now, address} }
	s.onNotice = w.record
	s.onStep = w.check
}

func (w *witness) record(n notice) {
	w.told[n.id] = true
	hung := w.s.now-w.begun[n.id].at >= ProbeTimeout
	switch {
	case n.connected:
		w.connected = max(w.connected, n.id)
	case n.failure != Abandoned || hung:
		w.failed[n.id] = true
	}
}

// check asserts that enough servers have failed in attempts begun after the last one that
// connected, whenever the verdict becomes CutOff.
func (w *witness) check() {
	for ; w.checked < len(w.s.changes); w.checked++ {
		if w.s.changes[w.checked].to == CutOff {
			w.checkCutOff()
		}
	}
	next, ok := w.s.tracker.Next(w.s.time())
	assert.Assert(w.t, !ok || next.After(w.s.time()), "%s: Next is due after Probes", w.s.now)
}

func (w *witness) checkCutOff() {
	failed := map[deployment.Address]int{}
	for id, attempt := range w.begun {
		hung := !w.told[id] && w.s.now-attempt.at >= ProbeTimeout
		if id > w.connected && (w.failed[id] || hung) {
			failed[attempt.address]++
		}
	}
	servers := len(w.s.servers)
	assert.Assert(w.t, len(failed) >= min(minFailedServers, servers), "%s: cut off after %v", w.s.now, failed)
	assert.Assert(w.t, servers > 1 || failed[w.s.servers[0].Address] >= 2, "%s: cut off after %v", w.s.now, failed)
}

// drawSimulation draws an instance with its servers and requests.
func drawSimulation(t *rapid.T, minZones int) *simulation {
	s := newSimulation(serversIn(rapid.IntRange(minZones, 4).Draw(t, "zones"), rapid.IntRange(1, 12).Draw(t, "servers of a zone")))
	s.interval = drawDuration(t, "interval", simulatedTick, 200*time.Millisecond)
	s.roundTrip = drawDuration(t, "round trip", simulatedTick, 40*time.Millisecond)
	s.relays = rapid.Bool().Draw(t, "relays")
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
	jitter := drawDuration(t, "jitter", 0, maxJitter)
	s.jitter = func() time.Duration { return time.Duration(random.Float64() * float64(jitter)) }
	abandoned := rapid.Float64Range(0, 0.5).Draw(t, "abandoned")
	s.abandons = func() bool { return random.Float64() < abandoned }
	return s
}

func drawDuration(t *rapid.T, name string, least, most time.Duration) time.Duration {
	return simulatedTick * time.Duration(rapid.IntRange(int(least/simulatedTick), int(most/simulatedTick)).Draw(t, name))
}

// drawNetwork changes the network: all of it, a zone, a server or any of them. It reports
// whether all servers are the same now.
func drawNetwork(t *rapid.T, s *simulation) (behaviour, bool) {
	b := rapid.SampledFrom([]behaviour{connects, hangs, refuses}).Draw(t, "behaviour")
	scope := rapid.SampledFrom([]string{"all", "zone", "server", "any"}).Draw(t, "scope")
	chosen := rapid.SampledFrom(s.servers).Draw(t, "chosen")
	if scope == "any" {
		s.set(b, func(Server) bool { return rapid.Bool().Draw(t, "changes") })
		return b, false
	}
	s.set(b, func(server Server) bool {
		return scope == "all" || server.Address == chosen.Address || scope == "zone" && server.Zone == chosen.Zone
	})
	return b, scope == "all"
}

// TestProveVerdicts checks the bounds for any sequence of cuts.
func TestProveVerdicts(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		s := drawSimulation(t, 1)
		watch(t, s)
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			b, same := drawNetwork(t, s)
			begin, interval := s.now, s.interval
			if rapid.IntRange(0, 4).Draw(t, "quiet") == 0 {
				s.interval = 0
			}
			s.run(begin + drawDuration(t, "phase", 200*time.Millisecond, 5*time.Second))
			requests := s.interval > 0
			s.interval = interval
			if same && (requests || b == connects) {
				checkPhase(t, s, b, begin)
			}
		}
		checkProbes(t, s)
	})
}

// checkPhase checks the verdict at the end of a phase in which all servers were the same.
func checkPhase(t *rapid.T, s *simulation, b behaviour, begin time.Duration) {
	lasted := s.now - begin
	if b == connects {
		assert.Assert(t, lasted < maxSoundDelay || s.verdict == Sound, "%s at %s, %s after the heal", s.verdict, s.now, lasted)
		assert.Assert(t, lasted < 2*maxSoundDelay || len(s.linksDown()) == 0, "%v down, %s after the heal", s.linksDown(), lasted)
		return
	}
	assert.Assert(t, lasted < maxCutOffDelay+s.interval || s.verdict == CutOff, "%s at %s, %s after the cut", s.verdict, s.now, lasted)
}

func checkProbes(t *rapid.T, s *simulation) {
	for verdict, most := range maxProbes {
		for end, count := range s.probesWithin(verdict) {
			assert.Assert(t, count <= most+s.upsBefore(end), "%d probes while %s in the second before %s", count, verdict, end)
		}
	}
}

// TestProveLostNotices checks that no bound but that of the heal needs any notice.
func TestProveLostNotices(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		s := drawSimulation(t, 1)
		s.interval = max(s.interval, 20*time.Millisecond)
		watch(t, s)
		lost := rapid.Float64Range(0, 1).Draw(t, "lost")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "loss seed"), 4))
		s.loses = func() bool { return random.Float64() < lost }
		for range rapid.IntRange(1, 5).Draw(t, "phases") {
			b, same := drawNetwork(t, s)
			begin := s.now
			s.run(begin + drawDuration(t, "phase", 200*time.Millisecond, 5*time.Second))
			if same && b != connects {
				checkPhase(t, s, b, begin)
			}
		}
		checkProbes(t, s)
	})
}

// TestProvePartOfTheServersIsNoCut checks that the verdict never is CutOff while one server
// or one zone fails again and again, also beside times in which the instance stands still.
func TestProvePartOfTheServersIsNoCut(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		s := drawSimulation(t, 2)
		watch(t, s)
		chosen := rapid.SampledFrom(s.servers).Draw(t, "chosen")
		zone := rapid.Bool().Draw(t, "zone")
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			s.set(rapid.SampledFrom([]behaviour{connects, hangs, refuses}).Draw(t, "behaviour"), func(server Server) bool {
				return server.Address == chosen.Address || zone && server.Zone == chosen.Zone
			})
			s.run(s.now + drawDuration(t, "phase", 50*time.Millisecond, 3*time.Second))
			if rapid.Bool().Draw(t, "stands still") {
				s.pause(drawDuration(t, "pause", 50*time.Millisecond, 5*time.Second), rapid.Bool().Draw(t, "times out"))
			}
		}
		s.run(s.now + time.Second)
		assert.Equal(t, s.entries(CutOff), 0, "%v", s.changes)
	})
}

// TestProveStandingStillIsNoCut checks that the verdict never is CutOff on a sound network,
// however the instance is delayed.
func TestProveStandingStillIsNoCut(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		s := drawSimulation(t, 1)
		watch(t, s)
		for range rapid.IntRange(1, 12).Draw(t, "pauses") {
			s.run(s.now + drawDuration(t, "phase", simulatedTick, time.Second))
			s.pause(drawDuration(t, "pause", simulatedTick, 3*time.Second), rapid.Bool().Draw(t, "times out"))
		}
		assert.Equal(t, s.entries(CutOff), 0, "%v", s.changes)
	})
}

// TestProveServersThatAreGoneAreForgotten checks that memory is bounded by the servers
// listed and the attempts of the last seconds.
func TestProveServersThatAreGoneAreForgotten(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		s := drawSimulation(t, 1)
		s.loses = func() bool { return true }
		s.interval = max(s.interval, 50*time.Millisecond)
		for range rapid.IntRange(1, 3).Draw(t, "phases") {
			drawNetwork(t, s)
			s.run(s.now + drawDuration(t, "phase", 200*time.Millisecond, 15*time.Second))
			s.servers = serversIn(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 8).Draw(t, "servers of a zone"))
			s.targets = s.servers
			s.tracker.SetServers(s.time(), s.servers)
			assert.Equal(t, len(s.tracker.servers), len(s.servers))
			pending := int(attemptLifetime/s.interval) + (maxProbes[Sound]+maxProbes[Doubtful]+maxProbes[CutOff])*int(attemptLifetime/time.Second)
			assert.Assert(t, len(s.tracker.attempts) <= pending, "%d attempts", len(s.tracker.attempts))
		}
		s.tracker.SetServers(s.time(), nil)
		assert.Equal(t, len(s.tracker.servers)+len(s.tracker.attempts), 0)
		assert.Equal(t, s.tracker.Verdict(s.time()), Sound)
		_, ok := s.tracker.Next(s.time())
		assert.Assert(t, !ok)
	})
}
