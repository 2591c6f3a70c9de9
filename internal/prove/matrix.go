package prove

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Injection is one fault at one step.
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

// BySteps sorts the faults of injections by their step.
func BySteps(injections []Injection) map[string][]string {
	faults := map[string][]string{}
	for _, s := range injections {
		faults[s.Step] = append(faults[s.Step], s.Fault)
	}
	return faults
}

// Scenario runs one case of a fault matrix. It returns a line that says how the
// case ended, and an error when an invariant was broken.
type Scenario func(injections ...Injection) (line string, err error)

// Matrix runs a scenario with each injection and compares the lines with the file
// testdata/faults.txt.
func Matrix(t *testing.T, injections []Injection, scenario Scenario) {
	t.Helper()
	var lines []string
	for _, s := range injections {
		line, err := scenario(s)
		assert.NilError(t, err, "%v", s)
		lines = append(lines, line)
	}
	want, err := os.ReadFile("testdata/faults.txt")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(lines, "\n"), strings.TrimSpace(string(want)))
}

// Pairs runs a scenario with every two injections.
func Pairs(t *testing.T, injections []Injection, scenario Scenario) {
	t.Helper()
	for _, one := range injections {
		for _, other := range injections {
			_, err := scenario(one, other)
			assert.NilError(t, err, "%v, %v", one, other)
		}
	}
	t.Logf("%d pairs of faults", len(injections)*len(injections))
}

// CatchesAll runs Catches for each planted fault, by its name.
func CatchesAll(t *testing.T, proofs map[string]func(Chooser) error) {
	t.Helper()
	for fault, proof := range proofs {
		t.Run(fault, func(t *testing.T) {
			Catches(t, fault, proof)
		})
	}
}
