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
	soakSteps = 30
	soakSeed  = 1
	soakPause = 400 * time.Millisecond
)

// TestSoak lets random faults meet a deployment of real processes under mixed
// load. In the end no answer was wrong, no call ran twice, and what callers
// were told is true. MULBERRYHEAD_SOAK_STEPS and MULBERRYHEAD_SOAK_SEED lengthen
// and replay.
func TestSoak(t *testing.T) {
	steps, seed := number(t, "MULBERRYHEAD_SOAK_STEPS", soakSteps), number(t, "MULBERRYHEAD_SOAK_SEED", soakSeed)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute+time.Duration(steps)*3*time.Second)
	defer cancel()
	s := startScript(ctx, t, os.Getenv("MULBERRYHEAD_BINARIES"))
	defer s.close()
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	s.load("mixed", []string{"rate=50", "calls=0.5", fmt.Sprintf("for=%s", time.Duration(steps)*2*soakPause)})
	for range steps {
		s.disturb(random)
		time.Sleep(soakPause + time.Duration(random.IntN(int(soakPause))))
	}
	s.heal()
	s.wait("mixed", nil)
	s.ledger()
	s.ask("entry-a1")
	s.ask("entry-b1")
	s.book("after", "entry-a1", "done")
	s.book("after", "entry-b1", "done")
	s.ledger()
	report := s.reports["mixed"]
	t.Logf("whole %d, refused %d, cut %d", report.Ended(load.AnswerWhole), report.Ended(load.AnswerRefused), report.Ended(load.AnswerCut))
	assert.Assert(t, report.Ended(load.AnswerWhole) > 0)
}

func number(t *testing.T, variable string, fallback int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// disturb lets one fault happen.
func (s *script) disturb(random *rand.Rand) {
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
		s.replace(entry)
		s.ready(entry, "yes")
	case 1:
		assert.NilError(s.t, s.process(entry).Signal(syscall.SIGSTOP))
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		assert.NilError(s.t, s.process(entry).Signal(syscall.SIGCONT))
	case 2:
		s.process(engine.ID).Kill()
		time.Sleep(soakPause)
		assert.NilError(s.t, s.cluster.StartEngine(s.ctx, engine))
	case 3:
		s.faults(engine.ID, `{"silent": true}`)
	case 4:
		s.faults(engine.ID, `{"drop-replies": 3, "stray-replies": true}`)
	case 5:
		s.faults(service, `{"drop-after": 2, "drop-before": 2}`)
	case 6:
		s.faults("platform", `{"lose-answers": 3, "late-appends": 3, "late-millis": 1200}`)
	case 7:
		s.faults("platform", `{"log-down": true}`)
		time.Sleep(time.Second)
		s.faults("platform", `{"log-down": false}`)
	case 8:
		s.faults("platform", fmt.Sprintf(`{"cut": [%q]}`, entry))
		time.Sleep(time.Second)
		s.faults("platform", `{"cut": []}`)
	case 9:
		s.faults(engine.ID, `{"slow-factor": 50}`)
		time.Sleep(soakPause)
		s.faults(engine.ID, `{"slow-factor": 1}`)
	}
}

// heal ends every fault.
func (s *script) heal() {
	s.faults("platform", `{"log-down": false, "cut": [], "lose-answers": 0, "late-appends": 0}`)
	for id := range s.cluster.Engines {
		s.faults(id, `{"slow-factor": 1, "drop-replies": 0, "stray-replies": false}`)
	}
	for id := range s.cluster.Services {
		s.faults(id, `{"drop-after": 0, "drop-before": 0}`)
	}
}
