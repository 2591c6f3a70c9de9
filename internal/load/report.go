package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ending is the way in which a chat request ended.
type Ending string

// The endings of a chat request.
const (
	// AnswerWhole is a complete answer, verified to its last token.
	AnswerWhole Ending = "whole"
	// AnswerWrong is an answer with a wrong or surplus token, however it ended.
	AnswerWrong Ending = "wrong"
	// AnswerShort is an answer that ended normally but lacks tokens.
	AnswerShort Ending = "short"
	// AnswerRefused is an error response, possibly after some tokens.
	AnswerRefused Ending = "refused"
	// AnswerCut is a request without a complete, readable response.
	AnswerCut Ending = "cut"
)

const (
	minTimeMicros     = 1
	maxTimeMicros     = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report collects the results of a load. Its methods are safe for concurrent use.
// Took is the time from the first arrival to the end of the last request.
type Report struct {
	Took time.Duration

	mu       sync.Mutex
	endings  map[Ending]int
	problems map[string]int
	outcomes map[string]string
	tokens   int
	times    map[string]*hdrhistogram.Histogram
}

func newReport() *Report {
	return &Report{
		endings: map[Ending]int{}, problems: map[string]int{}, outcomes: map[string]string{},
		times: map[string]*hdrhistogram.Histogram{},
	}
}

func (r *Report) recordTime(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.times[name]
	if !ok {
		h = hdrhistogram.New(minTimeMicros, maxTimeMicros, significantDigits)
		r.times[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), minTimeMicros), maxTimeMicros))
}

func (r *Report) recordFirstToken(d time.Duration) {
	r.recordTime("first-token", d)
	r.countToken()
}

func (r *Report) recordTokenGap(d time.Duration) {
	r.recordTime("between-tokens", d)
	r.countToken()
}

func (r *Report) countToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
}

func (r *Report) recordAnswer(d time.Duration) { r.recordTime("answer", d) }
func (r *Report) recordCall(d time.Duration)   { r.recordTime("call", d) }

func (r *Report) recordEnding(e Ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endings[e]++
}

func (r *Report) recordProblem(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems[code]++
}

func (r *Report) recordOutcome(key, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[key] = outcome
}

// Ended returns the number of chat requests with the given ending.
func (r *Report) Ended(e Ending) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endings[e]
}

// Outcomes returns the last reported outcome of each call by idempotency key,
// unknown where the last attempt received no complete response.
func (r *Report) Outcomes() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcomes := make(map[string]string, len(r.outcomes))
	for key, outcome := range r.outcomes {
		outcomes[key] = outcome
	}
	return outcomes
}

// TokensPerSecond returns the mean rate of received tokens over Took.
func (r *Report) TokensPerSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.tokens) / r.Took.Seconds()
}

type wireTimes struct {
	Count     int64   `json:"count"`
	P50Millis float64 `json:"p50-millis"`
	P95Millis float64 `json:"p95-millis"`
	P99Millis float64 `json:"p99-millis"`
	MaxMillis float64 `json:"max-millis"`
}

type wireReport struct {
	Seconds         float64              `json:"seconds"`
	TokensPerSecond float64              `json:"tokens-per-second"`
	Answers         map[Ending]int       `json:"answers"`
	Outcomes        map[string]int       `json:"outcomes"`
	Problems        map[string]int       `json:"problems"`
	Times           map[string]wireTimes `json:"times"`
}

func (r *Report) toWire() wireReport {
	perSecond := r.TokensPerSecond()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := wireReport{
		Seconds: r.Took.Seconds(), TokensPerSecond: perSecond,
		Answers: r.endings, Outcomes: map[string]int{}, Problems: r.problems, Times: map[string]wireTimes{},
	}
	for _, outcome := range r.outcomes {
		w.Outcomes[outcome]++
	}
	const microsPerMilli = 1000
	for name, h := range r.times {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
		w.Times[name] = wireTimes{
			Count: h.TotalCount(), P50Millis: at(50), P95Millis: at(95), P99Millis: at(99), MaxMillis: float64(h.Max()) / microsPerMilli,
		}
	}
	return w
}

// WriteJSON writes the report as indented JSON, with latencies in milliseconds.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r.toWire())
}

// WriteText writes the report as a table, with latencies in milliseconds.
func (r *Report) WriteText(w io.Writer) error {
	wire := r.toWire()
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format, args...) }
	row("seconds\t%.1f\t\n", wire.Seconds)
	row("tokens/s\t%.0f\t\n", wire.TokensPerSecond)
	for _, e := range []Ending{AnswerWhole, AnswerWrong, AnswerShort, AnswerRefused, AnswerCut} {
		row("answers %s\t%d\t\n", e, wire.Answers[e])
	}
	for _, name := range sortedKeys(wire.Outcomes) {
		row("outcome %s\t%d\t\n", name, wire.Outcomes[name])
	}
	for _, name := range sortedKeys(wire.Problems) {
		row("problem %s\t%d\t\n", name, wire.Problems[name])
	}
	row("ms\tp50\tp95\tp99\tmax\tcount\t\n")
	for _, name := range []string{"first-token", "between-tokens", "answer", "call"} {
		if t, ok := wire.Times[name]; ok {
			row("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t\n", name, t.P50Millis, t.P95Millis, t.P99Millis, t.MaxMillis, t.Count)
		}
	}
	return table.Flush()
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
