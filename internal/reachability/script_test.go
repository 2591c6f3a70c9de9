package reachability

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/testarchive"
)

// TestScripts plays the archives of testdata: the first file tells what happens, the second
// one the verdicts, the links that are down at the end, and the number of probes.
//
//	servers ZONES EACH
//	requests INTERVAL [ADDRESS or ZONE...]
//	run DURATION
//	pause DURATION
//	connects|hangs|refuses all|ADDRESS or ZONE...
func TestScripts(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		var s *simulation
		for line := range strings.Lines(string(files[0])) {
			s = play(t, s, strings.Fields(line))
		}
		assert.Equal(t, s.summary(), strings.TrimSpace(string(files[1])))
	})
}

func play(t *testing.T, s *simulation, words []string) *simulation {
	t.Helper()
	switch words[0] {
	case "servers":
		var zones, each int
		_, err := fmt.Sscan(strings.Join(words[1:], " "), &zones, &each)
		assert.NilError(t, err)
		return newSimulation(serversIn(zones, each))
	case "requests":
		s.interval = duration(t, words[1])
		if len(words) > 2 {
			s.targets = slices.DeleteFunc(slices.Clone(s.servers), func(server Server) bool { return !among(words[2:])(server) })
		}
	case "run":
		s.run(s.now + duration(t, words[1]))
	case "pause":
		s.pause(duration(t, words[1]), true)
	default:
		s.set(behaviourOf(t, words[0]), among(words[1:]))
	}
	return s
}

func duration(t *testing.T, word string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(word)
	assert.NilError(t, err)
	return d
}

func behaviourOf(t *testing.T, word string) behaviour {
	t.Helper()
	b, ok := map[string]behaviour{"connects": connects, "hangs": hangs, "refuses": refuses}[word]
	assert.Assert(t, ok, word)
	return b
}

func among(names []string) func(Server) bool {
	return func(server Server) bool {
		for _, name := range names {
			if name == "all" || server.Zone == deployment.Zone(name) || server.Address == deployment.Address(name) {
				return true
			}
		}
		return false
	}
}

func (s *simulation) summary() string {
	var lines []string
	for _, c := range s.changes {
		lines = append(lines, fmt.Sprintf("%s %s", c.at, c.to))
	}
	if down := s.linksDown(); len(down) > 0 {
		lines = append(lines, fmt.Sprint("down ", down))
	}
	for _, verdict := range []Verdict{Sound, Doubtful, CutOff} {
		lines = append(lines, fmt.Sprintf("%d probes while %s", len(s.probes[verdict]), verdict))
	}
	return strings.Join(lines, "\n")
}
