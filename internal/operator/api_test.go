package operator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const token = "operator-token"

// memoryLog is a log that delivers each appended record to the replica at once.
type memoryLog struct {
	mu      sync.Mutex
	replica *document.Replica
	next    logservice.Offset
}

func (l *memoryLog) Append(_ context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.next
	l.next++
	go l.replica.HandleRecords(time.Now(), logservice.Page{
		Next: offset + 1, Records: []logservice.Record{{Offset: offset, Time: time.Now(), Body: body}},
	})
	return offset, nil
}

func startServer(t *testing.T) (*Client, *httptest.Server) {
	t.Helper()
	log := &memoryLog{}
	replica := document.NewReplica(document.Config{
		Appender: log, OnAccepted: func(document.Entry) {}, OnAdvanced: func(logservice.Offset) {}, Logger: zap.NewNop(),
	})
	log.replica = replica
	replica.HandleRecords(time.Now(), logservice.Page{})
	server := httptest.NewServer(NewServer(Config{
		Replica: replica, TokenHash: environment.HashSecret(token), Logger: zap.NewNop(),
		Status:  func() Status { return Status{Instance: "entry-1", Ready: replica.Loaded()} },
		Metrics: http.NotFoundHandler(),
	}).Handler())
	t.Cleanup(server.Close)
	return NewClient(server.Listener.Addr().String(), token), server
}

func body(environmentName, comment string) []byte {
	return []byte("environment = \"" + environmentName + "\"\n# " + comment + "\n")
}

func asAPIError(t *testing.T, err error) *APIError {
	t.Helper()
	var problem *APIError
	assert.Assert(t, errors.As(err, &problem), "%v", err)
	return problem
}

// TestPublishAndPromote publishes and promotes a document, and checks the error
// responses along the way: promotion without a trial document, an invalid document, a
// document of another environment, and a stale base version.
func TestPublishAndPromote(t *testing.T) {
	client, _ := startServer(t)
	publish := func(b []byte, base *document.Version) (PublishResult, error) {
		return client.Publish(t.Context(), PublishRequest{Environment: "bench", ID: uuid.New(), Base: base, Body: b})
	}
	promote := func() (PublishResult, error) {
		return client.Promote(t.Context(), PublishRequest{Environment: "bench", ID: uuid.New()})
	}
	_, err := promote()
	assert.Equal(t, asAPIError(t, err).Code, "not-tried")
	_, err = publish([]byte("environment = 7"), nil)
	assert.Equal(t, asAPIError(t, err).Status, http.StatusUnprocessableEntity)
	_, err = publish(body("kiosk", ""), nil)
	assert.Equal(t, asAPIError(t, err).Code, "document-invalid")

	first, err := publish(body("bench", "one"), nil)
	assert.NilError(t, err)
	second, err := publish(body("bench", "two"), &first.Version)
	assert.NilError(t, err)
	assert.Assert(t, second.Version > first.Version)
	_, err = publish(body("bench", "three"), &first.Version)
	conflict := asAPIError(t, err)
	assert.Equal(t, conflict.Code, "stale-base")
	assert.Equal(t, conflict.Winner.Version, second.Version)

	promoted, err := promote()
	assert.NilError(t, err)
	assert.Equal(t, promoted.Stage, environment.Production)
	assert.Equal(t, promoted.Digest, second.Digest)
	status, err := client.Status(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, status.Ready)
}

// TestAccess checks the status codes of requests without a valid token, for a wrong
// stage or a missing document, and for endpoints that need no token.
func TestAccess(t *testing.T) {
	_, server := startServer(t)
	for name, test := range map[string]struct {
		method, path, token string
		want                int
	}{
		"no token":                         {http.MethodGet, "/admin/v1/status", "", http.StatusUnauthorized},
		"wrong token":                      {http.MethodGet, "/admin/v1/status", "x", http.StatusUnauthorized},
		"right token":                      {http.MethodGet, "/admin/v1/status", token, http.StatusOK},
		"publish into production":          {http.MethodPost, "/admin/v1/environments/bench/production", token, http.StatusBadRequest},
		"promote without a trial document": {http.MethodPut, "/admin/v1/environments/bench/promote?publish-id=7", token, http.StatusNotFound},
		"no active document":               {http.MethodGet, "/admin/v1/environments/bench/trial", token, http.StatusNotFound},
		"health needs no token":            {http.MethodGet, "/healthz", "", http.StatusOK},
		"readiness":                        {http.MethodGet, "/readyz", "", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), test.method, server.URL+test.path, nil)
			assert.NilError(t, err)
			if test.token != "" {
				request.Header.Set("Authorization", "Bearer "+test.token)
			}
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, test.want)
		})
	}
}
