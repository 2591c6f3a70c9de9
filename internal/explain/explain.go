// Package explain reconstructs from the log lines of many instances what happened to a
// request, and why.
//
// Usage: read the lines once, then print the timeline of a request, or a summary of how
// all requests ended:
//
//	log, err := explain.Read(os.Stdin)
//	fmt.Print(log.Timeline("5c120ab3"))
//	fmt.Print(log.Summary())
//
// A line is a JSON object as written by internal/logging. Text before the first brace,
// such as a time added by a log collector, is ignored. Other lines are counted and
// skipped.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

const (
	maxLineBytes = 1 << 20
	// contextMargin is how long before the start and after the end of a request events on
	// its backend servers are included in its timeline.
	contextMargin = 4 * time.Second
)

// Line is one parsed log line. Fields include those that Time and Message are taken from.
type Line struct {
	Time    time.Time
	Message string
	Fields  map[string]any
}

// field returns a field as text, "" if the line does not have it.
func (l *Line) field(name string) string {
	value, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// Log holds the lines of any number of instances, sorted by time.
type Log struct {
	Lines   []Line
	Skipped int // input lines that are not log lines
}

// Read reads lines until the input ends. It returns an error if the input fails or a line
// is longer than 1 MiB.
func Read(input io.Reader) (*Log, error) {
	log := &Log{}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			log.Skipped++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	sort.SliceStable(log.Lines, func(i, j int) bool { return log.Lines[i].Time.Before(log.Lines[j].Time) })
	return log, scanner.Err()
}

// parseLine returns false for text without a JSON object that has a time.
func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{Fields: map[string]any{}}
	if json.Unmarshal([]byte(text[start:]), &line.Fields) != nil {
		return Line{}, false
	}
	milliseconds, ok := line.Fields["ts"].(float64)
	if !ok {
		return Line{}, false
	}
	line.Time = time.UnixMicro(int64(milliseconds * 1000)).UTC()
	line.Message = line.field("msg")
	return line, true
}

// Timeline returns the history of a request: its own lines, marked with an asterisk, and
// the lines of any instance around that time that have the address of a backend server
// that it was sent to, or that are about the store, the configuration, placement leases,
// and starts, stops and pauses of instances. A line for each pause of a stream that waited for a
// lost stage follows.
func (l *Log) Timeline(id string) string {
	requestLines := l.requestLines(id)
	if len(requestLines) == 0 {
		return "no line names request " + id + "\n"
	}
	first, last := timeWindow(requestLines)
	addresses := backendAddresses(requestLines)
	var out strings.Builder
	for i := range l.Lines {
		line := &l.Lines[i]
		ofRequest := line.field("request") == id
		if !ofRequest && (line.Time.Before(first) || line.Time.After(last) || !isRelated(line, addresses)) {
			continue
		}
		mark := "  "
		if ofRequest {
			mark = "* "
		}
		out.WriteString(mark + formatLine(line) + "\n")
	}
	out.WriteString(l.pauses(requestLines))
	return out.String()
}

func (l *Log) requestLines(id string) []*Line {
	var lines []*Line
	for i := range l.Lines {
		if l.Lines[i].field("request") == id {
			lines = append(lines, &l.Lines[i])
		}
	}
	return lines
}

// timeWindow returns the period whose events may explain a request, contextMargin included.
// A line is logged at the end of the operation that it describes, so the request began
// before its first line: the start is computed from the durations in the lines.
func timeWindow(requestLines []*Line) (first, last time.Time) {
	first, last = requestLines[0].Time, requestLines[len(requestLines)-1].Time
	for _, line := range requestLines {
		if took, ok := line.Fields["took-ms"].(float64); ok {
			began := line.Time.Add(-time.Duration(took * float64(time.Millisecond)))
			if began.Before(first) {
				first = began
			}
		}
	}
	return first.Add(-contextMargin), last.Add(contextMargin)
}

// backendAddresses returns the addresses of the backend servers that a request was sent to.
func backendAddresses(requestLines []*Line) map[string]bool {
	addresses := map[string]bool{}
	for _, line := range requestLines {
		if address := line.field("address"); address != "" {
			addresses[address] = true
		}
		for _, address := range suspectedBy(line) {
			addresses[address] = true
		}
		for _, hop := range strings.Split(line.field("path"), ",") {
			if address, _, found := strings.Cut(hop, "="); found {
				addresses[address] = true
			}
		}
	}
	return addresses
}

// isRelated reports whether a line belongs to no request and has one of the given
// addresses, or is about the store, the configuration, a placement lease or the state of
// an instance's process.
func isRelated(line *Line, addresses map[string]bool) bool {
	if line.field("request") != "" {
		return false
	}
	switch line.Message {
	case "store lost", "store regained", "configuration", "duty of orders", "duty taken over without the store",
		"leaving", "stopped", "started", "process stood still":
		return true
	}
	return addresses[line.field("address")]
}

// formatLine formats a line with its fields sorted by name.
func formatLine(line *Line) string {
	var names []string
	for name := range line.Fields {
		switch name {
		case "ts", "msg", "level", "instance":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	out := fmt.Sprintf("%s %s: %s", line.Time.Format("15:04:05.000"), line.field("instance"), line.Message)
	for _, name := range names {
		out += fmt.Sprintf(" %s=%q", name, line.field(name))
	}
	return out
}

// Summary returns the number of requests for each outcome and cause, the most frequent
// first.
func (l *Log) Summary() string {
	counts := map[string]int{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != "request ended" {
			continue
		}
		counts[endingOf(line)]++
	}
	var endings []string
	for ending := range counts {
		endings = append(endings, ending)
	}
	sort.Slice(endings, func(i, j int) bool {
		if counts[endings[i]] != counts[endings[j]] {
			return counts[endings[i]] > counts[endings[j]]
		}
		return endings[i] < endings[j]
	})
	var out strings.Builder
	for _, ending := range endings {
		fmt.Fprintf(&out, "%7d %s\n", counts[ending], ending)
	}
	return out.String()
}

// endingOf returns the outcome of a request with its cause, where words with digits are
// masked because they differ from request to request. Streams with a slow first event or a
// long pause are counted separately.
func endingOf(line *Line) string {
	out := line.field("outcome")
	first, hasFirst := line.Fields["first-event-ms"].(float64)
	pause, _ := line.Fields["longest-pause-ms"].(float64)
	switch {
	case hasFirst && first > slowFirstEventMS:
		out += ", first event after more than 500 ms"
	case hasFirst && pause > slowPauseMS:
		out += ", a pause of more than 200 ms"
	}
	if cause := line.field("cause"); cause != "" && cause != "<nil>" {
		out += ": " + maskNumbers(cause)
	}
	return out
}

const (
	slowFirstEventMS = 500.0
	slowPauseMS      = 200.0
)

// maskNumbers replaces each word that contains a digit, such as an address or a time,
// with N.
func maskNumbers(text string) string {
	words := strings.Fields(text)
	for i, word := range words {
		if strings.ContainsAny(word, "0123456789") {
			words[i] = "N"
		}
	}
	return strings.Join(words, " ")
}
