// Package build names the build that runs.
package build

import "runtime/debug"

const (
	unknown = "unknown"
	// shortLength is the length of an abbreviated revision.
	shortLength = 7
)

// version is set by the linker, see deploy/system.toml.
var version string

// Version returns the abbreviated revision that the program was built from, "unknown" if the build
// did not record it.
func Version() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return revision(info.Settings)
}

func revision(settings []debug.BuildSetting) string {
	for _, s := range settings {
		if s.Key == "vcs.revision" && s.Value != "" {
			return s.Value[:min(shortLength, len(s.Value))]
		}
	}
	return unknown
}
