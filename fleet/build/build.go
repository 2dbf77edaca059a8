// Package build reports the version from which a program was built.
package build

import "runtime/debug"

// version is the version of the project. It changes with each release.
const version = "0.1.0"

// Version returns the version, followed by the abbreviated commit if the build recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= 12 {
			return version + " (" + setting.Value[:12] + ")"
		}
	}
	return version
}
