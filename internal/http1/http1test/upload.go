package http1test

import (
	"bufio"
	_ "embed" // for uploads.txt
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

//go:embed uploads.txt
var uploadsFile string

// UploadSize is the size of an upload in bytes that no kernel takes whole while its reader stands still.
const UploadSize = 8 << 20

// resetDelay is how long a server waits before it resets a connection, so that its caller has read the answer and
// stands in the middle of the upload.
const resetDelay = 40 * time.Millisecond

// UploadAnswer is an answer to a long upload that the server has not read.
type UploadAnswer struct {
	Answer
	Either bool // a call may fail in place of returning the answer
	resets bool
}

// UploadAnswers returns the answers of uploads.txt. It panics if the file is malformed.
func UploadAnswers() []UploadAnswer {
	var list []UploadAnswer
	for _, line := range parseLines(uploadsFile, 3) {
		list = append(list, UploadAnswer{
			Answer: Answer{Name: line.fields[1], Refused: line.fields[0] == "refused", form: line.form},
			Either: line.fields[0] == "either", resets: line.fields[2] == "resets",
		})
	}
	return list
}

// Serve starts a server that gives the answer to each request once it has read its head, and returns its address.
// fields and body are as those of Answer.Bytes.
func (a UploadAnswer) Serve(t *testing.T, fields, body string) string {
	return serveEach(t, func(connection net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
			a.Write(connection, fields, body)
		}
	})
}

// Write gives the answer on a connection on which the head of a request was read, and ends the connection.
func (a UploadAnswer) Write(connection net.Conn, fields, body string) {
	defer func() { _ = connection.Close() }()
	// The caller may have left.
	_, _ = io.WriteString(connection, a.Bytes(fields, body))
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	if a.resets {
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
		return
	}
	_ = tcp.CloseWrite()
	_, _ = io.Copy(io.Discard, connection)
}
