// Command peridotknot is the command-line client for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkcli"
	"peridotknot.example/pkversion"
	"peridotknot.example/pkyaml"
)

// globalOptions are the options of every command.
type globalOptions struct {
	Output  string `long:"output" choice:"text" choice:"json" default:"text" description:"output format of tables"`
	Version bool   `long:"version" description:"print the version and exit"`
}

var options globalOptions

var (
	// errBadInput marks errors in the operator's input.
	errBadInput = errors.New("bad input")
	// errReported is a negative result whose details are printed already.
	errReported = errors.New("")
)

func badInput(format string, args ...any) error {
	return fmt.Errorf("%w: %w", errBadInput, fmt.Errorf(format, args...))
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	p := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "command-line client of the peridotknot router for operators"
	p.SubcommandsOptional = true
	for _, add := range []func(*flags.Parser) error{addManifest, addStatus, addReplay, addTry, addKeys, addTrace, addMeasure, addExplain} {
		if err := add(p); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return pkcli.ExitFailed
		}
	}
	rest, err := p.ParseArgs(args)
	if err == nil && options.Version {
		fmt.Println(pkversion.Text())
		return pkcli.ExitOK
	}
	if err == nil && p.Active == nil && len(rest) > 0 {
		return exitCode(badInput("unknown command %q", rest[0]))
	}
	if err == nil && p.Active == nil {
		p.WriteHelp(os.Stderr)
		return pkcli.ExitBadInput
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var flagErr *flags.Error
	var faults pkyaml.Faults
	switch {
	case err == nil:
		return pkcli.ExitOK
	case pkcli.IsHelp(err):
		fmt.Println(err)
		return pkcli.ExitOK
	case errors.Is(err, errReported):
		return pkcli.ExitFailed
	case errors.As(err, &flagErr), errors.Is(err, errBadInput), errors.As(err, &faults):
		fmt.Fprintln(os.Stderr, err)
		return pkcli.ExitBadInput
	default:
		fmt.Fprintln(os.Stderr, err)
		return pkcli.ExitFailed
	}
}

// interruptContext returns a context that is canceled on SIGINT and SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// addCommand adds a command to a parser or to another command.
func addCommand(to interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}, name, short string, data any,
) error {
	_, err := to.AddCommand(name, short, short, data)
	return err
}

// commandGroup is the data of commands that only have subcommands.
type commandGroup struct{}
