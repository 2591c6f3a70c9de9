// Command mulberryhead runs an entry instance or a router instance, and provides the
// operators' commands.
//
// Usage:
//
//	mulberryhead run --settings entry.toml
//	mulberryhead route --metrics-port 9464
//	mulberryhead check --document bench.toml --settings entry.toml
//	mulberryhead publish --admin 127.0.0.1:8081 --document bench.toml
//	mulberryhead promote --admin 127.0.0.1:8081 --environment bench
//	mulberryhead status --admin 127.0.0.1:8081
//	mulberryhead key
//	mulberryhead load --callers 127.0.0.1:8080 --model joint-guide --layers 12
//	mulberryhead explain --request ID entry.log
//	mulberryhead experiment placement
//	mulberryhead version
//
// It exits with 0 on success, 1 if the command failed, and 2 if the command line,
// the settings or a document is invalid. Options of load that parse but are invalid,
// such as a missing model, give 1.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"mulberryhead.org/mulberryhead/internal/tomlpos"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type commands struct {
	Run        runCommand        `command:"run" description:"run an entry instance until SIGTERM"`
	Route      routeCommand      `command:"route" description:"run an instance on the users' platform until SIGTERM"`
	Explain    explainCommand    `command:"explain" description:"tell from log lines what became of a request"`
	Check      checkCommand      `command:"check" description:"check settings and documents without publishing"`
	Publish    publishCommand    `command:"publish" description:"put a document into trial"`
	Promote    promoteCommand    `command:"promote" description:"put the document in trial into production"`
	Status     statusCommand     `command:"status" description:"show what is in force on one or more instances"`
	Key        keyCommand        `command:"key" description:"make a random key and the hash that a document lists"`
	Load       loadCommand       `command:"load" description:"load entry instances and verify every answer"`
	Experiment experimentCommand `command:"experiment" description:"measure decisions against bounds and baselines, in this process"`
	Version    versionCommand    `command:"version" description:"print the version"`
}

func main() {
	parser := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "mulberryhead routes pipelines that run language models and plain services."
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var usage *flags.Error
	var problems *tomlpos.ProblemsError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &usage), errors.As(err, &problems), isSettingsError(err):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "mulberryhead:", err)
	return exitFailed
}
