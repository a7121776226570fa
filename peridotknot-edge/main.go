// Command peridotknot-edge is the entry daemon for the platform of the users.
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
	os.Exit(pkcli.RunDaemon(os.Getenv(platform.SettingsVariable), pkedge.ParseSettings, serve))
}

const (
	// memoryShare is the fraction of the VM's memory that is set as Go's soft memory limit. The rest
	// is for memory outside of the Go runtime, such as socket buffers.
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
	log.Info("serving", "version", pkversion.Text(), "entry", s.Entry, "data_center", s.DataCenter, "callers", d.CallersAddr(), "ready", d.ReadyAddr())
	go reload(ctx, file, d, log)
	return d.Run(ctx)
}

// reloadInterval is how often the settings file is checked for changes that come without a signal.
const reloadInterval = 2 * time.Second

// reload rereads the settings file on SIGHUP and at regular intervals until ctx ends. If the file is
// missing or invalid, the current settings stay in force.
func reload(ctx context.Context, file string, d *pkedge.Daemon, log hclog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.Warn("settings file is not readable", "error", err)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("received SIGHUP, checking the settings file")
		case <-tick.C:
		}
		raw, err := os.ReadFile(file)
		if err != nil || bytes.Equal(raw, last) {
			continue
		}
		last = raw
		s, err := pkedge.ParseSettings(file, raw)
		if err != nil {
			log.Error("invalid settings file, keeping the current settings", "error", err)
			continue
		}
		d.Reload(s)
	}
}
