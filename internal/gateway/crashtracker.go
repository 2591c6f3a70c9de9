package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/engine"
)

const (
	// crashLimit is how many backend servers may break off the same request.
	crashLimit = 3
	// crashMemory is how long a request that breaks its backend servers is kept
	// from them.
	crashMemory = 30 * time.Second
	// crashCheckPause is between a broken answer and the look at who broke it off.
	crashCheckPause = 30 * time.Millisecond
	crashCheckTime  = 300 * time.Millisecond
	// mostCrashes bounds the memory for such requests.
	mostCrashes = 4096
)

// fingerprintOf is equal for requests with the same method, path, team and body.
func fingerprintOf(request backend.Request, team string) engine.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{request.Method, request.Host, request.URI, team} {
		// Writing to a hash does not fail.
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(request.Body)
	return engine.Fingerprint(hash.Sum64())
}

// crashes counts, for each request, the backend servers that broke off while they
// ran it and it was never answered since. Such a request may crash whoever runs it.
type crashes struct {
	mu    sync.Mutex
	known map[engine.Fingerprint]crashCount
}

type crashCount struct {
	count int
	last  time.Time
}

func newCrashes() *crashes {
	return &crashes{known: map[engine.Fingerprint]crashCount{}}
}

// note counts a request that was broken off.
func (c *crashes) note(now time.Time, request engine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) >= mostCrashes {
		c.forget(now)
	}
	entry := c.known[request]
	if now.Sub(entry.last) > crashMemory {
		entry.count = 0
	}
	c.known[request] = crashCount{count: entry.count + 1, last: now}
}

// forget drops what is old, or all where nothing is.
func (c *crashes) forget(now time.Time) {
	for request, entry := range c.known {
		if now.Sub(entry.last) > crashMemory {
			delete(c.known, request)
		}
	}
	if len(c.known) >= mostCrashes {
		c.known = map[engine.Fingerprint]crashCount{}
	}
}

// answered notes that a request had a whole answer.
func (c *crashes) answered(request engine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, request)
}

// blocked tells whether a request is kept from the backend servers.
func (c *crashes) blocked(now time.Time, request engine.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.known[request]
	return ok && entry.count >= crashLimit && now.Sub(entry.last) <= crashMemory
}

// HandleCrashNotice notes that a peer saw a backend server break off while it ran a request.
func (g *Gateway) HandleCrashNotice(now time.Time, request engine.Fingerprint, _ deployment.BackendID) {
	g.crashes.note(now, request)
}

// checkCrash looks whether a backend server that broke off a request is down since
// then. If so, the request counts as one that may have crashed it, here and at the
// peers. An answer that is merely lost leaves its backend server up.
func (g *Gateway) checkCrash(c *call, at deployment.Backend) {
	time.Sleep(crashCheckPause)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTime)
	defer cancel()
	if g.exchanger.Reachable(ctx, at.Address) {
		return
	}
	g.crashes.note(time.Now(), c.fingerprint)
	g.OnBackendCrash(c.fingerprint, at.ID)
	g.Logger.Info("backend server down after a request", zap.String("request", c.id),
		zap.String("backend", string(at.ID)), zap.Uint64("fingerprint", uint64(c.fingerprint)))
}
