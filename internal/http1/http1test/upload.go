package http1test

import (
	"bufio"
	_ "embed" // for uploads.txt
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

//go:embed uploads.txt
var uploadsFile string

const (
	// UploadSize is the size of an upload in bytes that no kernel takes whole while its reader stands still.
	UploadSize = 8 << 20
	// WrittenUploadSize is that of one which the kernel of the caller takes whole, and that of the server does not.
	WrittenUploadSize = 512 << 10
)

const (
	// resetDelay is how long a server waits before it resets a connection, so that its caller has read the answer
	// and stands in the middle of the upload.
	resetDelay = 40 * time.Millisecond
	// lateResetDelay is the same for one that is late.
	lateResetDelay = 1500 * time.Millisecond
	// readDelay is how long a server waits that is late to read an upload.
	readDelay = 300 * time.Millisecond
)

// UploadAnswer is an answer to a long upload that the server has not read.
type UploadAnswer struct {
	Answer
	Either bool // a call may fail in place of returning the answer
	ending ending
}

// ending is how a server ends a connection behind an answer: what it does before it resets the connection, or reads
// the rest of the request.
type ending struct {
	closesWrite bool
	wait        time.Duration
	resets      bool
}

// endings are the ways to end a connection by their names in uploads.txt.
var endings = map[string]ending{
	"resets":       {wait: resetDelay, resets: true},
	"ends":         {closesWrite: true, wait: resetDelay, resets: true},
	"ends-at-once": {closesWrite: true, resets: true},
	"ends-late":    {closesWrite: true, wait: lateResetDelay, resets: true},
	"reads":        {closesWrite: true},
	"reads-late":   {closesWrite: true, wait: readDelay},
}

// UploadAnswers returns the answers of uploads.txt. It panics if the file is malformed.
func UploadAnswers() []UploadAnswer {
	var list []UploadAnswer
	for _, line := range parseLines(uploadsFile, 3) {
		ending, known := endings[line.fields[2]]
		if !known {
			panic(fmt.Sprintf("http1test: %s ends in an unknown way", line.fields[1]))
		}
		list = append(list, UploadAnswer{
			Answer: Answer{Name: line.fields[1], Refused: line.fields[0] == "refused", form: line.form},
			Either: line.fields[0] == "either", ending: ending,
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
	if a.ending.closesWrite {
		_ = tcp.CloseWrite()
	}
	time.Sleep(a.ending.wait)
	if a.ending.resets {
		_ = tcp.SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, connection)
}
