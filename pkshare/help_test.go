package pkshare

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
)

// cutService is the service whose targets entries are cut off from in these tests.
const cutService = pkid.ServiceID("s")

// cutOff is the state of an entry that is cut off.
var cutOff = []pkid.ServiceID{cutService}

// helpFleet is a hub's view of its data centre, of which some entries are cut off.
func helpFleet(now time.Time, dc pkid.DataCenter, entries, impaired int) (hub *Table, own Message) {
	hub = &Table{}
	for i := range entries {
		id := pkid.EntryID(fmt.Sprintf("edge-%s-%d", dc, i))
		m := Message{From: id, Addr: fmt.Sprintf("10.1.%d.%d:8607", i/200, i%200), DataCenter: dc, Sequence: 1, Relays: true}
		if i < impaired {
			m.Impaired = cutOff
		}
		if i == 0 {
			own = m
		} else {
			hub.Apply(now, m)
		}
	}
	return hub, own
}

// confirmed returns the entries that are confirmed as reaching the targets, by their IDs.
func confirmed(t *Table, now time.Time, self Member) map[pkid.EntryID]bool {
	out := map[pkid.EntryID]bool{}
	for _, one := range t.RelayMembers(now, self, cutService, nil) {
		if one.Confirmed {
			out[one.ID] = true
		}
	}
	return out
}

// Guards against an entry that hears from its hubs only and asks those that are cut off with it: what hubs report must
// name entries in order only, and over some messages most of them.
func TestHubsReportEntriesInOrder(t *testing.T) {
	for _, size := range []struct{ entries, impaired int }{{15, 1}, {23, 12}, {58, 13}, {58, 57}, {200, 100}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			hub, own := helpFleet(start, "a", size.entries, size.impaired)
			var spoke Table
			known := map[pkid.EntryID]bool{}
			for i := range 100 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				spoke.Apply(now, Message{From: own.From, Addr: own.Addr, DataCenter: "a", Sequence: uint64(i) + 1, Relays: true, Impaired: own.Impaired, Help: hub.Help(now, own, Spoke)})
				assert.Assert(t, spoke.HelpReported(now, time.Time{}) && !spoke.HelpReported(now, now))
				for id := range confirmed(&spoke, now, Member{ID: "self", DataCenter: "a"}) {
					known[id] = true
				}
			}
			for id := range known {
				assert.Assert(t, !hub.ImpairedPeers(start)[id] && id != own.From, "%s is cut off", id)
			}
			inOrder := size.entries - size.impaired
			assert.Assert(t, len(known) >= inOrder*8/10, "%d of %d known", len(known), inOrder)
			assert.Equal(t, len(confirmed(&spoke, start.Add(time.Minute), Member{DataCenter: "a"})), 0, "an old report")
		})
	}
}

// Guards against a data centre that is cut off as a whole and finds nobody, and against hubs that report helpers of other
// data centres while their own have enough.
func TestHubsAskOtherDataCentersForHelp(t *testing.T) {
	for _, row := range []struct {
		impaired int
		asks     bool
	}{{0, false}, {10, false}, {12, true}, {23, true}} {
		local, own := helpFleet(start, "a", 23, row.impaired)
		remote, remoteOwn := helpFleet(start, "b", 23, 0)
		asked := local.Help(start, own, RemoteHub)
		assert.Equal(t, asked != nil && asked.Wanted, row.asks, "%d cut off", row.impaired)
		own.Help = asked
		assert.Equal(t, remote.WantsHelp(start, own), row.asks || len(own.Impaired) > 0)
		remote.Apply(start, own)
		assert.Assert(t, !remote.WantsHelp(start, own), "asked before")
		remoteOwn.Help = remote.Help(start, remoteOwn, RemoteHub)
		local.Apply(start, remoteOwn)
		far := 0
		for range 20 {
			for _, one := range local.Help(start, own, Spoke).Helpers {
				if one.DataCenter == "b" {
					far++
				}
			}
		}
		assert.Equal(t, far > 0, row.asks, "%d cut off, %d helpers of the other data centre", row.impaired, far)
	}
}

// Guards against a hub that spends more on reports than an entry may send, where all entries of a data centre of the
// target size are cut off.
func TestReportsOfHelpersFitTheTrafficOfAHub(t *testing.T) {
	const entries, bytesPerSecond = 58, 20_000
	hub, own := helpFleet(start, "a", entries, entries)
	remote, remoteOwn := helpFleet(start, "b", entries, 0)
	own.Help = hub.Help(start, own, RemoteHub)
	remote.Apply(start, own)
	remoteOwn.Help = remote.Help(start, remoteOwn, RemoteHub)
	hub.Apply(start, remoteOwn)
	raw, err := pkpeer.Encode(*hub.Help(start, own, Spoke))
	assert.NilError(t, err)
	rate := float64(len(raw)*entries) / HelpInterval.Seconds()
	t.Logf("%d bytes a report, %.0f a second", len(raw), rate)
	assert.Assert(t, rate <= bytesPerSecond, "%.0f bytes a second", rate)
}
