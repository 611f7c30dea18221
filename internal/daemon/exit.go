package daemon

import "errors"

// exitCode tells errors of the settings from those of running.
func exitCode(err error) int {
	var settings settingsError
	if errors.As(err, &settings) {
		return ExitSettings
	}
	return ExitFailed
}
