//go:build process

package localcluster

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/load"
	"mulberryhead.org/mulberryhead/internal/operator"
)

// TestScripts runs each script in testdata against its own deployment.
func TestScripts(t *testing.T) {
	binaries := os.Getenv("MULBERRYHEAD_BINARIES")
	assert.Assert(t, binaries != "", "set MULBERRYHEAD_BINARIES, or run make process")
	files, err := filepath.Glob("testdata/*.script")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) {
			runScript(t, binaries, file)
		})
	}
}

// script is the state of one run of a script file. Each line of the file is a
// command with its arguments; runCommand lists the commands.
type script struct {
	t       *testing.T
	ctx     context.Context
	cluster *Cluster
	loads   map[string]chan *load.Report
	reports map[string]*load.Report
	keys    map[string]string
	// outcomes is the last reported outcome of each call by idempotency key.
	outcomes map[string]string
	version  string
}

func runScript(t *testing.T, binaries, file string) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	s := startScript(ctx, t, binaries)
	defer s.close()
	source, err := os.Open(file)
	assert.NilError(t, err)
	defer func() { _ = source.Close() }()
	lines := bufio.NewScanner(source)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		t.Logf("%s:%d: %s", file, number, line)
		s.runCommand(line)
		if t.Failed() {
			t.Fatalf("%s:%d failed", file, number)
		}
	}
}

// startScript starts a deployment, promotes a document to production and waits
// until both zones answer.
func startScript(ctx context.Context, t *testing.T, binaries string) *script {
	t.Helper()
	cluster, err := Start(ctx, TwoZones(binaries, t.TempDir()))
	assert.NilError(t, err)
	s := &script{
		t: t, ctx: ctx, cluster: cluster, loads: map[string]chan *load.Report{},
		version: ModelVersion, reports: map[string]*load.Report{}, keys: map[string]string{}, outcomes: map[string]string{},
	}
	s.publish("entry-a1", "ok")
	s.promote("entry-a1", "ok")
	s.waitApplied("2")
	s.ask("entry-a1")
	s.ask("entry-b1")
	return s
}

// close stops the deployment. If the test has failed, it logs the output of the
// entry instances above level info.
func (s *script) close() {
	if s.t.Failed() {
		for _, e := range s.cluster.Entries {
			s.t.Logf("%s:\n%s", e.Name, aboveInfo(e.Output()))
		}
	}
	_ = s.cluster.Stop()
}

// aboveInfo returns the log lines that are not of level info.
func aboveInfo(output string) string {
	var lines []string
	for _, line := range strings.Split(output, "\n") {
		if !strings.HasPrefix(line, `{"level":"info"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

func (s *script) runCommand(line string) {
	name, rest, _ := strings.Cut(line, " ")
	arguments := strings.Fields(rest)
	switch name {
	case "publish":
		s.publish(arguments[0], arguments[1])
	case "promote":
		s.promote(arguments[0], arguments[1])
	case "race":
		s.racePublish(arguments)
	case "in-force":
		s.waitApplied(arguments[0])
	case "ask":
		s.ask(arguments[0])
	case "load":
		s.startLoad(arguments[0], arguments[1:])
	case "wait":
		s.waitLoad(arguments[0], arguments[1:])
	case "book":
		s.makeBooking(arguments[0], arguments[1], arguments[2])
	case "ledger":
		s.checkLedger()
	case "faults":
		s.setFaults(arguments[0], strings.TrimSpace(strings.TrimPrefix(rest, arguments[0])))
	case "trim":
		s.trim(arguments[0], arguments[1])
	case "kill":
		s.process(arguments[0]).Kill()
	case "freeze":
		assert.NilError(s.t, s.process(arguments[0]).Signal(syscall.SIGSTOP))
	case "thaw":
		assert.NilError(s.t, s.process(arguments[0]).Signal(syscall.SIGCONT))
	case "stop":
		assert.NilError(s.t, s.process(arguments[0]).Stop())
	case "unlist":
		assert.NilError(s.t, s.cluster.Deregister(s.ctx, arguments[0]))
	case "replace":
		s.restartEntry(arguments[0])
	case "version":
		s.version = arguments[0]
	case "loaded":
		s.waitLoaded()
	case "engines":
		for _, id := range arguments {
			assert.NilError(s.t, s.cluster.StartEngine(s.ctx, Engine{ID: id, Zone: "zone-a", First: 0, End: 6, BatchCost: time.Millisecond}))
		}
	case "poison":
		s.sendCrashRequest(arguments[0], arguments[1])
	case "standing":
		s.checkRunning(arguments[0], arguments[1:])
	case "ready":
		s.checkReady(arguments[0], arguments[1])
	case "sleep":
		duration, err := time.ParseDuration(arguments[0])
		assert.NilError(s.t, err)
		time.Sleep(duration)
	default:
		s.t.Fatalf("unknown command %q", name)
	}
}

func (s *script) entry(id string) *Entry {
	// A restarted instance is appended to the list, so the last match is the current one.
	for _, e := range slices.Backward(s.cluster.Entries) {
		if e.ID == id {
			return e
		}
	}
	s.t.Fatalf("no entry instance %q", id)
	return nil
}

func (s *script) process(id string) *Process {
	if p, ok := s.cluster.Engines[id]; ok {
		return p
	}
	if p, ok := s.cluster.Services[id]; ok {
		return p
	}
	if id == "platform" {
		return s.cluster.platformProcess
	}
	return s.entry(id).Process
}

func (s *script) publish(id, want string) {
	_, err := s.entry(id).Admin().Publish(s.ctx, operator.PublishRequest{Environment: Environment, ID: uuid.New(), Body: Document(s.version)})
	s.checkCode(err, want)
}

func (s *script) promote(id, want string) {
	_, err := s.entry(id).Admin().Promote(s.ctx, operator.PublishRequest{Environment: Environment, ID: uuid.New()})
	s.checkCode(err, want)
}

// checkCode checks the result of an operator request against a list of accepted
// codes, separated by |; ok means success.
func (s *script) checkCode(err error, want string) {
	got := "ok"
	var apiErr *operator.APIError
	if errors.As(err, &apiErr) {
		got = apiErr.Code
	} else {
		assert.NilError(s.t, err)
	}
	assert.Assert(s.t, slices.Contains(strings.Split(want, "|"), got), "got %s, want %s", got, want)
}

// racePublish publishes through several instances concurrently. At least one
// publish must succeed; each rejected one must report stale-base and the winner.
func (s *script) racePublish(ids []string) {
	type result struct {
		published operator.PublishResult
		err       error
	}
	results := make(chan result, len(ids))
	for i, id := range ids {
		body := append(Document(s.version), fmt.Appendf(nil, "\n# operator %d %s\n", i, uuid.NewString())...)
		go func() {
			p, err := s.entry(id).Admin().Publish(s.ctx, operator.PublishRequest{Environment: Environment, ID: uuid.New(), Body: body})
			results <- result{p, err}
		}()
	}
	accepted := 0
	for range ids {
		r := <-results
		var apiErr *operator.APIError
		if r.err == nil {
			accepted++
			continue
		}
		assert.Assert(s.t, errors.As(r.err, &apiErr), "%v", r.err)
		assert.Equal(s.t, apiErr.Code, "stale-base")
		assert.Assert(s.t, apiErr.Winner != nil)
	}
	assert.Assert(s.t, accepted >= 1)
}

// waitApplied waits until every running instance reports at least count applied
// documents.
func (s *script) waitApplied(count string) {
	want, err := strconv.Atoi(count)
	assert.NilError(s.t, err)
	for _, e := range s.cluster.Entries {
		if !e.Running() {
			continue
		}
		assert.NilError(s.t, Wait(s.ctx, "documents applied on "+e.Name, func() bool {
			status, err := e.Admin().Status(s.ctx)
			applied := 0
			for _, d := range status.Documents {
				if d.Applied {
					applied++
				}
			}
			return err == nil && applied >= want
		}))
	}
}

func (s *script) options(callers ...string) load.Options {
	return load.Options{
		Callers: callers, APIKey: APIKey, Model: Model, ModelVersion: s.version, Layers: Layers,
		PromptTokens: 32, MaxTokens: 24, Service: ServiceName, CallPath: "/bookings", Resend: 40, Seed: 1,
	}
}

func (s *script) ask(id string) {
	ctx, cancel := context.WithTimeout(s.ctx, 15*time.Second)
	defer cancel()
	_, err := load.Ask(ctx, s.options(s.entry(id).Callers), "what flux suits a steel hinge")
	assert.NilError(s.t, err)
}

// startLoad starts a load in the background: load NAME key=value...
func (s *script) startLoad(name string, arguments []string) {
	o := s.options()
	for _, e := range s.cluster.Entries {
		if e.Running() {
			o.Callers = append(o.Callers, e.Callers)
		}
	}
	for _, argument := range arguments {
		key, value, _ := strings.Cut(argument, "=")
		var err error
		switch key {
		case "rate":
			o.Rate, err = strconv.ParseFloat(value, 64)
		case "for":
			o.Duration, err = time.ParseDuration(value)
		case "calls":
			o.CallShare, err = strconv.ParseFloat(value, 64)
		case "tokens":
			o.MaxTokens, err = strconv.Atoi(value)
		case "via":
			o.Callers = []string{s.entry(value).Callers}
		default:
			s.t.Fatalf("unknown option %q", key)
		}
		assert.NilError(s.t, err)
	}
	done := make(chan *load.Report, 1)
	s.loads[name] = done
	go func() {
		report, err := load.Run(s.ctx, o)
		if err != nil {
			s.t.Error(err)
		}
		done <- report
	}()
}

// waitLoad waits for the end of a load and checks its report: wait NAME
// [all-whole] [all-done]. Wrong and short answers always fail the test.
func (s *script) waitLoad(name string, checks []string) {
	report := <-s.loads[name]
	assert.Assert(s.t, report != nil)
	s.reports[name] = report
	for key, outcome := range report.Outcomes() {
		s.outcomes[key] = outcome
	}
	text := &strings.Builder{}
	assert.NilError(s.t, report.WriteText(text))
	s.t.Log(text.String())
	assert.Equal(s.t, report.Ended(load.AnswerWrong), 0)
	assert.Equal(s.t, report.Ended(load.AnswerShort), 0)
	for _, check := range checks {
		switch check {
		case "all-whole":
			assert.Equal(s.t, report.Ended(load.AnswerRefused)+report.Ended(load.AnswerCut), 0)
		case "all-done":
			for key, outcome := range report.Outcomes() {
				assert.Equal(s.t, outcome, "done", "key %s", key)
			}
		default:
			s.t.Fatalf("unknown check %q", check)
		}
	}
}

// makeBooking makes a booking and checks the reported outcome. The same name
// reuses the idempotency key; "bound:ID" uses a key issued by instance ID.
func (s *script) makeBooking(name, id, want string) {
	key, ok := s.keys[name]
	if !ok {
		key = uuid.Must(uuid.NewV7()).String()
		if bound, found := strings.CutPrefix(name, "bound:"); found {
			key = s.issueKey(bound)
		}
		s.keys[name] = key
	}
	outcome := load.Book(s.ctx, s.options(s.entry(id).Callers), key)
	assert.Assert(s.t, slices.Contains(strings.Split(want, "|"), outcome), "got %q, want %s", outcome, want)
	s.outcomes[key] = outcome
}

func (s *script) issueKey(id string) string {
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.entry(id).Callers+"/v1/keys", nil)
	assert.NilError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+APIKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	var issued struct {
		Key string `json:"key"`
	}
	assert.NilError(s.t, json.NewDecoder(response.Body).Decode(&issued))
	return issued.Key
}

// checkLedger checks that no call was executed twice and that the executed calls
// match the last outcomes reported to callers.
func (s *script) checkLedger() {
	entries, err := s.cluster.Ledger(s.ctx)
	assert.NilError(s.t, err)
	ran := map[string]int{}
	for _, e := range entries {
		ran[e.Key]++
	}
	for key, calls := range ran {
		assert.Assert(s.t, calls <= 1, "key %s ran %d times", key, calls)
	}
	for key, outcome := range s.outcomes {
		switch outcome {
		case "done":
			assert.Equal(s.t, ran[key], 1, "key %s was reported done", key)
		case "not-run":
			assert.Equal(s.t, ran[key], 0, "key %s was reported not-run", key)
		}
	}
	s.t.Logf("ledger: %d keys executed, %d keys reported", len(ran), len(s.outcomes))
}

func (s *script) setFaults(id, switches string) {
	var parsed map[string]any
	assert.NilError(s.t, json.Unmarshal([]byte(switches), &parsed))
	address, err := s.process(id).Address(s.ctx, "on")
	assert.NilError(s.t, err)
	assert.NilError(s.t, s.cluster.SetFaults(s.ctx, address, parsed))
}

func (s *script) trim(stream, before string) {
	assert.NilError(s.t, s.cluster.send(s.ctx, http.MethodPost, "http://"+s.cluster.Platform+"/trim/"+stream+"/"+before, nil, nil))
}

// restartEntry starts an instance with the id of one that has exited.
func (s *script) restartEntry(id string) {
	e, err := s.cluster.StartEntry(s.ctx, s.entry(id).Member)
	assert.NilError(s.t, err)
	_ = e
}

// waitLoaded waits until entry-a1 and entry-b1 report that all runners have loaded
// the model version last set by the command version, or ModelVersion if there was none.
func (s *script) waitLoaded() {
	for _, id := range []string{"entry-a1", "entry-b1"} {
		e := s.entry(id)
		assert.NilError(s.t, Wait(s.ctx, "engines load "+s.version, func() bool {
			status, err := e.Admin().Status(s.ctx)
			for _, r := range status.Runners {
				if r.Version != s.version {
					return false
				}
			}
			return err == nil
		}))
	}
}

// sendCrashRequest sends the crash-inducing request and checks the code of its
// error response.
func (s *script) sendCrashRequest(id, want string) {
	code := load.ErrorCode(s.ctx, s.options(s.entry(id).Callers), "this is poison indeed")
	assert.Assert(s.t, slices.Contains(strings.Split(want, "|"), code), "got %q, want %s", code, want)
}

// checkRunning checks how many of the given processes are still running.
func (s *script) checkRunning(want string, ids []string) {
	running := 0
	for _, id := range ids {
		if s.process(id).Running() {
			running++
		}
	}
	assert.Equal(s.t, strconv.Itoa(running), want)
}

// checkReady checks that an instance becomes ready, or that it stays not ready
// for 1 s.
func (s *script) checkReady(id, want string) {
	e := s.entry(id)
	if want == "yes" {
		assert.NilError(s.t, s.cluster.WaitReady(s.ctx, e))
		return
	}
	for range 20 {
		status, err := e.Admin().Status(s.ctx)
		assert.Assert(s.t, err != nil || !status.Ready, "%s is ready", id)
		time.Sleep(50 * time.Millisecond)
	}
}
