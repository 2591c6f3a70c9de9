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

func platform(t *testing.T) (*httptest.Server, *logservice.Client) {
	t.Helper()
	server := httptest.NewServer(standin.NewPlatform(standin.PlatformConfig{}).Handler())
	t.Cleanup(server.Close)
	return server, logservice.NewClient(server.Listener.Addr().String(), "tester")
}

func faults(t *testing.T, server *httptest.Server, switches map[string]any) {
	t.Helper()
	body, err := json.Marshal(switches)
	assert.NilError(t, err)
	response, err := http.Post(server.URL+"/faults", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

// TestAppendEndings meets an append with each fault of the log and checks what
// the client says became of it, and what really did.
func TestAppendEndings(t *testing.T) {
	for name, test := range map[string]struct {
		faults    map[string]any
		refused   bool
		uncertain bool
		landed    int
	}{
		"taken":       {map[string]any{}, false, false, 1},
		"down":        {map[string]any{"log-down": true}, true, false, 0},
		"answer lost": {map[string]any{"lose-answers": 1}, false, true, 1},
		"cut off":     {map[string]any{"cut": []string{"tester"}}, false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := platform(t)
			faults(t, server, test.faults)
			_, err := client.Append(t.Context(), stream, []byte("record"))
			assert.Equal(t, errors.As(err, new(*logservice.RefusedError)), test.refused, "%v", err)
			assert.Equal(t, errors.As(err, new(*logservice.UncertainError)), test.uncertain, "%v", err)
			faults(t, server, map[string]any{"log-down": false, "cut": []string{}})
			page, err := client.Read(t.Context(), stream, 0, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(page.Records), test.landed)
		})
	}
	gone := logservice.NewClient("127.0.0.1:1", "tester")
	_, err := gone.Append(t.Context(), stream, nil)
	assert.Assert(t, errors.As(err, new(*logservice.RefusedError)), "%v", err)
}

// follower counts what a tail hands it.
type follower struct {
	next    logservice.Offset
	trimmed []logservice.Offset
	failed  int
	done    context.CancelFunc
	want    logservice.Offset
}

func (f *follower) Next() logservice.Offset { return f.next }

func (f *follower) HandleRecords(_ time.Time, page logservice.Page) {
	for _, r := range page.Records {
		f.next = r.Offset + 1
	}
	if f.next >= f.want {
		f.done()
	}
}

func (f *follower) HandleTrim(_ time.Time, first logservice.Offset) {
	f.trimmed = append(f.trimmed, first)
	f.next = first
}

func (f *follower) HandleReadError(time.Time, error) { f.failed++ }

// TestTailOverTrim follows a stream whose start was dropped.
func TestTailOverTrim(t *testing.T) {
	server, client := platform(t)
	for range 5 {
		_, err := client.Append(t.Context(), stream, []byte("record"))
		assert.NilError(t, err)
	}
	response, err := http.Post(server.URL+"/trim/test/3", "", nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	ctx, cancel := context.WithCancel(t.Context())
	f := &follower{done: cancel, want: 5}
	logservice.Tail(ctx, client, stream, f)
	assert.DeepEqual(t, f.trimmed, []logservice.Offset{3})
	assert.Equal(t, f.next, logservice.Offset(5))
	_, err = client.Read(t.Context(), stream, 0, 0)
	var trimmed *logservice.TrimmedError
	assert.Assert(t, errors.As(err, &trimmed))
	assert.Equal(t, trimmed.First, logservice.Offset(3))
}
