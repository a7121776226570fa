package pklab

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkentry"
	"peridotknot.example/pkid"
)

// eventually waits until the condition holds and fails the test after a timeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("timed out waiting until %s", what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func status(l *Lab, i int) pkentry.Status { return l.Entry(i).Status(time.Now()) }

func waitForNeighbors(t *testing.T, l *Lab, entries int) {
	t.Helper()
	for i := range entries {
		eventually(t, "the entries are connected", func() bool { return len(status(l, i).Neighbors) == entries-1 })
	}
}

// An entry that starts while the key-value service is down must get the manifest from its peers and
// serve, and must adopt manifests that are published after the service has recovered.
func TestNewEntryStartsWhileStoreIsDown(t *testing.T) {
	l := startLab(t, 2)
	waitForNeighbors(t, l, 2)
	seed := l.Entry(0).PeersAddr()
	l.opts.ModifySettings = func(_ int, s *pkentry.Settings) { s.Peers.Seeds = []string{seed} }
	l.Standins.KV.SetDown(true)
	i, err := l.AddEntry()
	assert.NilError(t, err)
	assert.NilError(t, l.WaitReady(t.Context()))
	fresh := status(l, i)
	assert.Equal(t, fresh.Revision, pkid.Revision(1))
	assert.Assert(t, !fresh.StoreOK)

	l.Standins.KV.SetDown(false)
	assert.NilError(t, l.Republish())
	for i := range 3 {
		eventually(t, "the next manifest is in force", func() bool { return status(l, i).Revision == 2 })
	}
}

// After the store is restored from an older copy, its head names an older revision than the one in
// force. No entry may revert to it, and an alarm must be raised.
func TestRestoredStoreIsRejected(t *testing.T) {
	l := startLab(t, 2)
	old := l.Standins.KV.Snapshot()
	assert.NilError(t, l.Republish())
	for i := range 2 {
		eventually(t, "revision 2 is in force", func() bool { return status(l, i).Revision == 2 })
	}
	l.Standins.KV.Restore(old)
	eventually(t, "an alarm is raised", func() bool { return status(l, 0).Alarm+status(l, 1).Alarm != "" })
	assert.Equal(t, status(l, 0).Revision, pkid.Revision(2))
	assert.Equal(t, status(l, 1).Revision, pkid.Revision(2))
}

// A second entry with the same ID must be reported by an alarm.
func TestDuplicateEntryID(t *testing.T) {
	l := startLab(t, 2)
	waitForNeighbors(t, l, 2)
	l.opts.ModifySettings = func(_ int, s *pkentry.Settings) { s.Entry = "entry-0" }
	_, err := l.AddEntry()
	assert.NilError(t, err)
	eventually(t, "the duplicate ID is reported", func() bool { return status(l, 1).Alarm != "" })
}

// After the planned stop of an entry, its neighbors must remove it.
func TestPlannedStopNotifiesPeers(t *testing.T) {
	l := startLab(t, 3)
	waitForNeighbors(t, l, 3)
	assert.NilError(t, l.StopEntry(2))
	eventually(t, "the neighbors have removed the entry", func() bool {
		return len(status(l, 0).Neighbors) == 1 && len(status(l, 1).Neighbors) == 1
	})
}
