package pkcli

import (
	"fmt"
	"os"
)

// daemonOptions holds the options of a daemon.
type daemonOptions struct {
	Common
	Check bool `long:"check" description:"check the settings file and exit"`
}

// RunDaemon parses a daemon's command line and settings file, calls serve and returns the
// exit code. If the command line has no settings file, file is used.
func RunDaemon[S any](file string, parse func(file string, body []byte) (S, error), serve func(s S, file string) error) int {
	o := daemonOptions{Common: Common{Settings: file}}
	if code, exit := Parse(&o, &o.Common); exit {
		return code
	}
	var s S
	err := o.ReadSettings(func(file string, body []byte) (err error) {
		s, err = parse(file, body)
		return err
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitBadInput
	}
	if o.Check {
		return ExitOK
	}
	if err := serve(s, o.Settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}
