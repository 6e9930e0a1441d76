package agent

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const lookEvery = time.Second // at the settings file, which also changes without a signal

// watchSettings reads the settings again when the file changes, with a signal or without.
func (a *Agent) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	seen := a.settingsChangedAt()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			a.reload("SIGHUP")
		case <-t.C:
			if at := a.settingsChangedAt(); !at.Equal(seen) {
				seen = at
				a.reload("file changed")
			}
		}
	}
}

func (a *Agent) settingsChangedAt() time.Time {
	if a.SettingsFile == "" {
		return time.Time{}
	}
	i, err := os.Stat(a.SettingsFile)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}

// reload takes the settings that can change while the agent runs; unusable ones leave those in force.
func (a *Agent) reload(why string) {
	if a.SettingsFile == "" {
		return
	}
	s, err := LoadSettings(a.SettingsFile)
	if err != nil {
		a.Log.Error(err, "settings not taken", "reason", why)
		return
	}
	a.localMu.Lock()
	defer a.localMu.Unlock()
	old := a.Settings
	next := old
	next.StopGrace, next.Heartbeat = s.StopGrace, s.Heartbeat
	a.Settings = next
	a.Log.Info("settings read", "reason", why, "changed", next != old, "needs_restart", s != next)
}
