// Command peridotknot-standin runs stand-ins for the systems around the router: the key-value
// service, the VM list, engines and services.
package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"peridotknot.example/pkcli"
	"peridotknot.example/pksignal"
	"peridotknot.example/pkstandin"
)

func main() { os.Exit(pkcli.RunDaemon("", pkstandin.ParseSettings, serve)) }

func serve(process pkcli.Daemon[pkstandin.Settings]) error {
	env, err := pkstandin.Start(process.Settings)
	if err != nil {
		return err
	}
	hclog.Default().Info("stand-ins started", "store", env.StoreAddr(), "platform", env.PlatformAddr(), "admin", env.AdminAddr())
	return process.Signals.Run(pksignal.Options{Log: hclog.Default()}, func(ctx context.Context) error {
		<-ctx.Done()
		env.Close()
		return nil
	})
}
