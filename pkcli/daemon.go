package pkcli

import (
	"fmt"
	"os"

	"peridotknot.example/pksignal"
)

// daemonOptions holds the options of a daemon.
type daemonOptions struct {
	Common
	Check bool `long:"check" description:"check the settings file and exit"`
}

// Daemon is what a daemon's serve function works with.
type Daemon[S any] struct {
	// Settings are those of File when the process started.
	Settings S
	File     *SettingsFile[S]
	Signals  *pksignal.Receiver
}

// RunDaemon parses a daemon's command line and settings file, calls serve and returns the
// exit code. If the command line has no settings file, file is used.
func RunDaemon[S any](file string, parse func(file string, body []byte) (S, error), serve func(Daemon[S]) error) int {
	signals := pksignal.Listen()
	o := daemonOptions{Common: Common{Settings: file}}
	if code, exit := Parse(&o, &o.Common); exit {
		return code
	}
	f := &SettingsFile[S]{path: o.Settings, parse: parse}
	s, err := f.Read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitBadInput
	}
	if o.Check {
		return ExitOK
	}
	if err := serve(Daemon[S]{Settings: s, File: f, Signals: signals}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}
