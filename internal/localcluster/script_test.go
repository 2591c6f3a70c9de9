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

// TestScripts runs each script of testdata against a deployment of its own.
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

// script is a run of one file. Each line is a command and its arguments.
type script struct {
	t       *testing.T
	ctx     context.Context
	cluster *Cluster
	loads   map[string]chan *load.Report
	reports map[string]*load.Report
	keys    map[string]string
	told    map[string]string
	version string
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
		s.command(line)
		if t.Failed() {
			t.Fatalf("%s:%d failed", file, number)
		}
	}
}

// startScript starts a deployment with a document in production.
func startScript(ctx context.Context, t *testing.T, binaries string) *script {
	t.Helper()
	cluster, err := Start(ctx, TwoZones(binaries, t.TempDir()))
	assert.NilError(t, err)
	s := &script{
		t: t, ctx: ctx, cluster: cluster, loads: map[string]chan *load.Report{},
		version: ModelVersion, reports: map[string]*load.Report{}, keys: map[string]string{}, told: map[string]string{},
	}
	s.publish("entry-a1", "ok")
	s.promote("entry-a1", "ok")
	s.inForce("2")
	s.ask("entry-a1")
	s.ask("entry-b1")
	return s
}

// close stops the deployment, and shows its alarms when the test has failed.
func (s *script) close() {
	if s.t.Failed() {
		for _, e := range s.cluster.Entries {
			s.t.Logf("%s:\n%s", e.Name, alarming(e.Output()))
		}
	}
	_ = s.cluster.Stop()
}

// alarming keeps the log lines above the level info.
func alarming(output string) string {
	var kept []string
	for _, line := range strings.Split(output, "\n") {
		if !strings.HasPrefix(line, `{"level":"info"`) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

func (s *script) command(line string) {
	name, rest, _ := strings.Cut(line, " ")
	arguments := strings.Fields(rest)
	switch name {
	case "publish":
		s.publish(arguments[0], arguments[1])
	case "promote":
		s.promote(arguments[0], arguments[1])
	case "race":
		s.race(arguments)
	case "in-force":
		s.inForce(arguments[0])
	case "ask":
		s.ask(arguments[0])
	case "load":
		s.load(arguments[0], arguments[1:])
	case "wait":
		s.wait(arguments[0], arguments[1:])
	case "book":
		s.book(arguments[0], arguments[1], arguments[2])
	case "ledger":
		s.ledger()
	case "faults":
		s.faults(arguments[0], strings.TrimSpace(strings.TrimPrefix(rest, arguments[0])))
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
		assert.NilError(s.t, s.cluster.Unlist(s.ctx, arguments[0]))
	case "replace":
		s.replace(arguments[0])
	case "version":
		s.version = arguments[0]
	case "loaded":
		s.loaded()
	case "engines":
		for _, id := range arguments {
			assert.NilError(s.t, s.cluster.StartEngine(s.ctx, Engine{ID: id, Zone: "zone-a", First: 0, End: 6, BatchCost: time.Millisecond}))
		}
	case "poison":
		s.poison(arguments[0], arguments[1])
	case "standing":
		s.standing(arguments[0], arguments[1:])
	case "ready":
		s.ready(arguments[0], arguments[1])
	case "sleep":
		pause, err := time.ParseDuration(arguments[0])
		assert.NilError(s.t, err)
		time.Sleep(pause)
	default:
		s.t.Fatalf("unknown command %q", name)
	}
}

func (s *script) entry(id string) *Entry {
	// A replaced instance stands later in the list.
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
		return s.cluster.platform
	}
	return s.entry(id).Process
}

func (s *script) publish(id, want string) {
	_, err := s.entry(id).Admin().Publish(s.ctx, operator.PublishRequest{Environment: Environment, ID: uuid.New(), Body: Document(s.version)})
	s.verdict(err, want)
}

func (s *script) promote(id, want string) {
	_, err := s.entry(id).Admin().Promote(s.ctx, operator.PublishRequest{Environment: Environment, ID: uuid.New()})
	s.verdict(err, want)
}

func (s *script) verdict(err error, want string) {
	got := "ok"
	var refused *operator.APIError
	if errors.As(err, &refused) {
		got = refused.Code
	} else {
		assert.NilError(s.t, err)
	}
	assert.Assert(s.t, slices.Contains(strings.Split(want, "|"), got), "got %s, want %s", got, want)
}

// race publishes through several instances at once and checks that each is
// told the truth about who won.
func (s *script) race(ids []string) {
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
	won := 0
	for range ids {
		r := <-results
		var refused *operator.APIError
		if r.err == nil {
			won++
			continue
		}
		assert.Assert(s.t, errors.As(r.err, &refused), "%v", r.err)
		assert.Equal(s.t, refused.Code, "stale-base")
		assert.Assert(s.t, refused.Winner != nil)
	}
	assert.Assert(s.t, won >= 1)
}

// inForce waits until every running instance applies a version at least as
// great.
func (s *script) inForce(count string) {
	want, err := strconv.Atoi(count)
	assert.NilError(s.t, err)
	for _, e := range s.cluster.Entries {
		if !e.Running() {
			continue
		}
		assert.NilError(s.t, Wait(s.ctx, "documents in force on "+e.Name, func() bool {
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

// load starts arrivals in the background: load NAME key=value...
func (s *script) load(name string, arguments []string) {
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

// wait ends a load and checks it: wait NAME all-whole | none-wrong.
func (s *script) wait(name string, checks []string) {
	report := <-s.loads[name]
	assert.Assert(s.t, report != nil)
	s.reports[name] = report
	for key, outcome := range report.Outcomes() {
		s.told[key] = outcome
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

// book makes a booking under a named key and checks its outcome.
func (s *script) book(name, id, want string) {
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
	s.told[key] = outcome
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

// ledger compares what really ran with what callers were told last.
func (s *script) ledger() {
	entries, err := s.cluster.Ledger(s.ctx)
	assert.NilError(s.t, err)
	ran := map[string]int{}
	for _, e := range entries {
		ran[e.Key]++
	}
	for key, times := range ran {
		assert.Assert(s.t, times <= 1, "key %s ran %d times", key, times)
	}
	for key, outcome := range s.told {
		switch outcome {
		case "done":
			assert.Equal(s.t, ran[key], 1, "key %s was told done", key)
		case "not-run":
			assert.Equal(s.t, ran[key], 0, "key %s was told not-run", key)
		}
	}
	s.t.Logf("ledger: %d keys ran, %d keys told", len(ran), len(s.told))
}

func (s *script) faults(id, switches string) {
	var parsed map[string]any
	assert.NilError(s.t, json.Unmarshal([]byte(switches), &parsed))
	address, err := s.process(id).Address(s.ctx, "on")
	assert.NilError(s.t, err)
	assert.NilError(s.t, s.cluster.Faults(s.ctx, address, parsed))
}

func (s *script) trim(stream, before string) {
	assert.NilError(s.t, s.cluster.send(s.ctx, http.MethodPost, "http://"+s.cluster.Platform+"/trim/"+stream+"/"+before, nil, nil))
}

// replace starts an instance under the id of one that has ended.
func (s *script) replace(id string) {
	e, err := s.cluster.StartEntry(s.ctx, s.entry(id).Member)
	assert.NilError(s.t, err)
	_ = e
}

// loaded waits until every engine runs the version that documents name.
func (s *script) loaded() {
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

// poison sends the request that crashes engines and checks its final answer.
func (s *script) poison(id, want string) {
	code := load.Refusal(s.ctx, s.options(s.entry(id).Callers), "this is poison indeed")
	assert.Assert(s.t, slices.Contains(strings.Split(want, "|"), code), "got %q, want %s", code, want)
}

// standing checks how many of some engines still run.
func (s *script) standing(want string, ids []string) {
	running := 0
	for _, id := range ids {
		if s.process(id).Running() {
			running++
		}
	}
	assert.Equal(s.t, strconv.Itoa(running), want)
}

// ready checks that an instance becomes ready, or that it does not.
func (s *script) ready(id, want string) {
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
