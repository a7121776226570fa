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
	env, err := pkstandin.Start(s)
	if err != nil {
		return err
	}
	hclog.Default().Info("stand-ins started", "store", env.StoreAddr(), "platform", env.PlatformAddr(), "admin", env.AdminAddr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	env.Close()
	return nil
}
