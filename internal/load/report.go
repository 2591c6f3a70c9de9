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

// Ending says how a chat answer ended.
type Ending string

// The endings. Only AnswerWhole was verified to its last token.
const (
	AnswerWhole   Ending = "whole"
	AnswerWrong   Ending = "wrong"
	AnswerShort   Ending = "short"
	AnswerRefused Ending = "refused"
	AnswerCut     Ending = "cut"
)

const (
	lowestMicros      = 1
	highestMicros     = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report is what a load saw. Its methods are safe for concurrent use.
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

func (r *Report) record(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.times[name]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
		r.times[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (r *Report) firstToken(d time.Duration) {
	r.record("first-token", d)
	r.countToken()
}

func (r *Report) between(d time.Duration) {
	r.record("between-tokens", d)
	r.countToken()
}

func (r *Report) countToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
}

func (r *Report) answer(d time.Duration) { r.record("answer", d) }
func (r *Report) call(d time.Duration)   { r.record("call", d) }

func (r *Report) ended(e Ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endings[e]++
}

func (r *Report) problem(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems[code]++
}

func (r *Report) outcome(key, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[key] = outcome
}

// Ended returns how many answers ended in a way.
func (r *Report) Ended(e Ending) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endings[e]
}

// Outcomes returns the last outcome that was told for each key.
func (r *Report) Outcomes() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcomes := make(map[string]string, len(r.outcomes))
	for key, outcome := range r.outcomes {
		outcomes[key] = outcome
	}
	return outcomes
}

// TokensPerSecond returns the rate of tokens over the whole load.
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

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r.toWire())
}

// WriteText writes the report for a reader.
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
