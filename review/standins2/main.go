// Command review-2 plays the scripts of the second review: it starts stand-ins of the platform's store and
// of backend servers, and instances of mulberryhead as processes of their own.
//
// Usage, in the root of the repository, after the build of the deploy file:
//
//	target/review-2 CASE DIRECTORY
//
// It writes DIRECTORY/record.txt. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by their names.
var cases = map[string]func(*scene) error{
	"limit": playLimit,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, directory string) int {
	s, err := newScene(directory, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return exitNotRun
	}
	defer s.close()
	if err := cases[name](s); err != nil {
		s.record.printf("could not run: %v", err)
		return exitNotRun
	}
	if s.broken {
		s.record.printf("the rule was broken")
		return exitBroken
	}
	s.record.printf("the rule held")
	return exitHeld
}
