// Package daemon runs one entry instance: it reads the settings, connects the
// components, and drains them at shutdown.
//
// Usage: load the settings and run until ctx is canceled:
//
//	settings, err := daemon.LoadSettings("entry.toml")
//	d := daemon.New(settings, logger, func(role, address string) {
//		fmt.Println("listening", role, address)
//	})
//	err = d.Run(ctx)
package daemon

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"time"

	"go.uber.org/zap/zapcore"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/tomlpos"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	defaultMaxConcurrentAnswers  = 256
	defaultMaxConcurrentRequests = 2048
	defaultDrainTimeout          = 60 * time.Second
	defaultAppendsPerSecond      = 400
	defaultCheckpointInterval    = 30 * time.Minute
	// maxConcurrencySetting bounds both concurrency limits.
	maxConcurrencySetting = 100_000
)

// Settings configures one entry instance.
type Settings struct {
	Instance instancelist.ID
	Zone     instancelist.Zone
	Region   instancelist.Region

	// CallersAddress, OperatorsAddress and PeersAddress are the addresses to
	// listen on, IP:PORT.
	CallersAddress   string
	OperatorsAddress string
	PeersAddress     string

	// LogAddress and InstanceListAddress are the platform's addresses, IP:PORT.
	LogAddress          string
	InstanceListAddress string
	// AppendsPerSecond is the log service's limit for all entry instances
	// together.
	AppendsPerSecond   float64
	CheckpointInterval time.Duration

	// OperatorTokenHash is the hash of the operators' bearer token.
	OperatorTokenHash environment.SecretHash

	MaxConcurrentAnswers  int
	MaxConcurrentRequests int
	// DrainTimeout bounds the wait for requests in flight at shutdown.
	DrainTimeout time.Duration

	LogLevel zapcore.Level
}

type tomlSettings struct {
	Instance struct {
		ID     string `toml:"id"`
		Zone   string `toml:"availability-zone"`
		Region string `toml:"region"`
	} `toml:"instance"`
	Listen struct {
		Callers   string `toml:"callers"`
		Operators string `toml:"operators"`
		Peers     string `toml:"peers"`
	} `toml:"listen"`
	Platform struct {
		LogService       string  `toml:"log-service"`
		InstanceList     string  `toml:"instance-list"`
		AppendsPerSecond float64 `toml:"appends-per-second"`
		CheckpointEvery  string  `toml:"checkpoint-every"`
	} `toml:"platform"`
	Operators struct {
		TokenSHA256 string `toml:"token-sha256"`
	} `toml:"operators"`
	Limits struct {
		ConcurrentAnswers  int    `toml:"concurrent-answers"`
		ConcurrentRequests int    `toml:"concurrent-requests"`
		Drain              string `toml:"drain"`
	} `toml:"limits"`
	Log struct {
		Level string `toml:"level"`
	} `toml:"log"`
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// LoadSettings reads and checks a settings file. If the file can be read, the error
// is that of ParseSettings.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(file, data)
}

// ParseSettings decodes and checks settings. The error is a *tomlpos.ProblemsError
// with every problem found; file is only used in its text.
func ParseSettings(file string, data []byte) (Settings, error) {
	var decoded tomlSettings
	index, problems := tomlpos.Decode(file, data, &decoded)
	c := checker{index: index, problems: problems}
	settings := c.settings(&decoded)
	c.checkConflicts(&settings)
	return settings, problems.Err()
}

type checker struct {
	index    tomlpos.Index
	problems *tomlpos.Problems
}

func (c *checker) addProblem(key, what, fix string) {
	c.problems.Add(c.index, key, what, fix)
}

func (c *checker) settings(w *tomlSettings) Settings {
	return Settings{
		Instance:              instancelist.ID(c.required("instance.id", w.Instance.ID)),
		Zone:                  instancelist.Zone(c.required("instance.availability-zone", w.Instance.Zone)),
		Region:                instancelist.Region(c.required("instance.region", w.Instance.Region)),
		CallersAddress:        c.address("listen.callers", w.Listen.Callers),
		OperatorsAddress:      c.address("listen.operators", w.Listen.Operators),
		PeersAddress:          c.address("listen.peers", w.Listen.Peers),
		LogAddress:            c.address("platform.log-service", w.Platform.LogService),
		InstanceListAddress:   c.address("platform.instance-list", w.Platform.InstanceList),
		AppendsPerSecond:      c.rate("platform.appends-per-second", w.Platform.AppendsPerSecond),
		CheckpointInterval:    c.duration("platform.checkpoint-every", w.Platform.CheckpointEvery, defaultCheckpointInterval),
		OperatorTokenHash:     c.hash("operators.token-sha256", w.Operators.TokenSHA256),
		MaxConcurrentAnswers:  c.count("limits.concurrent-answers", w.Limits.ConcurrentAnswers, defaultMaxConcurrentAnswers),
		MaxConcurrentRequests: c.count("limits.concurrent-requests", w.Limits.ConcurrentRequests, defaultMaxConcurrentRequests),
		DrainTimeout:          c.duration("limits.drain", w.Limits.Drain, defaultDrainTimeout),
		LogLevel:              c.level("log.level", w.Log.Level),
	}
}

func (c *checker) required(key, value string) string {
	if value == "" {
		c.addProblem(key, "is missing", "set it")
	}
	return value
}

func (c *checker) address(key, value string) string {
	if c.required(key, value) == "" {
		return ""
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.addProblem(key, fmt.Sprintf("%q is not an address", value), `write IP:PORT, as in "127.0.0.1:8080"`)
	}
	return value
}

func (c *checker) rate(key string, value float64) float64 {
	if value < 0 {
		c.addProblem(key, "is negative", "set the log service's limit")
	}
	if value == 0 {
		return defaultAppendsPerSecond
	}
	return value
}

func (c *checker) duration(key, value string, fallback time.Duration) time.Duration {
	return c.problems.Duration(c.index, key, value, fallback)
}

func (c *checker) hash(key, value string) environment.SecretHash {
	if !hashPattern.MatchString(value) {
		c.addProblem(key, "is not 64 hex digits", "make a token and its hash with: mulberryhead key")
	}
	return environment.SecretHash(value)
}

func (c *checker) count(key string, value, fallback int) int {
	if value < 0 || value > maxConcurrencySetting {
		c.addProblem(key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use 1 to %d", maxConcurrencySetting))
	}
	if value == 0 {
		return fallback
	}
	return value
}

func (c *checker) level(key, value string) zapcore.Level {
	if value == "" {
		return zapcore.InfoLevel
	}
	level, err := zapcore.ParseLevel(value)
	if err != nil {
		c.addProblem(key, fmt.Sprintf("%q is not a level", value), "use debug, info, warn or error")
	}
	return level
}

func (c *checker) checkConflicts(s *Settings) {
	if s.MaxConcurrentRequests < s.MaxConcurrentAnswers {
		c.addProblem("limits.concurrent-requests", "is below concurrent-answers", "raise it; every answer is a request too")
	}
	keyByAddress := map[string]string{}
	for _, listen := range []struct{ key, address string }{
		{"listen.callers", s.CallersAddress}, {"listen.operators", s.OperatorsAddress}, {"listen.peers", s.PeersAddress},
	} {
		_, port, err := net.SplitHostPort(listen.address)
		if err != nil || port == "0" {
			continue
		}
		if other, ok := keyByAddress[listen.address]; ok {
			c.addProblem(listen.key, "is the address of "+other+" too", "give each its own port")
		}
		keyByAddress[listen.address] = listen.key
	}
}
