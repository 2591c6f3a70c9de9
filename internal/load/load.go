// Package load drives entry instances with an open loop of requests, verifies
// every answer and reports what it saw.
//
// Usage: describe the load in Options and Run it:
//
//	report, err := load.Run(ctx, load.Options{Callers: addresses, Rate: 50, ...})
//	report.Print(os.Stdout)
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
)

// Options describes a load.
type Options struct {
	// Callers lists the callers' addresses, used in turn.
	Callers []string
	APIKey  string
	Stage   string
	// Rate is the arrivals a second of both kinds together.
	Rate     float64
	Duration time.Duration
	Seed     uint64

	Model        string
	ModelVersion string
	Layers       int
	PromptTokens int
	MaxTokens    int

	// CallShare is the part of arrivals that are calls to Service, the others
	// are chat answers.
	CallShare float64
	Service   string
	CallPath  string
	// Resend is how often a call that was not done is sent again under the
	// same key, through the next entry instance.
	Resend int
}

// InvalidError says that an option can't be used.
type InvalidError struct {
	Option string
	Mend   string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("option %s: %s", e.Option, e.Mend)
}

func (o Options) check() error {
	switch {
	case len(o.Callers) == 0:
		return &InvalidError{Option: "callers", Mend: "name at least one address"}
	case o.Rate <= 0:
		return &InvalidError{Option: "rate", Mend: "use a rate above 0"}
	case o.CallShare < 1 && (o.Model == "" || o.Layers < 1):
		return &InvalidError{Option: "model", Mend: "name the model, its version and its layers, so that answers can be verified"}
	case o.CallShare > 0 && o.Service == "":
		return &InvalidError{Option: "service", Mend: "name the service to call"}
	}
	return nil
}

// Run makes arrivals for the duration, waits for all of them to end and
// returns the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	r := newReport()
	g := &generator{options: o, report: r, client: newHTTPClient()}
	var running sync.WaitGroup
	began := time.Now()
	next := began
	for n := 0; next.Sub(began) < o.Duration && ctx.Err() == nil; n++ {
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
		}
		arrival := arrival{number: n, due: next, seed: random.Uint64(), call: random.Float64() < o.CallShare}
		running.Add(1)
		go func() {
			defer running.Done()
			g.serve(ctx, arrival)
		}()
		next = next.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
	}
	running.Wait()
	r.Took = time.Since(began)
	return r, nil
}

type arrival struct {
	number int
	// due is when the request should start. Its times count from here, so that
	// a slow start of the load tool shows as a slow answer.
	due  time.Time
	seed uint64
	call bool
}

type generator struct {
	options Options
	report  *Report
	client  *httpClient
}

func (g *generator) address(n int) string {
	return g.options.Callers[n%len(g.options.Callers)]
}

func (g *generator) serve(ctx context.Context, a arrival) {
	if a.call {
		g.call(ctx, a)
		return
	}
	g.chat(ctx, a)
}

// prompt returns words that no other arrival uses.
func (g *generator) prompt(a arrival) string {
	random := rand.New(rand.NewPCG(a.seed, 0))
	text := ""
	for range g.options.PromptTokens {
		text += fmt.Sprintf("w%x ", random.Uint32())
	}
	return text
}

func (g *generator) chat(ctx context.Context, a arrival) {
	o := g.options
	prompt := g.prompt(a)
	want := hashmodel.Answer(o.ModelVersion, o.Layers, hashmodel.Tokenize(prompt), o.MaxTokens)
	seen := 0
	wrong := false
	last := time.Time{}
	err := g.client.stream(ctx, g.address(a.number), o, prompt, func(text string) {
		now := time.Now()
		if seen == 0 {
			g.report.firstToken(now.Sub(a.due))
		} else {
			g.report.between(now.Sub(last))
		}
		last = now
		if seen >= len(want) || text != hashmodel.Text(want[seen]) {
			wrong = true
		}
		seen++
	})
	var problem *ProblemError
	switch {
	case wrong:
		g.report.ended(AnswerWrong)
	case err == nil && seen == len(want):
		g.report.ended(AnswerWhole)
		g.report.answer(time.Since(a.due))
	case err == nil:
		g.report.ended(AnswerShort)
	case errors.As(err, &problem):
		g.report.problem(problem.Code)
		g.report.ended(AnswerRefused)
	default:
		g.report.problem("connection")
		g.report.ended(AnswerCut)
	}
}

// Ask asks one question and returns the text of the answer after verifying
// every token. Refusals are tried again at the next entry instance until ctx
// ends.
func Ask(ctx context.Context, o Options, prompt string) (string, error) {
	client := newHTTPClient()
	want := ""
	for _, t := range hashmodel.Answer(o.ModelVersion, o.Layers, hashmodel.Tokenize(prompt), o.MaxTokens) {
		want += hashmodel.Text(t)
	}
	for n := 0; ; n++ {
		got := ""
		err := client.stream(ctx, o.Callers[n%len(o.Callers)], o, prompt, func(text string) { got += text })
		var refused *ProblemError
		switch {
		case err == nil && got == want:
			return got, nil
		case err == nil:
			return "", fmt.Errorf("wrong answer %q, want %q", got, want)
		case !errors.As(err, &refused) || got != "":
			return "", err
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-time.After(resendPause):
		}
	}
}

// Refusal asks one question and returns the code of the problem that it ends
// with, empty for an answer.
func Refusal(ctx context.Context, o Options, prompt string) string {
	err := newHTTPClient().stream(ctx, o.Callers[0], o, prompt, func(string) {})
	var refused *ProblemError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &refused):
		return refused.Code
	}
	return "cut"
}

// Stream asks one question through the first entry instance and calls token
// for each token. It returns nil only for a whole answer.
func Stream(ctx context.Context, o Options, prompt string, token func(string)) error {
	return newHTTPClient().stream(ctx, o.Callers[0], o, prompt, token)
}
