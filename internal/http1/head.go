package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

const (
	// MaxHeadBytes bounds the heads of one answer, those of informational responses included.
	MaxHeadBytes = 64 << 10 // bytes
	// MaxHeadFields bounds their fields: one costs far more once it is parsed than its bytes tell.
	MaxHeadFields = 256
	// LongHeadMemory is what heads take at most, as they are read and once they are parsed.
	LongHeadMemory = 320 << 10 // bytes
	// usualHeadBytes and usualHeadFields are up to where heads are usual ones, and need no memory held.
	usualHeadBytes  = 4 << 10 // bytes
	usualHeadFields = 32
)

// ErrHeadTooLarge reports an answer whose heads exceed MaxHeadBytes or MaxHeadFields.
var ErrHeadTooLarge = errors.New("response header is too large")

// MalformedError reports bytes that are no answer, or an answer whose end can't be trusted.
type MalformedError struct {
	Problem string
	Line    string // the beginning of the line at fault, empty if none is
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %s: %q", e.Problem, e.Line)
}

// maxQuoted is how much of a line a MalformedError has.
const maxQuoted = 64 // bytes

func malformed(problem string, line []byte) error {
	return &MalformedError{Problem: problem, Line: string(line[:min(len(line), maxQuoted)])}
}

// headChecker checks the heads of one answer as their bytes arrive: those of informational responses, and that
// of the final one. RFC 9112 says what a head is. Where it leaves a choice, an answer is refused whose end two
// readers could see at different places; obsolete folds, bare line feeds and a status line without a reason
// are read.
type headChecker struct {
	// upgrades is set if the request asks for another protocol, which status 101 begins.
	upgrades bool

	bytes, fields int    // so far
	line          []byte // the beginning of a line whose end has not arrived
	complete      bool   // the final head has ended
	problem       error  // stays: a reader that has dropped it must not go on behind the line at fault

	// Of the head that is being read:
	status   int  // 0 before its status line
	minor    byte // digit of the version HTTP/1.x
	hasField bool // a field line has been read, which the next one may continue
	length   bool // it has a Content-Length
	coded    bool // it has a Transfer-Encoding
}

// check checks the next bytes, and returns how many of them may be passed on: with an error those before the
// line at fault, otherwise all. Behind the final head it checks nothing. The error is a *MalformedError or
// ErrHeadTooLarge.
func (c *headChecker) check(data []byte) (int, error) {
	checked := 0
	for !c.complete && c.problem == nil && checked < len(data) {
		rest := data[checked:]
		size := bytes.IndexByte(rest, '\n') + 1
		if size == 0 {
			c.problem = c.checkPart(rest)
			break
		}
		if c.problem = c.checkWhole(rest[:size]); c.problem == nil {
			checked += size
		}
	}
	if c.problem != nil {
		return checked, c.problem
	}
	return len(data), nil
}

// checkPart checks a part of a line that does not end it.
func (c *headChecker) checkPart(part []byte) error {
	c.line = append(c.line, part...)
	return c.count(part)
}

// checkWhole checks a line of which the rest has arrived.
func (c *headChecker) checkWhole(rest []byte) error {
	line := rest
	if len(c.line) > 0 {
		c.line = append(c.line, rest...)
		line, c.line = c.line, c.line[:0]
	}
	if err := c.count(rest); err != nil {
		return err
	}
	return c.checkLine(trimLineEnd(line))
}

func (c *headChecker) count(part []byte) error {
	if c.bytes += len(part); c.bytes > MaxHeadBytes {
		return ErrHeadTooLarge
	}
	return nil
}

// isLong reports whether the heads are longer than usual ones, so far.
func (c *headChecker) isLong() bool { return c.bytes > usualHeadBytes || c.fields > usualHeadFields }

// trimLineEnd removes the line feed and a carriage return before it.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

func (c *headChecker) checkLine(line []byte) error {
	switch {
	case c.status == 0:
		return c.checkStatusLine(line)
	case len(line) == 0:
		return c.endHead()
	case line[0] == ' ' || line[0] == '\t':
		return c.checkFold(line)
	}
	return c.checkField(line)
}

// The status line: HTTP/1.x, a blank, three digits and, behind another blank, the reason.
const (
	versionPrefix = "HTTP/1."
	statusAt      = len(versionPrefix) + len("1 ")
	reasonAt      = statusAt + len("200")
)

func (c *headChecker) checkStatusLine(line []byte) error {
	switch {
	case !bytes.HasPrefix(line, []byte(versionPrefix)), len(line) < reasonAt, !isDigit(line[len(versionPrefix)]), line[statusAt-1] != ' ',
		len(line) > reasonAt && line[reasonAt] != ' ':
		return malformed("not a status line of HTTP/1.x", line)
	case !isText(line[reasonAt:]):
		return malformed("a control byte in the reason", line)
	}
	status := 0
	for _, digit := range line[statusAt:reasonAt] {
		if !isDigit(digit) {
			return malformed("the status is not a number", line)
		}
		status = 10*status + int(digit-'0')
	}
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols && !c.upgrades {
		return malformed("the status is none that answers the request", line)
	}
	c.status, c.minor = status, line[len(versionPrefix)]
	return nil
}

// The least and the largest status that RFC 9110 knows.
const (
	minStatus = 100
	maxStatus = 599
)

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// checkFold checks a line that continues the value of the field before.
func (c *headChecker) checkFold(line []byte) error {
	if !c.hasField {
		return malformed("the first field line begins with a blank", line)
	}
	if !isText(line) {
		return malformed("a control byte in a value", line)
	}
	return nil
}

// The names of the fields that tell where a body ends.
var (
	lengthName = []byte("Content-Length")
	codingName = []byte("Transfer-Encoding")
)

func (c *headChecker) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return malformed("a field line without a colon", line)
	case !isToken(name):
		return malformed("not the name of a field", line)
	case !isText(value):
		return malformed("a control byte in a value", line)
	}
	c.hasField = true
	if c.fields++; c.fields > MaxHeadFields {
		return ErrHeadTooLarge
	}
	c.length = c.length || bytes.EqualFold(name, lengthName)
	c.coded = c.coded || bytes.EqualFold(name, codingName)
	return nil
}

// endHead ends a head at its empty line. After an informational one another head follows.
func (c *headChecker) endHead() error {
	switch {
	case c.coded && c.minor == '0':
		return malformed("a Transfer-Encoding in HTTP/1.0", nil)
	case c.coded && c.length:
		return malformed("both a Content-Length and a Transfer-Encoding", nil)
	}
	c.complete = c.status >= http.StatusOK || c.status == http.StatusSwitchingProtocols
	c.status, c.hasField, c.length, c.coded = 0, false, false, false
	if c.complete {
		c.line = nil
	}
	return nil
}

// isToken reports whether text is a token of RFC 9110, as the name of a field is.
func isToken(text []byte) bool {
	for _, c := range text {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether text has no control bytes but tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
