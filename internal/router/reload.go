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

// settingsEvery is the pause between looks at the settings file, which may change
// without a signal.
const settingsEvery = 2 * time.Second

// watchSettings reads the settings again on SIGHUP and when their file has changed.
// What can't be used is refused and the old settings stay.
func (r *Router) watchSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last := r.settingsStamp()
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if r.settingsStamp() == last {
				continue
			}
			cause = "file changed"
		}
		last = r.settingsStamp()
		r.readSettingsAgain(cause)
	}
}

// stamp tells one state of a file from another.
type stamp struct {
	changed time.Time
	size    int64
}

// settingsStamp is zero where there is no file.
func (r *Router) settingsStamp() stamp {
	info, err := os.Stat(r.options.SettingsPath)
	if err != nil {
		return stamp{}
	}
	return stamp{changed: info.ModTime(), size: info.Size()}
}

func (r *Router) readSettingsAgain(cause string) {
	settings, err := platform.LoadSettings(r.options.SettingsPath)
	if err != nil {
		r.logger.Error("settings not usable, the old ones stay", zap.String("cause", cause), zap.Error(err))
		return
	}
	r.apply(time.Now(), settings)
	r.logger.Info("settings read again", zap.String("cause", cause), zap.Strings("from-next-start", fixedChanges(r.settings, settings)))
}

// apply puts in force what may change while an instance runs.
func (r *Router) apply(now time.Time, settings deployment.Settings) {
	r.grace.Store(int64(settings.ShutdownGrace))
	r.store.SetAddress(settings.StoreAddress)
	r.gateway.SetRetryBudget(now, settings)
	r.mesh.SetSeeds(otherSeeds(settings))
	limitMemory(settings)
}

// fixedChanges names the settings that differ and hold for the life of a process: who
// an instance is, and where it listens.
func fixedChanges(old, settings deployment.Settings) []string {
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
