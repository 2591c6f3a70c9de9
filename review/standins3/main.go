// Command standins3 plays the scripted cases 7 to 10 of the second review: it starts instances of the
// router as separate processes, with the command of the deploy file, against stand-ins of the platform's
// store, of runners and of clients that keep to the platform's pages.
//
// Usage, in the root of the repository, after the build of the deploy file:
//
//	target/standins3 CASE DIRECTORY
//
// CASE is one of the names below. DIRECTORY gets record.txt, which tells what was sent, answered and run.
// With TROUBLE=0 in the environment the case is played without its disruption. The exit status is 1 if the
// rule was broken, 0 if it held, and 2 if the case could not be played.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripted cases by name. Each reports whether its rule was broken, and returns an error if it
// could not be played.
var cases = map[string]func(p *play) (broken bool, err error){
	"crash-after-event":   playCrashAfterEvent,
	"crash-query":         playCrashQuery,
	"crash-slow":          playCrashSlow,
	"crash-slow-control":  playCrashSlowControl,
	"crash-event-control": playCrashEventControl,
	"no-tenants":          playNoTenants,
	"escape":              playEscape,
	"forget":              playForget,
	"line-ends":           playLineEnds,
	"options":             playOptions,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE DIRECTORY")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit status.
func run(name, directory string) int {
	record, err := newRecord(directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standins3:", err)
		return exitFailed
	}
	defer record.close()
	p := &play{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.note("case %s, disruption %t", name, p.trouble)
	go p.watch()
	broken, err := cases[name](p)
	p.stop()
	switch {
	case err != nil:
		record.note("RESULT: could not be played: %v", err)
		return exitFailed
	case broken:
		record.note("RESULT: rule broken")
		return exitBroken
	}
	record.note("RESULT: rule held")
	return exitHeld
}
