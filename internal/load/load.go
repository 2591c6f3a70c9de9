// Package load generates open-loop load on entry instances, verifies every token
// of the chat answers and reports latencies, errors and the outcomes of calls.
//
// Usage: describe the load in Options and pass it to Run:
//
//	report, err := load.Run(ctx, load.Options{Callers: addresses, Rate: 50, ...})
//	err = report.WriteText(os.Stdout)
//
// Ask, ErrorCode, Stream and Book send single requests.
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

// Options configures a load.
type Options struct {
	// Callers lists the addresses at which entry instances serve callers,
	// HOST:PORT. Run and the retries of Ask use them round-robin; the other
	// functions use the first one.
	Callers []string
	APIKey  string
	Stage   string
	// Rate is the mean number of chat requests and calls per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64

	Model        string
	ModelVersion string
	Layers       int
	PromptTokens int
	MaxTokens    int

	// CallShare is the fraction of arrivals, 0 to 1, that are calls to Service;
	// the others are chat requests.
	CallShare float64
	Service   string
	CallPath  string
	// Resend is the maximum number of retries of a call whose outcome is not
	// done. Each retry has the same idempotency key and goes to the next entry
	// instance.
	Resend int
}

// InvalidError is returned by Run for an invalid option. Hint says how to fix it.
type InvalidError struct {
	Option string
	Hint   string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("option %s: %s", e.Option, e.Hint)
}

func (o Options) check() error {
	switch {
	case len(o.Callers) == 0:
		return &InvalidError{Option: "callers", Hint: "name at least one address"}
	case o.Rate <= 0:
		return &InvalidError{Option: "rate", Hint: "use a rate above 0"}
	case o.CallShare < 1 && (o.Model == "" || o.Layers < 1):
		return &InvalidError{Option: "model", Hint: "name the model, its version and its layers, so that answers can be verified"}
	case o.CallShare > 0 && o.Service == "":
		return &InvalidError{Option: "service", Hint: "name the service to call"}
	}
	return nil
}

// Run generates requests with exponentially distributed interarrival times for
// o.Duration or until ctx ends, waits until all of them are complete and returns
// the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	r := newReport()
	g := &generator{options: o, report: r, client: newHTTPClient()}
	var inFlight sync.WaitGroup
	start := time.Now()
	next := start
	for n := 0; next.Sub(start) < o.Duration && ctx.Err() == nil; n++ {
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
		}
		arrival := arrival{number: n, due: next, seed: random.Uint64(), call: random.Float64() < o.CallShare}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			g.runArrival(ctx, arrival)
		}()
		next = next.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
	}
	inFlight.Wait()
	r.Took = time.Since(start)
	return r, nil
}

type arrival struct {
	number int
	// due is the scheduled start of the request. Latencies are measured from
	// here, so that delays of the load generator are not hidden.
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

func (g *generator) runArrival(ctx context.Context, a arrival) {
	if a.call {
		g.call(ctx, a)
		return
	}
	g.chat(ctx, a)
}

// prompt returns PromptTokens random words derived from the arrival's seed, so that
// arrivals share practically no words.
func (g *generator) prompt(a arrival) string {
	random := rand.New(rand.NewPCG(a.seed, 0))
	text := ""
	for range g.options.PromptTokens {
		text += fmt.Sprintf("w%x ", random.Uint32())
	}
	return text
}

// chat requests one chat answer and compares each token with the reference answer.
func (g *generator) chat(ctx context.Context, a arrival) {
	o := g.options
	prompt := g.prompt(a)
	want := hashmodel.Answer(o.ModelVersion, o.Layers, hashmodel.Tokenize(prompt), o.MaxTokens)
	received := 0
	wrong := false
	lastToken := time.Time{}
	err := g.client.stream(ctx, g.address(a.number), o, prompt, func(text string) {
		now := time.Now()
		if received == 0 {
			g.report.recordFirstToken(now.Sub(a.due))
		} else {
			g.report.recordTokenGap(now.Sub(lastToken))
		}
		lastToken = now
		if received >= len(want) || text != hashmodel.Text(want[received]) {
			wrong = true
		}
		received++
	})
	var problemErr *ProblemError
	switch {
	case wrong:
		g.report.recordEnding(AnswerWrong)
	case err == nil && received == len(want):
		g.report.recordEnding(AnswerWhole)
		g.report.recordAnswer(time.Since(a.due))
	case err == nil:
		g.report.recordEnding(AnswerShort)
	case errors.As(err, &problemErr):
		g.report.recordProblem(problemErr.Code)
		g.report.recordEnding(AnswerRefused)
	default:
		g.report.recordProblem("connection")
		g.report.recordEnding(AnswerCut)
	}
}

// Ask sends one prompt and returns the text of the answer after comparing it with
// the reference answer. An error response before the first token is retried at
// the next entry instance until ctx ends; other errors are returned.
func Ask(ctx context.Context, o Options, prompt string) (string, error) {
	client := newHTTPClient()
	want := ""
	for _, t := range hashmodel.Answer(o.ModelVersion, o.Layers, hashmodel.Tokenize(prompt), o.MaxTokens) {
		want += hashmodel.Text(t)
	}
	for n := 0; ; n++ {
		got := ""
		err := client.stream(ctx, o.Callers[n%len(o.Callers)], o, prompt, func(text string) { got += text })
		var problemErr *ProblemError
		switch {
		case err == nil && got == want:
			return got, nil
		case err == nil:
			return "", fmt.Errorf("wrong answer %q, want %q", got, want)
		case !errors.As(err, &problemErr) || got != "":
			return "", err
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-time.After(retryInterval):
		}
	}
}

// ErrorCode sends one prompt through o.Callers[0] and returns the code of the error
// response: empty for a complete answer, "cut" if no complete response was
// received.
func ErrorCode(ctx context.Context, o Options, prompt string) string {
	err := newHTTPClient().stream(ctx, o.Callers[0], o, prompt, func(string) {})
	var problemErr *ProblemError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &problemErr):
		return problemErr.Code
	}
	return "cut"
}

// Stream sends one prompt through o.Callers[0] and calls onToken for each token.
// It returns nil only if the stream ended with [DONE]. It does not verify tokens.
func Stream(ctx context.Context, o Options, prompt string, onToken func(string)) error {
	return newHTTPClient().stream(ctx, o.Callers[0], o, prompt, onToken)
}
