package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// pauses returns one line for each pause of a stream that waited for a lost stage and went on: when
// it became silent, when each stage was suspected, when it was decided to move the stream, when it
// was moved and when the next event came, all counted from the event before.
func (l *Log) pauses(requestLines []*Line) string {
	var out strings.Builder
	var stalled *Line
	for _, line := range requestLines {
		switch line.Message {
		case "stream stalled":
			if stalled == nil {
				stalled = line
			}
		case "stream continued":
			out.WriteString(l.formatPause(line, stalled))
			stalled = nil
		}
	}
	return out.String()
}

// formatPause describes the pause that a line "stream continued" ends. stalled is the line of its
// stall, nil if there is none.
func (l *Log) formatPause(continued, stalled *Line) string {
	pause := duration(continued, "pause-ms")
	last := continued.Time.Add(-pause)
	at := func(when time.Time) string { return fmt.Sprintf("+%d ms", when.Sub(last).Milliseconds()) }
	out := fmt.Sprintf("pause of %d ms after the event of %s:", pause.Milliseconds(), last.Format("15:04:05.000"))
	if stalled != nil {
		out += " silent " + at(last.Add(duration(stalled, "threshold-ms"))) + ","
		suspected := suspectedBy(stalled)
		for i := range l.Lines {
			line := &l.Lines[i]
			if line.field("instance") != continued.field("instance") || line.Time.Before(last) || line.Time.After(continued.Time) || !slices.Contains(suspected, line.field("address")) {
				continue
			}
			switch line.Message {
			case "stage suspected", "backend server ended":
				out += fmt.Sprintf(" %s: %s %s,", line.Message, line.field("address"), at(line.Time))
			}
		}
	}
	out += " decided " + at(continued.Time.Add(-duration(continued, "since-decision-ms"))) + ","
	if _, moved := continued.Fields["since-move-ms"]; moved {
		out += " " + continued.field("how") + " " + at(continued.Time.Add(-duration(continued, "since-move-ms"))) + ","
	} else {
		out += " " + continued.field("how") + ","
	}
	return out + " next event " + at(continued.Time) + "\n"
}

// suspectedBy returns the stages that a line "stream stalled" names.
func suspectedBy(line *Line) []string {
	list, _ := line.Fields["suspected"].([]any)
	var addresses []string
	for _, address := range list {
		addresses = append(addresses, fmt.Sprint(address))
	}
	return addresses
}

// duration returns a field in milliseconds, 0 if the line does not have it.
func duration(line *Line, name string) time.Duration {
	milliseconds, _ := line.Fields[name].(float64)
	return time.Duration(milliseconds * float64(time.Millisecond))
}
