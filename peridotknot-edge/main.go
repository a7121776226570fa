// Command peridotknot-edge is the entry daemon for the platform of the users.
package main

import (
	"errors"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"peridotknot.example/pkcli"
	"peridotknot.example/pkconn"
	"peridotknot.example/pkedge"
	"peridotknot.example/pkforward"
	"peridotknot.example/pklog"
	"peridotknot.example/pksignal"
	"peridotknot.example/pkversion"
	"peridotknot.example/platform"
)

func main() {
	os.Exit(pkcli.RunDaemon(os.Getenv(platform.SettingsVariable), pkedge.ParseSettings, serve))
}

// reloadInterval is how often the settings file is checked for changes that come without a signal.
const reloadInterval = 2 * time.Second

func serve(process pkcli.Daemon[pkedge.Settings]) (err error) {
	s := process.Settings
	out := pklog.NewWriter(os.Stdout)
	defer func() { err = errors.Join(err, out.Close()) }()
	log := hclog.New(&hclog.LoggerOptions{Name: "peridotknot-edge", Level: hclog.Info, JSONFormat: true, Output: out})
	o := pkconn.DefaultOptions()
	store := platform.NewStore(s.Store, o)
	o.Registry = new(pkconn.Registry)
	engines := platform.NewEngines(o)
	sender := pkforward.NewSender(platform.Headers{}, o)
	defer func() { err = errors.Join(err, store.Close(), engines.Close(), sender.Close()) }()
	d, err := pkedge.New(s, pkedge.Ports{
		Store: store, Feed: store,
		ConfigKey: platform.ConfigKey, ReplicaPrefix: platform.ReplicaPrefix, OwnPrefix: platform.OwnPrefix,
		Config: platform.DecodeConfig, Replica: platform.DecodeReplica, ReplicaID: platform.ReplicaID,
		Dialect: platform.Headers{}, Sender: sender, Engines: engines, Conns: o.Registry,
	}, log)
	if err != nil {
		return err
	}
	log.Info("serving", "version", pkversion.Text(), "entry", s.Entry, "data_center", s.DataCenter, "callers", d.CallersAddr(), "ready", d.ReadyAddr())
	reload := func() { reload(process.File, d, log) }
	return process.Signals.Run(pksignal.Options{Log: log, Reload: reload, ReloadInterval: reloadInterval}, d.Run)
}

// reload applies the settings file if it has changed. If it is missing or invalid, the current settings stay in force.
func reload(file *pkcli.SettingsFile[pkedge.Settings], d *pkedge.Daemon, log hclog.Logger) {
	s, changed, err := file.ReadChanged()
	if err != nil {
		log.Error("invalid settings file, keeping the current settings", "error", err)
	}
	if changed {
		d.Reload(s)
	}
}
