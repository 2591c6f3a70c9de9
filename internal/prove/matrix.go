package prove

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Injection is the injection of one fault at one step of a scenario.
type Injection struct {
	Step  string
	Fault string
}

// Injections returns every fault at every step.
func Injections(steps, faults []string) []Injection {
	var list []Injection
	for _, step := range steps {
		for _, fault := range faults {
			list = append(list, Injection{Step: step, Fault: fault})
		}
	}
	return list
}

// FaultsByStep groups the faults of injections by their step.
func FaultsByStep(injections []Injection) map[string][]string {
	faults := map[string][]string{}
	for _, injection := range injections {
		faults[injection.Step] = append(faults[injection.Step], injection.Fault)
	}
	return faults
}

// Scenario runs one case of a fault matrix. It returns a line that describes the
// outcome, and an error if an invariant was violated.
type Scenario func(injections ...Injection) (line string, err error)

// Matrix runs a scenario with each injection and compares the outcomes, one a line,
// with the file testdata/faults.txt in the directory of the test.
func Matrix(t *testing.T, injections []Injection, scenario Scenario) {
	t.Helper()
	var lines []string
	for _, injection := range injections {
		line, err := scenario(injection)
		assert.NilError(t, err, "%v", injection)
		lines = append(lines, line)
	}
	want, err := os.ReadFile("testdata/faults.txt")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(lines, "\n"), strings.TrimSpace(string(want)))
}

// Pairs runs a scenario with every ordered pair of injections, including pairs of
// the same injection. It ignores the outcomes and fails the test on an error.
func Pairs(t *testing.T, injections []Injection, scenario Scenario) {
	t.Helper()
	for _, first := range injections {
		for _, second := range injections {
			_, err := scenario(first, second)
			assert.NilError(t, err, "%v, %v", first, second)
		}
	}
	t.Logf("%d pairs of faults", len(injections)*len(injections))
}

// CatchesAll runs Catches in a subtest for each injected bug. The keys of properties name
// the bugs and the subtests.
func CatchesAll(t *testing.T, properties map[string]func(Chooser) error) {
	t.Helper()
	for bug, property := range properties {
		t.Run(bug, func(t *testing.T) {
			Catches(t, bug, property)
		})
	}
}
