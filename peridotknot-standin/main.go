// Command peridotknot-standin runs small stand-ins for what surrounds the
// router: key-value service, VM list, engines and services.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkstandin"
	"peridotknot.example/pkversion"
)

const (
	exitFailed   = 1
	exitBadInput = 2
)

type options struct {
	Settings string `long:"settings" description:"settings file, YAML"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return 0
		}
		return exitBadInput
	}
	if o.Version {
		fmt.Println(pkversion.Text())
		return 0
	}
	raw, err := os.ReadFile(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "--settings:", err)
		return exitBadInput
	}
	s, err := pkstandin.ParseSettings(o.Settings, raw)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBadInput
	}
	w, err := pkstandin.Start(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	hclog.Default().Info("standing in", "store", w.StoreAddr(), "platform", w.PlatformAddr(), "admin", w.AdminAddr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	w.Close()
	return 0
}
