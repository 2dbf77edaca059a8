// Package build tells which version a program was built from.
package build

import "runtime/debug"

// version is the version of the project; a release sets it.
const version = "0.1.0"

// Version returns the version, with the commit where the build knows it.
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
