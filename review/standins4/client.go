package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/platform"
)

// answer is what a client has got for one attempt.
type answer struct {
	status int    // 0 if there was none
	body   string // as far as it has come
	whole  bool
}

func (a answer) String() string {
	text := strings.Join(strings.Fields(a.body), " ")
	switch {
	case a.status == 0:
		return "no answer"
	case a.whole:
		return fmt.Sprintf("status %d, whole, %d bytes: %.40q", a.status, len(a.body), text)
	}
	return fmt.Sprintf("status %d, cut off after %d bytes", a.status, len(a.body))
}

// send sends one attempt of a request over a new connection, with an id of its own, and records it.
func send(r *record, to *instance, path, body, key string, deadline time.Duration) answer {
	id := strings.ReplaceAll(uuid.NewString(), "-", "")[:16]
	r.add("client sends %s (%s, body %q, key %q) to %s", id, path, body, key, to.id)
	result := exchange(to, id, path, body, key, deadline)
	r.add("client gets for %s: %s", id, result)
	return result
}

func exchange(to *instance, id, path, body, key string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.front+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = routeHost
	request.Close = true
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderAPIKey, key)
	request.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	if path == streamPath {
		request.Header.Set("X-Model", "daka510000")
		request.Header.Set(platform.HeaderTokenCounts, "1460,80")
		request.Header.Set(platform.HeaderPromptParts, "5c1e07a2:800,"+partOf(body)+":660")
	}
	response, err := (&http.Transport{}).RoundTrip(request)
	if err != nil {
		return answer{}
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read to its end
	return answer{status: response.StatusCode, body: string(data), whole: err == nil}
}

// partOf returns the id of the last part of a prompt, which belongs to the request.
func partOf(body string) string { return fmt.Sprintf("%08x", []byte(body)[:4]) }

func (a answer) served() bool { return a.status == http.StatusOK && a.whole }
