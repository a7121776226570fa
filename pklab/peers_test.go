package pklab

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkentry"
	"peridotknot.example/pkid"
)

// eventually waits for a state of the lab; the limit only ends a test that
// would never pass.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for !is() {
		select {
		case <-ctx.Done():
			t.Fatalf("never: %s", what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func status(l *Lab, i int) pkentry.Status { return l.Entry(i).Status(time.Now()) }

func meet(t *testing.T, l *Lab, entries int) {
	t.Helper()
	for i := range entries {
		eventually(t, "the entries meet", func() bool { return len(status(l, i).Neighbors) == entries-1 })
	}
}

// The key-value service is down for hours. A VM is replaced, and the new one
// has no disk. It must learn the manifest from its peers and serve; and what is
// published once the store is back must reach it too.
func TestFreshEntryWithStoreDown(t *testing.T) {
	l := startLab(t, 2)
	meet(t, l, 2)
	seed := l.Entry(0).Peers()
	l.opts.Change = func(_ int, s *pkentry.Settings) { s.Peers.Seeds = []string{seed} }
	l.World.KV.SetDown(true)
	i, err := l.AddEntry()
	assert.NilError(t, err)
	assert.NilError(t, l.WaitReady(t.Context()))
	fresh := status(l, i)
	assert.Equal(t, fresh.Revision, pkid.Revision(1))
	assert.Assert(t, !fresh.StoreOK)

	l.World.KV.SetDown(false)
	assert.NilError(t, l.Republish())
	for i := range 3 {
		eventually(t, "the next manifest is in force", func() bool { return status(l, i).Revision == 2 })
	}
}

// The store is restored from an older copy. Its head names a revision that is
// behind the one in force. No entry may go back, and the operator must see why.
func TestRestoredStoreIsRefused(t *testing.T) {
	l := startLab(t, 2)
	old := l.World.KV.Snapshot()
	assert.NilError(t, l.Republish())
	for i := range 2 {
		eventually(t, "revision 2 is in force", func() bool { return status(l, i).Revision == 2 })
	}
	l.World.KV.Restore(old)
	eventually(t, "an alarm is raised", func() bool { return status(l, 0).Alarm+status(l, 1).Alarm != "" })
	assert.Equal(t, status(l, 0).Revision, pkid.Revision(2))
	assert.Equal(t, status(l, 1).Revision, pkid.Revision(2))
}

// Two VMs were given one entry id. Both must go on, and both must say so.
func TestTwoVMsWithOneID(t *testing.T) {
	l := startLab(t, 2)
	meet(t, l, 2)
	l.opts.Change = func(_ int, s *pkentry.Settings) { s.Entry = "entry-0" }
	_, err := l.AddEntry()
	assert.NilError(t, err)
	eventually(t, "the twin is seen", func() bool { return status(l, 1).Alarm != "" })
}

// An entry stops as planned. The others must stop counting on it at once, and
// nothing that it had in progress may break.
func TestPlannedStopTellsPeers(t *testing.T) {
	l := startLab(t, 3)
	meet(t, l, 3)
	assert.NilError(t, l.StopEntry(2))
	eventually(t, "the neighbors know", func() bool {
		return len(status(l, 0).Neighbors) == 1 && len(status(l, 1).Neighbors) == 1
	})
}
