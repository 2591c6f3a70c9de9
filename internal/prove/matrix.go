package prove

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Strike is one fault at one step.
type Strike struct {
	Step  string
	Fault string
}

// Strikes returns every fault at every step.
func Strikes(steps, faults []string) []Strike {
	var list []Strike
	for _, step := range steps {
		for _, fault := range faults {
			list = append(list, Strike{Step: step, Fault: fault})
		}
	}
	return list
}

// BySteps sorts the faults of strikes by their step.
func BySteps(strikes []Strike) map[string][]string {
	faults := map[string][]string{}
	for _, s := range strikes {
		faults[s.Step] = append(faults[s.Step], s.Fault)
	}
	return faults
}

// Scenario runs one case of a fault matrix. It returns a line that says how the
// case ended, and an error when an invariant was broken.
type Scenario func(strikes ...Strike) (line string, err error)

// Matrix runs a scenario with each strike and compares the lines with the file
// testdata/faults.txt.
func Matrix(t *testing.T, strikes []Strike, scenario Scenario) {
	t.Helper()
	var lines []string
	for _, s := range strikes {
		line, err := scenario(s)
		assert.NilError(t, err, "%v", s)
		lines = append(lines, line)
	}
	want, err := os.ReadFile("testdata/faults.txt")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(lines, "\n"), strings.TrimSpace(string(want)))
}

// Pairs runs a scenario with every two strikes.
func Pairs(t *testing.T, strikes []Strike, scenario Scenario) {
	t.Helper()
	for _, one := range strikes {
		for _, other := range strikes {
			_, err := scenario(one, other)
			assert.NilError(t, err, "%v, %v", one, other)
		}
	}
	t.Logf("%d pairs of faults", len(strikes)*len(strikes))
}

// Bites runs Catches for each planted fault, by its name.
func Bites(t *testing.T, proofs map[string]func(Chooser) error) {
	t.Helper()
	for fault, proof := range proofs {
		t.Run(fault, func(t *testing.T) {
			Catches(t, fault, proof)
		})
	}
}
