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
	// crashThreshold is the number of crashes after which a request is quarantined.
	crashThreshold = 3
	// quarantineDuration is how long a request stays quarantined after its last crash,
	// and the maximum time between two crashes that are counted together.
	quarantineDuration = 30 * time.Second
	// crashCheckDelay is the time between a failed attempt and the check whether its
	// backend server is still reachable.
	crashCheckDelay   = 30 * time.Millisecond
	crashCheckTimeout = 300 * time.Millisecond
	// maxTrackedRequests bounds the number of requests with crash counts.
	maxTrackedRequests = 4096
)

// fingerprintOf returns a hash of a request's method, host, URI with query, team and
// body. Headers are not included.
func fingerprintOf(request backend.Request, team string) engine.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{request.Method, request.Host, request.URI, team} {
		// Writes to the hash never fail.
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(request.Body)
	return engine.Fingerprint(hash.Sum64())
}

// crashTracker counts, for each request, the crashes of backend servers that ran it,
// here and at the peers. A complete response resets the count.
type crashTracker struct {
	mu     sync.Mutex
	counts map[engine.Fingerprint]crashCount
}

type crashCount struct {
	count int
	last  time.Time
}

func newCrashTracker() *crashTracker {
	return &crashTracker{counts: map[engine.Fingerprint]crashCount{}}
}

// record counts a crash during a request.
func (c *crashTracker) record(now time.Time, request engine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) >= maxTrackedRequests {
		c.evict(now)
	}
	entry := c.counts[request]
	if now.Sub(entry.last) > quarantineDuration {
		entry.count = 0
	}
	c.counts[request] = crashCount{count: entry.count + 1, last: now}
}

// evict drops expired counts, or all of them if that does not free any space.
func (c *crashTracker) evict(now time.Time) {
	for request, entry := range c.counts {
		if now.Sub(entry.last) > quarantineDuration {
			delete(c.counts, request)
		}
	}
	if len(c.counts) >= maxTrackedRequests {
		c.counts = map[engine.Fingerprint]crashCount{}
	}
}

// reset drops the count of a request that got a complete response.
func (c *crashTracker) reset(request engine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.counts, request)
}

// quarantined reports whether a request must not be sent to backend servers.
func (c *crashTracker) quarantined(now time.Time, request engine.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.counts[request]
	return ok && entry.count >= crashThreshold && now.Sub(entry.last) <= quarantineDuration
}

// HandleCrashNotice records a crash of a backend server during a request, as reported by a peer.
func (g *Gateway) HandleCrashNotice(now time.Time, from deployment.InstanceID, request engine.Fingerprint, at deployment.BackendID) {
	g.crashes.record(now, request)
	g.Metrics.countBackendEnd(toldByPeer)
	g.Logger.Debug("backend server down, as told", zap.String("told-by", string(from)), zap.String("backend", string(at)),
		zap.Uint64("fingerprint", uint64(request)))
}

// checkCrash checks whether a backend server is unreachable after an attempt failed
// there. If so, the request may have crashed it: the crash is recorded here and passed
// to OnBackendCrash. After a mere loss of the response, the backend server is still
// reachable.
func (g *Gateway) checkCrash(c *call, at deployment.Backend, hadEvents bool) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if g.transport.Reachable(ctx, at.Address) {
		return
	}
	g.crashes.record(time.Now(), c.fingerprint)
	g.OnBackendCrash(c.fingerprint, at.ID)
	g.Metrics.countBackendEnd(noticedHere)
	g.Logger.Info("backend server down after a request", zap.String("request", c.id),
		zap.String("backend", string(at.ID)), zap.String("address", string(at.Address)), zap.Time("started-at", at.StartedAt),
		zap.Uint64("fingerprint", uint64(c.fingerprint)), zap.Bool("had-events", hadEvents), partsField(c))
}

// partsField returns the log field that names the parts of a request's prompt.
func partsField(c *call) zap.Field {
	names := make([]string, 0, len(c.parts))
	for _, part := range c.parts {
		names = append(names, string(part))
	}
	return zap.Strings("parts", names)
}
