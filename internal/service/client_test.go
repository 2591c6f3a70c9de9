package service

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

// newClientWithBackends starts one backend server for each handler and returns a
// client for them.
func newClientWithBackends(t *testing.T, handlers ...http.HandlerFunc) *Client {
	t.Helper()
	client := NewClient("zone-a")
	var list []instancelist.Instance
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		list = append(list, instancelist.Instance{
			ID: instancelist.ID(fmt.Sprint("s", i)), Zone: "zone-a", Address: server.Listener.Addr().String(), Serves: "lockers",
		})
	}
	client.SetBackends(list)
	return client
}

func ok(w http.ResponseWriter, _ *http.Request)   { _, _ = w.Write([]byte("ok")) }
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
func drop(http.ResponseWriter, *http.Request)     { panic(http.ErrAbortHandler) }

var lookup = Request{Service: "lockers", Method: http.MethodGet, Path: "/lockers/7", Timeout: 5 * time.Second}

// TestCallRetries checks that an idempotent call succeeds while one backend server
// works and the others drop the connection or hang.
func TestCallRetries(t *testing.T) {
	for name, handlers := range map[string][]http.HandlerFunc{
		"first drops the connection": {drop, ok},
		"first hangs":                {hang, ok},
		"first drops, second hangs":  {drop, hang, ok},
	} {
		t.Run(name, func(t *testing.T) {
			response, err := newClientWithBackends(t, handlers...).Call(t.Context(), lookup)
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "ok")
		})
	}
}

// TestDispatchResults checks that a dispatch distinguishes a call that the backend
// server may have received from one that was not sent, and that draining backend
// servers get no calls.
func TestDispatchResults(t *testing.T) {
	client := newClientWithBackends(t, drop)
	_, lost := client.NewDispatcher(lookup).Dispatch(t.Context()).(claim.ResponseLost)
	assert.Assert(t, lost)
	client.SetBackends([]instancelist.Instance{{ID: "gone", Address: "127.0.0.1:1", Serves: "lockers"}})
	_, notSent := client.NewDispatcher(lookup).Dispatch(t.Context()).(claim.NotSent)
	assert.Assert(t, notSent)
	client.SetBackends([]instancelist.Instance{{ID: "leaving", Address: "127.0.0.1:1", Serves: "lockers", Leaving: true}})
	_, err := client.Call(t.Context(), lookup)
	assert.Assert(t, errors.As(err, new(*NoBackendError)))
}

// TestNoRetryStorm guards against retries that multiply the load when every backend
// server fails. It compares the attempts that backend servers receive with the calls
// made, with and without an effective retry budget.
func TestNoRetryStorm(t *testing.T) {
	const calls = 400
	for name, test := range map[string]struct {
		budget *retrybudget.Budget
		limit  float64
	}{
		"with the budget":    {retrybudget.New(retryRatio, retryReserve), 1.1},
		"without the budget": {retrybudget.New(1, 1e9), 3.1},
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int64
			failing := func(http.ResponseWriter, *http.Request) {
				received.Add(1)
				panic(http.ErrAbortHandler)
			}
			client := newClientWithBackends(t, failing, failing, failing)
			client.budget = test.budget
			var running sync.WaitGroup
			for range calls {
				running.Add(1)
				go func() {
					defer running.Done()
					_, _ = client.Call(t.Context(), lookup)
				}()
			}
			running.Wait()
			ratio := float64(received.Load()) / calls
			t.Logf("%s: backend servers receive %.2f attempts for each call", name, ratio)
			assert.Assert(t, ratio <= test.limit, "%.2f", ratio)
		})
	}
}

// TestEjection checks that ejected backend servers are chosen last, but are still
// chosen if all are ejected.
func TestEjection(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBalancer("zone-a")
	b.SetBackends([]instancelist.Instance{
		{ID: "near", Zone: "zone-a", Serves: "lockers"}, {ID: "far", Zone: "zone-b", Serves: "lockers"},
	})
	choose := func() instancelist.ID {
		chosen, err := b.Choose(now, "lockers", nil)
		assert.NilError(t, err)
		return chosen.ID
	}
	assert.Equal(t, choose(), instancelist.ID("near"))
	b.byID["near"].ejection.RecordFailure(now)
	assert.Equal(t, choose(), instancelist.ID("far"))
	b.byID["far"].ejection.RecordFailure(now)
	assert.Equal(t, choose(), instancelist.ID("near"))
	now = now.Add(time.Minute)
	assert.Equal(t, choose(), instancelist.ID("near"))
}
