package serverlimit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
)

// The platform's bound on what a server gets: from stableWindow after it named its limit, in
// any 4 s at most one and a half times what the limit allows, and 5 requests.
const (
	stableWindow  = 3 * time.Second
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitReserve  = 5
	tellInterval  = 400 * time.Millisecond
	simulatedTick = 20 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func always() float64 { return 0 }

// TestStatementsInAnyOrder checks which of some statements holds, as they arrive in order,
// in reverse, and twice.
func TestStatementsInAnyOrder(t *testing.T) {
	type statement struct {
		at        time.Duration
		perSecond float64 // negative for an answer without a limit
	}
	for _, test := range []struct {
		name       string
		statements []statement
		limited    bool
		perSecond  float64
	}{
		{"named", []statement{{time.Second, 5}}, true, 5},
		{"falls", []statement{{time.Second, 5}, {2 * time.Second, 3}}, true, 3},
		{"is 0", []statement{{time.Second, 5}, {2 * time.Second, 0}}, true, 0},
		{"lifted", []statement{{time.Second, 5}, {2 * time.Second, -1}}, false, 5},
		{"overtaken by an answer from before", []statement{{time.Second, 5}, {time.Second + liftDelay/2, -1}}, true, 5},
		{"named again", []statement{{time.Second, 5}, {2 * time.Second, -1}, {3 * time.Second, 4}}, true, 4},
		{"nonsense", []statement{{time.Second, 5}, {2 * time.Second, math.NaN()}, {2 * time.Second, math.Inf(1)}}, true, 5},
	} {
		now := at(10 * time.Second)
		apply := func(s *Share, said statement) {
			age := 10*time.Second - said.at
			if said.perSecond < 0 {
				s.Lift(now, age)
				return
			}
			s.Name(now, age, said.perSecond)
		}
		forward, backward, told := &Share{}, &Share{}, &Share{}
		for i := range test.statements {
			apply(forward, test.statements[i])
			apply(forward, test.statements[i])
			apply(backward, test.statements[len(test.statements)-1-i])
		}
		said, ok := forward.Statement(now)
		assert.Assert(t, ok)
		told.Merge(now, said)
		assert.Assert(t, !told.Merge(now, said), "a repeat changes nothing")
		for _, share := range []*Share{forward, backward, told} {
			assert.Equal(t, share.Limited(), test.limited, test.name)
			assert.Equal(t, share.PerSecond(), test.perSecond, test.name)
		}
	}
}

// TestWithoutALimitAllIsSent checks the zero value.
func TestWithoutALimitAllIsSent(t *testing.T) {
	share := &Share{}
	for range 1000 {
		assert.Assert(t, share.MaySend(at(0), always))
		share.RecordArrival(at(0))
	}
	assert.Equal(t, len(share.arrivals), 0)
}

// TestLimitOfZeroIsAskedAgain checks that a server with a limit of 0 gets a request now and
// then, whose answer tells whether the limit still holds, and few of them.
func TestLimitOfZeroIsAskedAgain(t *testing.T) {
	share := &Share{}
	share.Name(at(0), 0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	sent := 0
	for now := time.Duration(0); now < 400*time.Second; now += simulatedTick {
		if share.MaySend(at(now), random.Float64) {
			share.RecordArrival(at(now))
			sent++
		}
	}
	assert.Assert(t, sent > 20 && sent <= 100, "%d sent", sent)
}

// simulatedInstance is one of the instances that share a server's rate.
type simulatedInstance struct {
	share    *Share
	demand   float64 // a second
	owed     float64
	down     time.Duration // until when it is down
	toldSent []float64     // by others, in the last report that arrived
}

// simulation plays instances that tell one another what they have sent, late and with gaps.
type simulation struct {
	now       time.Duration
	instances []*simulatedInstance
	limit     float64
	random    *rand.Rand
	loss      float64
	probes    float64 // of each instance, a second
	arrivals  []time.Duration
}

func newSimulation(count int, limit, demand, loss, probes float64, seed uint64) *simulation {
	s := &simulation{limit: limit, random: rand.New(rand.NewPCG(seed, 2)), loss: loss, probes: probes}
	for range count {
		s.instances = append(s.instances, s.newInstance(count, demand))
	}
	return s
}

func (s *simulation) newInstance(count int, demand float64) *simulatedInstance {
	instance := &simulatedInstance{share: &Share{}, demand: demand, toldSent: make([]float64, count)}
	instance.share.SetOthers(Others{Instances: count - 1})
	return instance
}

func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += simulatedTick {
		now := s.now
		for i, instance := range s.instances {
			if now < instance.down {
				continue
			}
			if now%tellInterval == time.Duration(i%20)*simulatedTick {
				s.tell(i, now)
			}
			s.send(instance, now)
		}
	}
}

// tell sends the report of an instance to the others.
func (s *simulation) tell(from int, now time.Duration) {
	share := s.instances[from].share
	said, _ := share.Statement(at(now))
	for i, other := range s.instances {
		if i == from || now < other.down || s.random.Float64() < s.loss {
			continue
		}
		other.share.Merge(at(now), said)
		other.toldSent[from] = share.Sent(at(now))
		other.share.SetOthers(other.others(i))
	}
}

func (i *simulatedInstance) others(self int) Others {
	others := Others{Instances: len(i.toldSent) - 1}
	for from, sent := range i.toldSent {
		if from != self {
			others.Sent += sent
		}
	}
	return others
}

// send sends what an instance wants to send, and learns the limit from the answers.
func (s *simulation) send(instance *simulatedInstance, now time.Duration) {
	instance.owed = min(instance.owed+instance.demand*simulatedTick.Seconds(), 5)
	for instance.owed >= 1 && instance.share.MaySend(at(now), s.random.Float64) {
		instance.owed--
		s.arrive(instance, now)
	}
	if s.random.Float64() < s.probes*simulatedTick.Seconds() {
		s.arrive(instance, now)
	}
}

func (s *simulation) arrive(instance *simulatedInstance, now time.Duration) {
	instance.share.RecordArrival(at(now))
	instance.share.Name(at(now), 0, s.limit)
	s.arrivals = append(s.arrivals, now)
}

// most returns the most arrivals in a window that ends later than stableWindow.
func (s *simulation) most() int {
	most, first := 0, 0
	for last, end := range s.arrivals {
		for end-s.arrivals[first] >= limitWindow {
			first++
		}
		if end > stableWindow {
			most = max(most, last-first+1)
		}
	}
	return most
}

// TestProveInstancesKeepTheLimit checks the platform's bound for instances that want more
// than the limit, whose reports are late and partly lost, that also probe and that restart.
// What is sent before any instance knows of the limit is not part of the simulation.
func TestProveInstancesKeepTheLimit(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(t, "instances")
		limit := rapid.Float64Range(0.5, 60).Draw(t, "limit")
		demand := rapid.Float64Range(0.2, 3).Draw(t, "demand") * limit
		probes := rapid.Float64Range(0, 0.2).Draw(t, "probes") * limit / float64(count)
		s := newSimulation(count, limit, demand/float64(count), rapid.Float64Range(0, 0.3).Draw(t, "loss"), probes, rapid.Uint64().Draw(t, "seed"))
		for i := range s.instances {
			s.instances[i].share.Name(at(0), 0, limit)
		}
		s.run(6 * time.Second)
		restarted := rapid.IntRange(0, count-1).Draw(t, "restarted")
		s.instances[restarted] = s.newInstance(count, demand/float64(count))
		s.instances[restarted].down = 7 * time.Second
		s.instances[restarted].share.Name(at(7*time.Second), 0, limit)
		s.run(20 * time.Second)
		allowed := limitFactor*limit*limitWindow.Seconds() + limitReserve
		assert.Assert(t, float64(s.most()) <= allowed, "%d in %s, allowed %g", s.most(), limitWindow, allowed)
	})
}

// TestLimitIsUsed checks that instances whose reports arrive send at least half of what the
// server takes when they want three times as much.
func TestLimitIsUsed(t *testing.T) {
	for _, count := range []int{1, 3, 9, 60} {
		for _, limit := range []float64{1, 12, 60} {
			s := newSimulation(count, limit, 3*limit/float64(count), 0, 0, 7)
			for i := range s.instances {
				s.instances[i].share.Name(at(0), 0, limit)
			}
			s.run(60 * time.Second)
			rate := float64(len(s.arrivals)) / 60
			t.Logf("%d instances, limit %g: %.2f a second", count, limit, rate)
			assert.Assert(t, rate >= limit/2, "%d instances, limit %g: %.2f a second", count, limit, rate)
		}
	}
}
