package agent

import (
	"time"

	"github.com/yuccaport/yuccaport/src/settings"
)

const (
	defaultExposureShare = 0.1
	defaultExposureSlack = 50
	defaultRollback      = settings.Duration(5 * time.Second)

	// minRollback is the shortest time within which a version can be stopped: a server that no stop
	// reaches runs calls until its permit ends, 1.5 s after its last report, and finding that the
	// version is bad takes a few reports.
	minRollback = settings.Duration(2500 * time.Millisecond)
)

// RolloutSettings bounds what a bad version of a service may do to requests during a rollout.
type RolloutSettings struct {
	ExposureShare float64           `toml:"exposure_share"` // of the requests to the service from the order to its deadline that a bad version may get; 0 for the default
	ExposureSlack float64           `toml:"exposure_slack"` // requests that a bad version may get beyond that share; 0 for the default
	Rollback      settings.Duration `toml:"rollback"`       // time from a version's 50th bad answer until it gets no more requests; 0 for the default
}

// WithDefaults returns the settings with defaults for zero fields.
func (s RolloutSettings) WithDefaults() RolloutSettings {
	if s.ExposureShare == 0 {
		s.ExposureShare = defaultExposureShare
	}
	if s.ExposureSlack == 0 {
		s.ExposureSlack = defaultExposureSlack
	}
	if s.Rollback == 0 {
		s.Rollback = defaultRollback
	}
	return s
}

func (s RolloutSettings) validate(file string) error {
	switch d := s.WithDefaults(); {
	case !(d.ExposureShare > 0 && d.ExposureShare <= 1):
		return settingsError(file, "rollout.exposure_share", s.ExposureShare, "set it to a share above 0 and at most 1, such as 0.1, or remove it")
	case !(d.ExposureSlack > 0):
		return settingsError(file, "rollout.exposure_slack", s.ExposureSlack, "set it to a number of requests above 0, such as 50, or remove it")
	case d.Rollback < minRollback:
		return settingsError(file, "rollout.rollback", s.Rollback.Std(), "set it to at least 2.5s, or remove it")
	}
	return nil
}
