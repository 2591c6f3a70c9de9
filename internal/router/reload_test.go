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

// TestSettingsTakeEffect: an instance whose settings name a store that is not there
// becomes ready once they name the right one; settings that can't be used change
// nothing.
func TestSettingsTakeEffect(t *testing.T) {
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
	r.readSettingsAgain("test")
	assert.Equal(t, time.Duration(r.grace.Load()), 4*time.Second)
	written.StoreAddress = store.Address()
	written.ShutdownGrace = time.Second
	write(platformtest.FormatSettings(written))
	r.readSettingsAgain("test")
	for deadline := time.Now().Add(patience); !r.ready(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "not ready")
	}
	assert.Equal(t, time.Duration(r.grace.Load()), time.Second)
	stop()
	assert.NilError(t, <-done)
}

// TestFixedChanges names what needs another start.
func TestFixedChanges(t *testing.T) {
	old := deployment.Settings{Instance: "a", Zone: "z", PeerAddress: "10.0.0.1:1", ShutdownGrace: time.Second}
	settings := old
	settings.ShutdownGrace = 2 * time.Second
	settings.PeerAddress = "10.0.0.1:2"
	settings.Zone = "y"
	assert.DeepEqual(t, fixedChanges(old, settings), []string{"zone", "peer-address"})
}
