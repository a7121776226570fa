package pkversion

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// stamp is the version of a release, set with -ldflags "-X peridotknot.example/pkversion.stamp=v1".
var stamp string

// Text returns the version, the commit if it is recorded in the build, and the version
// of Go.
func Text() string {
	version, commit := stamp, ""
	if info, ok := debug.ReadBuildInfo(); ok {
		if version == "" {
			version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = " " + s.Value
			}
		}
	}
	return fmt.Sprintf("peridotknot %s%s %s", version, commit, runtime.Version())
}
