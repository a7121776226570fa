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

// versionItem returns a configuration as the store has it, which configDaemon reads.
func versionItem(v int, at pkstore.Revision) pkstore.Item {
	return pkstore.Item{Key: "config", Value: fmt.Append(nil, v), Revision: at}
}

// configDaemon is a daemon whose configurations are a version and nothing else.
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

// tells returns the item that the daemon tells an entry without a configuration.
func (d *Daemon) tells(t *testing.T, now time.Time) pkstore.Item {
	t.Helper()
	d.sharing.table.Hear(now, pkshare.Message{From: "fresh", Run: 1, Sequence: 1})
	table := d.book.Table()
	m := pkshare.Message{Config: table.Item.Revision, Version: table.Version}
	const patience = 500 * time.Millisecond // an entry is behind for longer before it is helped
	assert.Assert(t, !d.help(now, &m, "fresh", pkshare.Peer))
	assert.Assert(t, d.help(now.Add(patience), &m, "fresh", pkshare.Peer))
	return *m.NewConfig
}

// Guards against an entry that announces one version and tells another, so that others that lack the
// newer one never get it from there, and against one that ends when two sources bring its first one.
func TestTheVersionThatIsToldIsTheOneAnnounced(t *testing.T) {
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
	assert.DeepEqual(t, d.tells(t, time.Now()), versionItem(versions, versions))
}

// Guards against an entry that knows a version's place in a new era and tells that of the era before.
func TestAVersionIsToldAtItsPlaceInTheNewEra(t *testing.T) {
	d := configDaemon()
	d.adopt(versionItem(3, pkstore.NewRevision(1, 9)), "test")
	d.adopt(versionItem(3, pkstore.NewRevision(2, 5)), "test")
	assert.Equal(t, d.tells(t, time.Now()).Revision, pkstore.NewRevision(2, 5))
}
