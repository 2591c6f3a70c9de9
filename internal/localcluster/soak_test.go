//go:build process

package localcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/load"
)

const (
	soakSteps         = 30
	soakSeed          = 1
	soakFaultInterval = 400 * time.Millisecond
)

// TestSoak injects random faults into a deployment of real processes under mixed
// load. It checks that no answer is wrong, that no call is executed twice and that
// the outcomes reported to callers match the executed calls.
// MULBERRYHEAD_SOAK_STEPS sets the number of faults, MULBERRYHEAD_SOAK_SEED the
// random seed.
func TestSoak(t *testing.T) {
	steps, seed := intFromEnv(t, "MULBERRYHEAD_SOAK_STEPS", soakSteps), intFromEnv(t, "MULBERRYHEAD_SOAK_SEED", soakSeed)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute+time.Duration(steps)*3*time.Second)
	defer cancel()
	s := startScript(ctx, t, os.Getenv("MULBERRYHEAD_BINARIES"))
	defer s.close()
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	s.startLoad("mixed", []string{"rate=50", "calls=0.5", fmt.Sprintf("for=%s", time.Duration(steps)*2*soakFaultInterval)})
	for range steps {
		s.injectFault(random)
		time.Sleep(soakFaultInterval + time.Duration(random.IntN(int(soakFaultInterval))))
	}
	s.clearFaults()
	s.waitLoad("mixed", nil)
	s.checkLedger()
	s.ask("entry-a1")
	s.ask("entry-b1")
	s.makeBooking("after", "entry-a1", "done")
	s.makeBooking("after", "entry-b1", "done")
	s.checkLedger()
	report := s.reports["mixed"]
	t.Logf("whole %d, refused %d, cut %d", report.Ended(load.AnswerWhole), report.Ended(load.AnswerRefused), report.Ended(load.AnswerCut))
	assert.Assert(t, report.Ended(load.AnswerWhole) > 0)
}

func intFromEnv(t *testing.T, variable string, fallback int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// injectFault injects one random fault.
func (s *script) injectFault(random *rand.Rand) {
	entries := []string{"entry-a1", "entry-a2", "entry-b1"}
	engines := s.cluster.config.Engines
	entry := entries[random.IntN(len(entries))]
	engine := engines[random.IntN(len(engines))]
	service := []string{"service-a", "service-b"}[random.IntN(2)]
	fault := random.IntN(10)
	s.t.Logf("fault %d: %s %s %s", fault, entry, engine.ID, service)
	switch fault {
	case 0:
		s.process(entry).Kill()
		s.restartEntry(entry)
		s.checkReady(entry, "yes")
	case 1:
		assert.NilError(s.t, s.process(entry).Signal(syscall.SIGSTOP))
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		assert.NilError(s.t, s.process(entry).Signal(syscall.SIGCONT))
	case 2:
		s.process(engine.ID).Kill()
		time.Sleep(soakFaultInterval)
		assert.NilError(s.t, s.cluster.StartEngine(s.ctx, engine))
	case 3:
		s.setFaults(engine.ID, `{"silent": true}`)
	case 4:
		s.setFaults(engine.ID, `{"drop-replies": 3, "stray-replies": true}`)
	case 5:
		s.setFaults(service, `{"drop-after": 2, "drop-before": 2}`)
	case 6:
		s.setFaults("platform", `{"lose-answers": 3, "late-appends": 3, "late-millis": 1200}`)
	case 7:
		s.setFaults("platform", `{"log-down": true}`)
		time.Sleep(time.Second)
		s.setFaults("platform", `{"log-down": false}`)
	case 8:
		s.setFaults("platform", fmt.Sprintf(`{"cut": [%q]}`, entry))
		time.Sleep(time.Second)
		s.setFaults("platform", `{"cut": []}`)
	case 9:
		s.setFaults(engine.ID, `{"slow-factor": 50}`)
		time.Sleep(soakFaultInterval)
		s.setFaults(engine.ID, `{"slow-factor": 1}`)
	}
}

// clearFaults resets the fault switches that injectFault may have set.
func (s *script) clearFaults() {
	s.setFaults("platform", `{"log-down": false, "cut": [], "lose-answers": 0, "late-appends": 0}`)
	for id := range s.cluster.Engines {
		s.setFaults(id, `{"slow-factor": 1, "drop-replies": 0, "stray-replies": false}`)
	}
	for id := range s.cluster.Services {
		s.setFaults(id, `{"drop-after": 0, "drop-before": 0}`)
	}
}
