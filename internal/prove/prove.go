// Package prove runs property-based tests: a fixed number of cases with a fixed seed
// in every test run, and longer runs on demand.
//
// Usage: write a property as a function of a Chooser. The same function then runs
// with rapid, which shrinks failing cases, and with a sequence of plain seeds, which
// shows that the property detects an injected bug:
//
//	prove.Check(t, func(c prove.Chooser) error { ... })
//	prove.Catches(t, "duplicate message applied twice", func(c prove.Chooser) error { ... })
//
// Random runs a property that uses rapid directly. Matrix and Pairs run a scenario
// with each injected fault and with each pair of them.
//
// The environment variables MULBERRYHEAD_PROVE_CHECKS and MULBERRYHEAD_PROVE_SEED
// replace the number of cases and the seed, for longer runs and to repeat a run.
package prove

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"
)

const (
	defaultChecks = "200"
	defaultSeed   = "20261204" // any fixed value
	// maxCatchSeeds is the number of seeds within which a property must detect an
	// injected bug.
	maxCatchSeeds = 20_000
)

// Chooser is the source of all random choices of a property.
type Chooser interface {
	// Choose returns a number from 0 up to but excluding n.
	Choose(n int) int
}

type rapidChooser struct {
	t *rapid.T
}

func (c rapidChooser) Choose(n int) int {
	return rapid.IntRange(0, n-1).Draw(c.t, "choice")
}

type seedChooser struct {
	random *rand.Rand
}

func (c seedChooser) Choose(n int) int {
	return c.random.IntN(n)
}

// Check runs a property with rapid and fails the test on the first error, which rapid
// shrinks.
func Check(t *testing.T, property func(Chooser) error) {
	t.Helper()
	setRapidFlags(t)
	rapid.Check(t, func(rt *rapid.T) {
		if err := runProperty(property, rapidChooser{rt}); err != nil {
			rt.Fatal(err)
		}
	})
}

// Random runs a rapid property with the fixed seed and number of cases of CI, so that
// each run gives the same result. MULBERRYHEAD_PROVE_SEED and
// MULBERRYHEAD_PROVE_CHECKS replace them.
func Random(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	setRapidFlags(t)
	rapid.Check(t, property)
}

// setRapidFlags sets the number of cases and the seed, and turns off the files that
// rapid writes for failing cases.
func setRapidFlags(t *testing.T) {
	t.Helper()
	setFlag(t, "rapid.checks", "MULBERRYHEAD_PROVE_CHECKS", defaultChecks)
	setFlag(t, "rapid.seed", "MULBERRYHEAD_PROVE_SEED", defaultSeed)
	setFlag(t, "rapid.nofailfile", "", "true")
}

// Catches fails the test unless a property of a program with an injected bug returns
// an error for at least one of the seeds.
func Catches(t *testing.T, bug string, property func(Chooser) error) {
	t.Helper()
	for seed := range uint64(maxCatchSeeds) {
		chooser := seedChooser{random: rand.New(rand.NewPCG(seed, seed))}
		if err := runProperty(property, chooser); err != nil {
			t.Logf("injected bug %q detected with seed %d: %v", bug, seed, err)
			return
		}
	}
	t.Fatalf("injected bug %q was not detected with %d seeds", bug, maxCatchSeeds)
}

// runProperty runs a property once. It returns a violated invariant, which panics in
// tests, as an error, and passes on other panics.
func runProperty(property func(Chooser) error, c Chooser) (err error) {
	defer func() {
		if r := recover(); r != nil {
			violation, ok := r.(error)
			if !ok || !isViolation(violation) {
				panic(r)
			}
			err = violation
		}
	}()
	return property(c)
}

// setFlag sets a flag to the value of an environment variable, or to fallback if the
// variable is empty.
func setFlag(t *testing.T, name, variable, fallback string) {
	t.Helper()
	value := fallback
	if variable != "" && os.Getenv(variable) != "" {
		value = os.Getenv(variable)
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
