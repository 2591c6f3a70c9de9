// Command standins4 plays the scripted cases of the third review. It starts instances of the router as
// separate processes, with a store, backend servers and clients of its own beside them, and writes what was
// sent, answered and run to a record.
//
// Usage, from the root of the repository, after review/build-3.sh:
//
//	target/review-3 truncated --record review/11/record.txt [--calm]
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// options are common to all cases.
type options struct {
	Binary string `long:"binary" default:"target/mulberryhead" description:"the router"`
	Record string `long:"record" required:"true" description:"file for the record"`
	Calm   bool   `long:"calm" description:"without the disruption"`
	Logs   string `long:"logs" description:"folder for the logs of the instances, none by default"`
}

// play is one case. It returns whether the rule was broken; an error means that the case could not run.
type play func(o *options, r *record) (broken bool, err error)

var plays = map[string]play{
	"separated": playSeparated,
	"emptied":   playEmptied,
	"truncated": playTruncated,
}

func main() { os.Exit(execute()) }

func execute() int {
	if server := os.Getenv(serveVariable); server != "" {
		fmt.Fprintln(os.Stderr, serveAlone(server))
		return exitNotRun
	}
	var o options
	rest, err := flags.NewParser(&o, flags.Default).Parse()
	if err != nil || len(rest) != 1 || plays[rest[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE --record FILE [--calm]")
		return exitNotRun
	}
	r, err := newRecord(o.Record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stopOnSignal()
	broken, err := plays[rest[0]](&o, r)
	killAll()
	status, verdict := exitHeld, "the rule held"
	switch {
	case err != nil:
		status, verdict = exitNotRun, "could not run: "+err.Error()
	case broken:
		status, verdict = exitBroken, "THE RULE WAS BROKEN"
	}
	r.add("%s", verdict)
	if err := errors.Join(r.close()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println(verdict)
	return status
}

// stopOnSignal ends the instances if this process is told to end.
func stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		killAll()
		os.Exit(exitNotRun)
	}()
}
