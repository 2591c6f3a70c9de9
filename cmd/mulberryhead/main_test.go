package main

import (
	"errors"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/operator"
	"mulberryhead.org/mulberryhead/internal/tomlpos"
)

// TestExitCode checks the exit code for each kind of error; operators' scripts depend
// on it.
func TestExitCode(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want int
	}{
		"success":          {nil, 0},
		"help":             {&flags.Error{Type: flags.ErrHelp}, 0},
		"usage":            {&flags.Error{Type: flags.ErrUnknownFlag}, exitUsage},
		"invalid settings": {&tomlpos.ProblemsError{}, exitUsage},
		"API error":        {&operator.APIError{Code: "stale-base"}, exitFailed},
		"other error":      {errors.New("broken"), exitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, exitCode(test.err), test.want)
		})
	}
}

// TestCommandLine checks that valid command lines parse and invalid ones are
// rejected. Of the commands only those without side effects are executed.
func TestCommandLine(t *testing.T) {
	for name, test := range map[string]struct {
		arguments []string
		ok        bool
	}{
		"check":                 {[]string{"check"}, true},
		"version":               {[]string{"version"}, true},
		"unknown command":       {[]string{"walk"}, false},
		"unknown flag":          {[]string{"check", "--loud"}, false},
		"missing required flag": {[]string{"publish", "--admin", "127.0.0.1:1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := flags.NewParser(&commands{}, flags.PassDoubleDash).ParseArgs(test.arguments)
			assert.Equal(t, err == nil, test.ok, "%v", err)
		})
	}
}

// TestInvalidZoneCrossingCost guards against an instance that starts with a cost that nobody meant.
func TestInvalidZoneCrossingCost(t *testing.T) {
	for _, value := range []string{"-1ms", "11s", "abc", "NaN", "5", "99999999999h"} {
		_, err := flags.NewParser(&commands{}, flags.PassDoubleDash).ParseArgs([]string{"route", "--zone-crossing-cost=" + value})
		assert.ErrorContains(t, err, "--zone-crossing-cost")
		assert.Equal(t, exitCode(err), exitUsage)
	}
	assert.NilError(t, (&routeCommand{ZoneCrossingCost: 10 * time.Second}).validate())
	assert.NilError(t, (&routeCommand{}).validate())
}
