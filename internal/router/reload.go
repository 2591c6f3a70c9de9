package router

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

// settingsPollInterval is the interval between checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when their file has changed, until ctx
// ends. Invalid settings are rejected as a whole and the current ones stay.
func (r *Router) watchSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := r.settingsFileState()
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if r.settingsFileState() == last {
				continue
			}
			cause = "file changed"
		}
		last = r.settingsFileState()
		r.reloadSettings(cause)
	}
}

// fileState identifies a version of a file by its modification time and size.
type fileState struct {
	modTime time.Time
	size    int64
}

// settingsFileState returns the state of the settings file, zero if it can't be examined.
func (r *Router) settingsFileState() fileState {
	info, err := os.Stat(r.options.SettingsPath)
	if err != nil {
		return fileState{}
	}
	return fileState{modTime: info.ModTime(), size: info.Size()}
}

func (r *Router) reloadSettings(cause string) {
	settings, err := platform.LoadSettings(r.options.SettingsPath)
	if err != nil {
		r.logger.Error("settings not usable, the old ones stay", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.applySettings(time.Now(), settings)
	r.logger.Info("settings read again", zap.String("cause", cause), zap.Strings("from-next-start", changesNeedingRestart(r.settings, settings)))
}

// applySettings applies the settings that may change while an instance runs.
func (r *Router) applySettings(now time.Time, settings deployment.Settings) {
	r.shutdownGrace.Store(int64(settings.ShutdownGrace))
	r.store.SetAddress(settings.StoreAddress)
	r.gateway.SetRetryBudget(now, settings)
	r.mesh.SetSeeds(otherSeeds(settings))
	limitMemory(settings)
	r.limitSettings.Store(&settings)
}

// changesNeedingRestart returns the settings that differ and are fixed for the life of a
// process: the identity of the instance and its listen addresses. The names are this
// program's: instance is node-name in the settings file, front-address listen.front,
// ready-address listen.ready, and peer-address listen.control or, without that, port-range.
func changesNeedingRestart(old, settings deployment.Settings) []string {
	var changed []string
	for _, setting := range []struct {
		name    string
		differs bool
	}{
		{"instance", old.Instance != settings.Instance},
		{"zone", old.Zone != settings.Zone},
		{"ip", old.IP != settings.IP},
		{"front-address", old.FrontAddress != settings.FrontAddress},
		{"ready-address", old.ReadyAddress != settings.ReadyAddress},
		{"peer-address", old.PeerAddress != settings.PeerAddress},
	} {
		if setting.differs {
			changed = append(changed, setting.name)
		}
	}
	return changed
}
