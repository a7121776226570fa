package pkcli

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkversion"
)

// Exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitBadInput = 2
)

// Common holds the options that all daemons share.
type Common struct {
	Settings string `long:"settings" description:"settings file, YAML"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Parse parses the command line of a daemon into data, which embeds common. It reports
// whether the program should exit, and with which code.
func Parse(data any, common *Common) (code int, exit bool) {
	args, err := flags.Parse(data)
	if IsHelp(err) {
		return ExitOK, true
	}
	if err != nil {
		return ExitBadInput, true
	}
	if len(args) > 0 {
		fmt.Fprintf(os.Stderr, "unexpected argument %q\n", args[0])
		return ExitBadInput, true
	}
	if common.Version {
		fmt.Println(pkversion.Text())
		return ExitOK, true
	}
	if common.Settings == "" {
		fmt.Fprintln(os.Stderr, "missing option: --settings FILE")
		return ExitBadInput, true
	}
	return ExitOK, false
}

// IsHelp reports whether err is the result of a request for help.
func IsHelp(err error) bool {
	var flagErr *flags.Error
	return errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp
}
