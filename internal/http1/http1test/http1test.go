// Package http1test has answers of servers for tests of what reads them, and a server that gives them.
//
// Usage: let the code under test call the server of an answer, and compare:
//
//	for _, answer := range http1test.Answers() {
//		address := http1test.Serve(t, answer.Bytes("X-Mine: a\r\n", "body"))
//		// the code under test must fail if answer.Refused, and else have got the body
//	}
package http1test

import (
	"bufio"
	_ "embed" // for answers.txt
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

//go:embed answers.txt
var answersFile string

// Answer is an answer of a server.
type Answer struct {
	Name    string
	Refused bool   // it is no answer, or has no end that can be trusted
	form    string // with placeholders
}

// Bytes returns the answer with a reader's own field lines and a body.
func (a Answer) Bytes(fields, body string) string {
	return strings.NewReplacer(
		"{fields}", fields, "{body}", body, "{length}", strconv.Itoa(len(body)), "{hex}", strconv.FormatInt(int64(len(body)), 16),
	).Replace(a.form)
}

// Answers returns the answers of answers.txt. It panics if the file is malformed.
func Answers() []Answer {
	var list []Answer
	for _, line := range parseLines(answersFile, 2) {
		list = append(list, Answer{Name: line.fields[1], Refused: line.fields[0] == "refused", form: line.form})
	}
	return list
}

// answerLine is a line of a file of answers: some words, the first of which is the verdict, and the form.
type answerLine struct {
	fields []string
	form   string
}

// parseLines returns the lines of a file of answers with a number of words before the form. It panics if the file
// is malformed.
func parseLines(file string, words int) []answerLine {
	var list []answerLine
	for line := range strings.Lines(file) {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		_, quoted, _ := strings.Cut(line, `"`)
		form, err := strconv.Unquote(`"` + strings.TrimSpace(quoted))
		if err != nil || len(fields) <= words || !slices.Contains(verdicts, fields[0]) {
			panic(fmt.Sprintf("http1test: %v in %q", err, line))
		}
		list = append(list, answerLine{fields: fields[:words], form: form})
	}
	return list
}

// verdicts say what a reader must do with an answer.
var verdicts = []string{"refused", "read", "either"}

// Serve starts a server that gives an answer to each request, and returns its address. It closes each
// connection behind the answer.
func Serve(t *testing.T, answer string) string {
	return ServeFunc(t, func(connection net.Conn) error {
		_, err := io.WriteString(connection, answer)
		return err
	})
}

// closeDelay is how long a server waits for its caller to close a connection behind an answer.
const closeDelay = 50 * time.Millisecond

// ServeFunc starts a server that answers each request with what a function writes, and returns its address.
func ServeFunc(t *testing.T, answer func(connection net.Conn) error) string {
	return serveEach(t, func(connection net.Conn) { serve(connection, answer) })
}

// serveEach starts a server that passes each connection to handle, in a goroutine of its own, and returns its
// address.
func serveEach(t *testing.T, handle func(connection net.Conn)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go handle(connection)
		}
	}()
	return listener.Addr().String()
}

// serve answers one request. The caller may leave at any time.
func serve(connection net.Conn, answer func(connection net.Conn) error) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if answer(connection) == nil {
		closeGently(connection)
	}
}

// closeGently closes a connection so that its last bytes are not lost to a reset.
func closeGently(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = connection.SetReadDeadline(time.Now().Add(closeDelay))
	_, _ = io.Copy(io.Discard, connection)
}
