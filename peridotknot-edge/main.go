// Command peridotknot-edge is the entry daemon on the users' platform.
package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"peridotknot.example/pkcli"
	"peridotknot.example/pkconn"
	"peridotknot.example/pkedge"
	"peridotknot.example/pkforward"
	"peridotknot.example/pklog"
	"peridotknot.example/pkversion"
	"peridotknot.example/platform"
)

func main() {
	os.Exit(pkcli.Daemon(os.Getenv(platform.SettingsVariable), pkedge.ParseSettings, serve))
}

const (
	// memoryShare is the share of the VM's memory that the Go heap may take before
	// it is collected harder; bytes in socket buffers count as well.
	memoryShare = 0.6
	bytesPerMB  = 1 << 20
)

func serve(s pkedge.Settings, file string) (err error) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * bytesPerMB))
	}
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
	log.Info("serving", "version", pkversion.Text(), "entry", s.Entry, "data_center", s.DataCenter, "callers", d.Callers(), "ready", d.Ready())
	go reload(ctx, file, d, log)
	return d.Run(ctx)
}

// reloadEvery is how often the settings file is read again; it may change without
// a signal, and is small.
const reloadEvery = 2 * time.Second

// reload reads the settings file again on SIGHUP and every now and then, until ctx
// ends. A file that is missing or wrong leaves the settings as they are.
func reload(ctx context.Context, file string, d *pkedge.Daemon, log hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	before, err := os.ReadFile(file)
	if err != nil {
		log.Warn("the settings file is not readable", "error", err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("told to reload the settings")
		case <-tick.C:
		}
		raw, err := os.ReadFile(file)
		if err != nil || bytes.Equal(raw, before) {
			continue
		}
		before = raw
		s, err := pkedge.ParseSettings(file, raw)
		if err != nil {
			log.Error("changed settings are passed over", "error", err)
			continue
		}
		d.Reload(s)
	}
}
