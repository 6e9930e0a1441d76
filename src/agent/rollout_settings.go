package agent

const defaultMaxShare = 0.1

// RolloutSettings bounds what a bad version of a service may do to requests during a rollout.
type RolloutSettings struct {
	MaxShare float64 `toml:"max_share"` // of the requests to the service from the order to its deadline that a bad version may get; 0 for the default
}

// WithDefaults returns the settings with defaults for zero fields.
func (s RolloutSettings) WithDefaults() RolloutSettings {
	if s.MaxShare == 0 {
		s.MaxShare = defaultMaxShare
	}
	return s
}

func (s RolloutSettings) validate(file string) error {
	if d := s.WithDefaults(); !(d.MaxShare > 0 && d.MaxShare <= 1) {
		return settingsError(file, "rollout.max_share", s.MaxShare, "set it to a share above 0 and at most 1, such as 0.1, or remove it")
	}
	return nil
}
