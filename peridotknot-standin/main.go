// Command peridotknot-standin runs small stand-ins for what surrounds the
// router: key-value service, VM list, engines and services.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"peridotknot.example/pkcli"
	"peridotknot.example/pkstandin"
)

func main() { os.Exit(run()) }

func run() int {
	var o pkcli.Common
	if code, exit := pkcli.Parse(&o, &o); exit {
		return code
	}
	var s pkstandin.Settings
	err := o.ReadSettings(func(file string, body []byte) (err error) {
		s, err = pkstandin.ParseSettings(file, body)
		return err
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return pkcli.ExitBadInput
	}
	w, err := pkstandin.Start(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return pkcli.ExitFailed
	}
	hclog.Default().Info("standing in", "store", w.StoreAddr(), "platform", w.PlatformAddr(), "admin", w.AdminAddr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	w.Close()
	return pkcli.ExitOK
}
