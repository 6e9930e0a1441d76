package agent

import (
	"context"
	"os"
	"time"
)

const settingsPollInterval = time.Second // interval between checks of the settings file's modification time

// watchSettings reloads the settings on a value of Reload and when the file's modification time changes.
func (a *Agent) watchSettings(ctx context.Context) error {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	lastModTime := a.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.Reload:
			a.reload("SIGHUP")
		case <-t.C:
			if at := a.settingsModTime(); !at.Equal(lastModTime) {
				lastModTime = at
				a.reload("file changed")
			}
		}
	}
}

// settingsModTime returns the settings file's modification time, zero if there is no file or it cannot be read.
func (a *Agent) settingsModTime() time.Time {
	if a.SettingsFile == "" {
		return time.Time{}
	}
	info, err := os.Stat(a.SettingsFile)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and applies StopGrace and Heartbeat; needs_restart in the log reports whether other settings differ from those in force. Invalid settings leave the current ones in force.
func (a *Agent) reload(reason string) {
	if a.SettingsFile == "" {
		return
	}
	s, err := LoadSettings(a.SettingsFile)
	if err != nil {
		a.Log.Error(err, "settings rejected", "reason", reason)
		return
	}
	a.backendMu.Lock()
	defer a.backendMu.Unlock()
	old := a.Settings
	updated := old
	updated.StopGrace, updated.Heartbeat = s.StopGrace, s.Heartbeat
	a.Settings = updated
	a.Log.Info("settings reloaded", "reason", reason, "changed", updated != old, "needs_restart", s != updated)
}
