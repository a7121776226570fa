package pkversion

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// stamp is set by the linker for a release: -X peridotknot.example/pkversion.stamp=v1.
var stamp string

// Text returns the version, the commit if the build knows it, and the
// compiler.
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
