package logservice_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/standin"
)

const stream logservice.StreamName = "test"

func startPlatform(t *testing.T) (*httptest.Server, *logservice.Client) {
	t.Helper()
	server := httptest.NewServer(standin.NewPlatform(standin.PlatformConfig{}).Handler())
	t.Cleanup(server.Close)
	return server, logservice.NewClient(server.Listener.Addr().String(), "tester")
}

func setFaults(t *testing.T, server *httptest.Server, faults map[string]any) {
	t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(t, err)
	response, err := http.Post(server.URL+"/faults", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

// TestAppendResults guards against an append whose error misreports whether the
// record was appended. Each case injects one fault of the log service and compares
// the error with the content of the stream.
func TestAppendResults(t *testing.T) {
	for name, test := range map[string]struct {
		faults    map[string]any
		refused   bool
		uncertain bool
		appended  int
	}{
		"accepted":           {map[string]any{}, false, false, 1},
		"log down":           {map[string]any{"log-down": true}, true, false, 0},
		"response lost":      {map[string]any{"lose-answers": 1}, false, true, 1},
		"connection dropped": {map[string]any{"cut": []string{"tester"}}, false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := startPlatform(t)
			setFaults(t, server, test.faults)
			_, err := client.Append(t.Context(), stream, []byte("record"))
			assert.Equal(t, errors.As(err, new(*logservice.RefusedError)), test.refused, "%v", err)
			assert.Equal(t, errors.As(err, new(*logservice.UncertainError)), test.uncertain, "%v", err)
			setFaults(t, server, map[string]any{"log-down": false, "cut": []string{}})
			page, err := client.Read(t.Context(), stream, 0, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(page.Records), test.appended)
		})
	}
	unreachable := logservice.NewClient("127.0.0.1:1", "tester")
	_, err := unreachable.Append(t.Context(), stream, nil)
	assert.Assert(t, errors.As(err, new(*logservice.RefusedError)), "%v", err)
}

// recordingConsumer records the trims and read errors of a Tail and stops it at
// the offset want.
type recordingConsumer struct {
	next       logservice.Offset
	trimmed    []logservice.Offset
	readErrors int
	done       context.CancelFunc
	want       logservice.Offset
}

func (c *recordingConsumer) Next() logservice.Offset { return c.next }

func (c *recordingConsumer) HandleRecords(_ time.Time, page logservice.Page) {
	for _, r := range page.Records {
		c.next = r.Offset + 1
	}
	if c.next >= c.want {
		c.done()
	}
}

func (c *recordingConsumer) HandleTrim(_ time.Time, first logservice.Offset) {
	c.trimmed = append(c.trimmed, first)
	c.next = first
}

func (c *recordingConsumer) HandleReadError(time.Time, error) { c.readErrors++ }

// TestTailTrimmedStream checks that Tail reports the trim of a stream whose first
// records were dropped before the first read, and continues at the new start.
func TestTailTrimmedStream(t *testing.T) {
	server, client := startPlatform(t)
	for range 5 {
		_, err := client.Append(t.Context(), stream, []byte("record"))
		assert.NilError(t, err)
	}
	response, err := http.Post(server.URL+"/trim/test/3", "", nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	ctx, cancel := context.WithCancel(t.Context())
	consumer := &recordingConsumer{done: cancel, want: 5}
	logservice.Tail(ctx, client, stream, consumer)
	assert.DeepEqual(t, consumer.trimmed, []logservice.Offset{3})
	assert.Equal(t, consumer.next, logservice.Offset(5))
	_, err = client.Read(t.Context(), stream, 0, 0)
	var trimmed *logservice.TrimmedError
	assert.Assert(t, errors.As(err, &trimmed))
	assert.Equal(t, trimmed.First, logservice.Offset(3))
}
