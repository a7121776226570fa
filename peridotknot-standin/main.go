// Command peridotknot-standin runs stand-ins for the systems around the router: the key-value
// service, the VM list, engines and services.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"peridotknot.example/pkcli"
	"peridotknot.example/pkstandin"
)

func main() { os.Exit(pkcli.RunDaemon("", pkstandin.ParseSettings, serve)) }

func serve(s pkstandin.Settings, _ string) error {
	w, err := pkstandin.Start(s)
	if err != nil {
		return err
	}
	hclog.Default().Info("stand-ins started", "store", w.StoreAddr(), "platform", w.PlatformAddr(), "admin", w.AdminAddr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	w.Close()
	return nil
}
