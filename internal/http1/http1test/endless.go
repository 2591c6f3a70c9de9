package http1test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Endless is an answer without an end: a beginning, and then a part again and again.
type Endless struct{ Name, Beginning, Part string }

// EndlessAnswers are answers without an end in each of their parts.
var EndlessAnswers = []Endless{
	{"no-answer", "", strings.Repeat("x", 1000)},
	{"head-line", "HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 1000)},
	{"head-lines", "HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("a", 1000) + "\r\n"},
	{"head-short-lines", "HTTP/1.1 200 OK\r\n", "a:\r\nb:\r\n"},
	{"informational", "", "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\n"},
	{"body", "HTTP/1.1 200 OK\r\n{fields}\r\n", strings.Repeat("a", 1000)},
	{"body-of-a-length", "HTTP/1.1 200 OK\r\n{fields}Content-Length: 1000000000000\r\n\r\n", strings.Repeat("a", 1000)},
	{"body-after-long-head", "HTTP/1.1 200 OK\r\n" + fieldLines(240, strings.Repeat("b", 240)) + "{fields}\r\n", strings.Repeat("a", 1000)},
	{"body-after-many-fields", "HTTP/1.1 200 OK\r\n" + fieldLines(8000, "") + "{fields}\r\n", strings.Repeat("a", 1000)},
	{"error-body", "HTTP/1.1 500 X\r\n{fields}\r\n", strings.Repeat("a", 1000)},
	{"chunks", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("a", 1000) + "\r\n"},
	{"chunk-size", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000)},
	{"chunk-extension", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("a", 1000)},
	{"trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-A: a\r\n"},
}

// fieldLines returns lines of fields with different names and a value.
func fieldLines(count int, value string) string {
	var lines strings.Builder
	for i := range count {
		_, _ = fmt.Fprintf(&lines, "%x:%s\r\n", i, value)
	}
	return lines.String()
}

// Serve starts a server that gives the answer until its caller has closed the connection, and returns its
// address. Behind size bytes of it the server stands still, so that its callers hold what they have read; 0 is
// for never.
func (e Endless) Serve(t *testing.T, fields string, size int) string {
	return ServeFunc(t, func(connection net.Conn) error { return e.Write(connection, fields, size) })
}

// Write writes the answer as Serve does. It returns once the caller has closed the connection.
func (e Endless) Write(connection net.Conn, fields string, size int) error {
	repeated := strings.Repeat(e.Part, 1+endlessWrite/len(e.Part))
	_, err := io.WriteString(connection, strings.ReplaceAll(e.Beginning, "{fields}", fields))
	for written := 0; err == nil; {
		if size > 0 && written+len(repeated) > size {
			_, err = io.Copy(io.Discard, connection) // until the caller closes it
			return errors.Join(err, io.EOF)
		}
		_, err = io.WriteString(connection, repeated)
		written += len(repeated)
	}
	return err
}

// endlessWrite is what a server writes at once at least.
const endlessWrite = 32 << 10 // bytes

// PeakHeap runs functions at the same time, and returns the most bytes of the heap that were in use above those
// before, as long as none had ended: what those that end leave behind is garbage. A test that calls it must not
// run beside others.
func PeakHeap(functions []func()) int64 {
	before, _ := heapInUse()
	ended := make(chan struct{}, len(functions))
	for _, function := range functions {
		go func() {
			function()
			ended <- struct{}{}
		}()
	}
	peak := int64(0)
	for len(ended) == 0 {
		time.Sleep(sampleInterval)
		if used, settled := heapInUse(); settled && len(ended) == 0 {
			peak = max(peak, used-before)
		}
	}
	for range functions {
		<-ended
	}
	return peak
}

// sampleInterval is the interval at which the heap is measured.
const sampleInterval = 200 * time.Millisecond

// settledAlloc is how much may be allocated during a measurement of the heap: that counts as in use, as well as
// what is dropped meanwhile.
const settledAlloc = 1 << 20 // bytes

// heapInUse returns the bytes that are in use, and whether they are those, as hardly anything was allocated while
// the garbage was collected.
func heapInUse() (used int64, settled bool) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc), after.TotalAlloc-before.TotalAlloc <= settledAlloc
}
