package pkedge

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

// versionItem returns a store item with a configuration in the format of configDaemon.
func versionItem(v int, at pkstore.Revision) pkstore.Item {
	return pkstore.Item{Key: "config", Value: fmt.Append(nil, v), Revision: at}
}

// configDaemon returns a daemon whose configurations consist of a version only.
func configDaemon() *Daemon {
	d := &Daemon{log: hclog.NewNullLogger(), configured: make(chan struct{})}
	d.ConfigKey = "config"
	d.Config = func(raw []byte) (pkconfig.Config, error) {
		var c pkconfig.Config
		_, err := fmt.Sscan(string(raw), &c.Version)
		return c, err
	}
	return d
}

// sentConfig returns the item that the daemon sends to an entry without a configuration.
func (d *Daemon) sentConfig(t *testing.T, now time.Time) pkstore.Item {
	t.Helper()
	d.gossip.table.Apply(now, pkshare.Message{From: "fresh", Run: 1, Sequence: 1})
	table := d.configs.Table()
	m := pkshare.Message{Config: table.Item.Revision, Version: table.Version}
	// The configuration is sent only after the receiver has lacked it for this long.
	const missingFor = 500 * time.Millisecond
	assert.Assert(t, !d.addCatchUp(now, &m, "fresh", pkshare.Peer))
	assert.Assert(t, d.addCatchUp(now.Add(missingFor), &m, "fresh", pkshare.Peer))
	return *m.NewConfig
}

// Guards against an entry that announces one version and sends another, and against one that panics
// when two sources deliver its first configuration at the same time.
func TestTheAnnouncedVersionIsSent(t *testing.T) {
	const versions, sources = 200, 4
	d := configDaemon()
	var wg sync.WaitGroup
	for source := range sources {
		wg.Go(func() {
			for v := 1 + source; v <= versions; v += sources {
				d.adopt(versionItem(v, pkstore.Revision(v)), "test")
			}
		})
	}
	wg.Wait()
	assert.DeepEqual(t, d.sentConfig(t, time.Now()), versionItem(versions, versions))
}

// Guards against an entry that sends a version with its revision in the previous era although it
// knows the one in the new era.
func TestVersionIsSentWithItsRevisionInTheNewEra(t *testing.T) {
	d := configDaemon()
	d.adopt(versionItem(3, pkstore.NewRevision(1, 9)), "test")
	d.adopt(versionItem(3, pkstore.NewRevision(2, 5)), "test")
	assert.Equal(t, d.sentConfig(t, time.Now()).Revision, pkstore.NewRevision(2, 5))
}
