// Package explain tells from the log lines of many instances what became of a
// request, and why.
//
// Usage: read the lines once and ask for a request, or for an account of how all of
// them ended:
//
//	log, err := explain.Read(os.Stdin)
//	fmt.Print(log.Timeline("5c120ab3"))
//	fmt.Print(log.Summary())
//
// A line is a JSON object as internal/logging writes it; what stands before the
// first brace, such as the time that a collector adds, is left out. Lines that are no
// such object are counted and skipped.
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
	longestLine = 1 << 20 // bytes
	// around is how long before a request began, and after it ended, what happened
	// to its backend servers may explain it.
	around = 4 * time.Second
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Message string
	Fields  map[string]any
}

// text returns a field, "" where the line has none.
func (l *Line) text(name string) string {
	value, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// Log is the lines of some instances, in the order of their times.
type Log struct {
	Lines   []Line
	Skipped int // lines that are no log lines
}

// Read reads lines until the input ends. The error is that of the input.
func Read(input io.Reader) (*Log, error) {
	log := &Log{}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 64<<10), longestLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			log.Skipped++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	sort.SliceStable(log.Lines, func(i, j int) bool { return log.Lines[i].Time.Before(log.Lines[j].Time) })
	return log, scanner.Err()
}

func parse(text string) (Line, bool) {
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
	line.Message = line.text("msg")
	return line, true
}

// Timeline returns the history of a request: its own lines, and what instances came
// to believe around it of the backend servers that it was sent to.
func (l *Log) Timeline(id string) string {
	own := l.own(id)
	if len(own) == 0 {
		return "no line names request " + id + "\n"
	}
	first, last := span(own)
	addresses := addressesOf(own)
	var out strings.Builder
	for i := range l.Lines {
		line := &l.Lines[i]
		mine := line.text("request") == id
		if !mine && (line.Time.Before(first) || line.Time.After(last) || !concerns(line, addresses)) {
			continue
		}
		mark := "  "
		if mine {
			mark = "* "
		}
		out.WriteString(mark + format(line) + "\n")
	}
	return out.String()
}

func (l *Log) own(id string) []*Line {
	var own []*Line
	for i := range l.Lines {
		if l.Lines[i].text("request") == id {
			own = append(own, &l.Lines[i])
		}
	}
	return own
}

// span is the time in which something may explain a request. A request's lines are
// written at the ends of what they tell of, so that it began before the first.
func span(own []*Line) (first, last time.Time) {
	first, last = own[0].Time, own[len(own)-1].Time
	for _, line := range own {
		if took, ok := line.Fields["took-ms"].(float64); ok {
			began := line.Time.Add(-time.Duration(took * float64(time.Millisecond)))
			if began.Before(first) {
				first = began
			}
		}
	}
	return first.Add(-around), last.Add(around)
}

// addressesOf returns the backend servers that a request was sent to.
func addressesOf(own []*Line) map[string]bool {
	addresses := map[string]bool{}
	for _, line := range own {
		if address := line.text("address"); address != "" {
			addresses[address] = true
		}
		for _, hop := range strings.Split(line.text("path"), ",") {
			if address, _, found := strings.Cut(hop, "="); found {
				addresses[address] = true
			}
		}
	}
	return addresses
}

// concerns tells whether a line is about a backend server of the request, the store
// or the configuration, and not about another request.
func concerns(line *Line, addresses map[string]bool) bool {
	if line.text("request") != "" {
		return false
	}
	switch line.Message {
	case "store lost", "store regained", "configuration", "duty of orders", "duty taken over without the store",
		"leaving", "stopped", "started", "process stood still":
		return true
	}
	return addresses[line.text("address")]
}

// format writes a line with its fields in a fixed order.
func format(line *Line) string {
	var names []string
	for name := range line.Fields {
		switch name {
		case "ts", "msg", "level", "instance":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	out := fmt.Sprintf("%s %s: %s", line.Time.Format("15:04:05.000"), line.text("instance"), line.Message)
	for _, name := range names {
		out += fmt.Sprintf(" %s=%q", name, line.text(name))
	}
	return out
}

// Summary returns how requests ended, with the causes, the most frequent first.
func (l *Log) Summary() string {
	counts := map[string]int{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != "request ended" {
			continue
		}
		counts[ending(line)]++
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

// ending is an outcome with its cause, without the numbers that differ from request
// to request. Streams that were whole are told apart by their pauses.
func ending(line *Line) string {
	out := line.text("outcome")
	first, hasFirst := line.Fields["first-event-ms"].(float64)
	pause, _ := line.Fields["longest-pause-ms"].(float64)
	switch {
	case hasFirst && first > slowStart:
		out += ", first event after more than 500 ms"
	case hasFirst && pause > slowPause:
		out += ", a pause of more than 200 ms"
	}
	if cause := line.text("cause"); cause != "" && cause != "<nil>" {
		out += ": " + withoutNumbers(cause)
	}
	return out
}

const (
	slowStart = 500.0 // milliseconds
	slowPause = 200.0 // milliseconds
)

// withoutNumbers replaces words that hold digits, such as addresses and times.
func withoutNumbers(text string) string {
	words := strings.Fields(text)
	for i, word := range words {
		if strings.ContainsAny(word, "0123456789") {
			words[i] = "N"
		}
	}
	return strings.Join(words, " ")
}
