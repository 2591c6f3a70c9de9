package router

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// maxIgnoredKeys is the number of keys whose last error is remembered, and ignoredBurst and
	// ignoredInterval bound the log lines.
	maxIgnoredKeys  = 1024
	ignoredBurst    = 20
	ignoredInterval = time.Second
)

// ignoredEntries counts the entries of the backend list that describe no backend server, and logs each
// once until what is wrong with it changes.
type ignoredEntries struct {
	logger *zap.Logger
	count  prometheus.Counter
	lines  *rate.Limiter

	mu     sync.Mutex
	errors map[string]string // the last one by key
}

func newIgnoredEntries(logger *zap.Logger, count prometheus.Counter) *ignoredEntries {
	return &ignoredEntries{logger: logger, count: count, lines: rate.NewLimiter(rate.Every(ignoredInterval), ignoredBurst), errors: map[string]string{}}
}

// record records that an entry is ignored because of an error.
func (i *ignoredEntries) record(now time.Time, key string, err error) {
	i.count.Inc()
	if i.isNew(key, err.Error()) && i.lines.AllowN(now, 1) {
		i.logger.Info("ignoring backend server entry", zap.String("key", key), zap.Error(err))
	}
}

func (i *ignoredEntries) isNew(key, text string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.errors[key] == text {
		return false
	}
	if len(i.errors) >= maxIgnoredKeys {
		clear(i.errors)
	}
	i.errors[key] = text
	return true
}

// forget forgets the error of a key whose entry is valid or gone.
func (i *ignoredEntries) forget(key string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.errors, key)
}
