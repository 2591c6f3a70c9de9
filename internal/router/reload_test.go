package router

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// TestReloadSettings checks that an instance whose settings name an unreachable store
// becomes ready after a reload with the right address, and that invalid settings change
// nothing.
func TestReloadSettings(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, platformtest.ConfigurationJSON(1, false))
	path := filepath.Join(t.TempDir(), "node.conf")
	local := func() deployment.Address {
		return deployment.Address(fmt.Sprintf("127.0.0.1:%d", freePort(t)))
	}
	written := deployment.Settings{
		Instance: "a", Zone: "z", IP: "127.0.0.1", FrontAddress: local(), ReadyAddress: local(), PeerAddress: local(),
		StoreAddress: local(), ShutdownGrace: 4 * time.Second, RetryWindow: time.Second,
	}
	write := func(text []byte) { assert.NilError(t, os.WriteFile(path, text, 0o600)) }
	write(platformtest.FormatSettings(written))
	settings, err := platform.LoadSettings(path)
	assert.NilError(t, err)
	r := newRouter(settings, Options{SettingsPath: path, MetricsPort: freePort(t), Output: io.Discard})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.run(ctx) }()
	write([]byte("not settings"))
	r.reloadSettings("test")
	assert.Equal(t, time.Duration(r.shutdownGrace.Load()), 4*time.Second)
	written.StoreAddress = store.Address()
	written.ShutdownGrace = time.Second
	write(platformtest.FormatSettings(written))
	r.reloadSettings("test")
	for deadline := time.Now().Add(waitTimeout); !r.ready(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "not ready")
	}
	assert.Equal(t, time.Duration(r.shutdownGrace.Load()), time.Second)
	stop()
	assert.NilError(t, <-done)
}

// TestChangesNeedingRestart checks that changed settings which are fixed for the life of a
// process are reported, and others are not.
func TestChangesNeedingRestart(t *testing.T) {
	old := deployment.Settings{Instance: "a", Zone: "z", PeerAddress: "10.0.0.1:1", ShutdownGrace: time.Second}
	settings := old
	settings.ShutdownGrace = 2 * time.Second
	settings.PeerAddress = "10.0.0.1:2"
	settings.Zone = "y"
	assert.DeepEqual(t, changesNeedingRestart(old, settings), []string{"zone", "peer-address"})
}
