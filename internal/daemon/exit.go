package daemon

import "errors"

// exitCode distinguishes errors in the settings from errors at run time.
func exitCode(err error) int {
	var settings settingsError
	if errors.As(err, &settings) {
		return ExitSettings
	}
	return ExitFailed
}
