package pkedge

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

// Guards against a retry budget that grows when the hubs that report the number of members are
// lost, and against an owner of the pools that does not follow the members and misses its
// successor.
func TestHubsReportTheNumberOfMembers(t *testing.T) {
	d, _ := poolDaemon()
	d.settings.Entry = "own"
	now := time.Now()
	hub := pkshare.Message{From: "hub", Sequence: 1, Following: true, Members: 78, Sum: &pkshare.Sum{Global: true}}
	d.receiveMessage(now, hub)
	assert.Assert(t, !d.membersRelayed(now), "the members were not read yet")
	d.members.known = true
	assert.Assert(t, d.membersRelayed(now))
	assert.Equal(t, d.entryCount(now), 78)

	hub.Sequence, hub.Members = 2, 90
	d.receiveMessage(now, hub)
	assert.Equal(t, d.entryCount(now), 90)

	later := now.Add(time.Minute)
	assert.Assert(t, !d.membersRelayed(later))
	assert.Equal(t, d.entryCount(later), 90, "the hubs are lost")
	d.members.census.BeginList(later)
	assert.Equal(t, d.entryCount(later), 1)

	d.members.owner = "own"
	hub.Sequence = 3
	d.receiveMessage(later, hub)
	assert.Assert(t, !d.membersRelayed(later), "the owner follows the members itself")
}

// Guards against a stale read of the members that undoes a later one, after which an entry would
// register a second time or dial hubs that are gone.
func TestAnOlderListOfTheMembersIsIgnored(t *testing.T) {
	d, _ := poolDaemon()
	d.OwnPrefix, d.settings.Entry = "own/", "self"
	key := func(id string) pkstore.Item {
		return pkstore.Item{Key: "own/entry/" + id, Value: []byte(`{"id":"` + id + `","addr":"` + id + `","data_center":"a"}`), Revision: 7}
	}
	now := time.Now()
	d.replaceMembers(now, []pkstore.Item{key("x"), {Key: "own/size/a", Value: []byte("200"), Revision: 8}}, 9)
	d.replaceMembers(now, []pkstore.Item{key("x"), key("y")}, 8)
	assert.Equal(t, len(d.members.list()), 1)
	assert.Equal(t, d.entryCount(now), 200, "the saved number of entries")
	d.replaceMembers(now, []pkstore.Item{key("x"), key("y")}, 10)
	assert.Equal(t, len(d.members.list()), 2)
}

// Guards against an owner that takes the pools for ownerless, and never orders anything again, after a
// list that was read before its own write of the owner's key.
func TestAnOlderListDoesNotUndoOwnWrites(t *testing.T) {
	d, store := ownerDaemon()
	d.OwnPrefix = "own/"
	now := time.Now()
	assert.Assert(t, d.ensureOwnership(t.Context()) || d.ownsPools())
	assert.NilError(t, d.writeSize(t.Context(), 200))
	written := store.revision
	d.replaceMembers(now, nil, 5)
	assert.Equal(t, d.members.owner, pkid.EntryID("self"))
	assert.Equal(t, d.entryCount(now), 200)
	d.replaceMembers(now, nil, written+1)
	assert.Equal(t, d.members.owner, pkid.EntryID(""), "the key was removed since")
	assert.Equal(t, d.entryCount(now), 1)
}

// Guards against entries that are taken for gone, or for present, by a list that was read before the
// changes which a watch has reported.
func TestAnOlderListDoesNotUndoAWatch(t *testing.T) {
	d, _ := poolDaemon()
	d.OwnPrefix, d.settings.Entry = "own/", "self"
	key := func(id string, at pkstore.Revision) pkstore.Item {
		return pkstore.Item{Key: "own/entry/" + id, Value: []byte(`{"id":"` + id + `","addr":"` + id + `"}`), Revision: at}
	}
	now := time.Now()
	d.replaceMembers(now, []pkstore.Item{key("x", 3)}, 5)
	d.applyMemberEvents(now, []pkstore.Event{{Item: key("y", 8)}, {Item: key("x", 9), Deleted: true}}, 9)
	d.replaceMembers(now, []pkstore.Item{key("x", 3)}, 7)
	got := d.members.list()
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ID, pkid.EntryID("y"))
}

// Guards against knowledge of the members that goes back in any order of stale lists, watches and own writes:
// it must be that of the latest revision which one of them has shown.
func TestKnowledgeOfTheMembersNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, store := ownerDaemon()
		d.OwnPrefix = "own/"
		m := &d.members
		m.known = false
		// owners and present are the owner and whether x is a member at each revision of the store.
		owners, present := []pkid.EntryID{""}, []bool{false}
		var history []pkstore.Event
		put := func(key, value string) {
			store.revision++
			item := pkstore.Item{Key: "own/" + key, Value: []byte(value), Revision: store.revision}
			store.items[item.Key] = item
			if value == "" {
				delete(store.items, item.Key)
			}
			history = append(history, pkstore.Event{Item: item, Deleted: value == ""})
		}
		store.revision = 0
		record := func() {
			_, isMember := store.items["own/entry/x"]
			owners, present = append(owners, pkid.EntryID(store.items["own/owner"].Value)), append(present, isMember)
		}
		snapshots := []map[string]pkstore.Item{{}}
		known, watched := 0, 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // another entry writes
				key := rapid.SampledFrom([]string{"owner", "entry/x"}).Draw(t, "key")
				put(key, rapid.SampledFrom([]string{"", `{"id":"x","addr":"x"}`}).Draw(t, "value"))
				record()
			case 1: // this entry writes the owner's key
				if _, held := store.items["own/owner"]; !held {
					d.writeOwnerKey(context.Background(), 1, "", 0)
					history = append(history, pkstore.Event{Item: store.items["own/owner"]})
					record()
				}
			case 2: // a list that may be old
				at := rapid.IntRange(0, len(snapshots)-1).Draw(t, "list")
				d.replaceMembers(time.Now(), slices.Collect(maps.Values(snapshots[at])), pkstore.Revision(at))
				known = max(known, at)
			case 3: // the watch
				at := rapid.IntRange(watched, len(history)).Draw(t, "watch")
				d.applyMemberEvents(time.Now(), history[watched:at], pkstore.Revision(at))
				known, watched = max(known, at), at
			}
			if len(snapshots) < len(owners) {
				snapshots = append(snapshots, maps.Clone(store.items))
			}
			_, isMember := m.peers["x"]
			if m.readTo != pkstore.Revision(known) && m.known {
				t.Fatalf("known to %v, want %d", m.readTo, known)
			}
			if isMember != present[known] {
				t.Fatalf("member %v at %d, want %v", isMember, known, present[known])
			}
			if want := owners[max(known, int(m.ownerRevision))]; m.owner != want {
				t.Fatalf("owner %q at %d and %v, want %q", m.owner, known, m.ownerRevision, want)
			}
			if id := pkid.EntryID("self"); owners[len(owners)-1] == id && d.members.lease.Fence() == pkid.FencingToken(store.items["own/owner"].Revision) && m.owner != id {
				t.Fatal("the owner does not know that it is")
			}
		}
	})
}

// Guards against entries that go to the store, or believe that it is followed, because of their
// hub's state: one that relays from a hub of another data centre serves them, one that cannot does
// not, and an entry that is served follows nothing itself.
func TestAHubThatLostTheStoreRelays(t *testing.T) {
	d, _ := poolDaemon()
	d.settings.DataCenter = "a"
	d.listed.Store(true)
	now := time.Now()
	hub := pkshare.Message{From: "hub", Addr: "hub", DataCenter: "a", Sequence: 1, Members: 40, Sum: &pkshare.Sum{Global: true}}
	d.receiveMessage(now, hub)
	assert.Assert(t, !d.gossip.table.ServedByHub(now))
	assert.Assert(t, d.message(now).Following)
	hub.Sequence, hub.Relaying = 2, true
	d.receiveMessage(now, hub)
	assert.Assert(t, d.gossip.table.ServedByHub(now))
	assert.Assert(t, !d.message(now).Following, "it follows nothing itself")

	d, _ = poolDaemon()
	d.settings.DataCenter = "a"
	d.listed.Store(true)
	d.gossip.withHubs.Store(true)
	d.gossip.designated.Store(true)
	d.roster.MarkStoreUnavailable(now)
	assert.Assert(t, !d.message(now).Relaying)
	remote := pkshare.Message{From: "remote", Addr: "remote", DataCenter: "b", Sequence: 1, Relaying: true, Sum: &pkshare.Sum{}}
	d.receiveMessage(now, remote)
	assert.Assert(t, !d.message(now).Relaying, "two hubs without the store must not relay to each other")
	remote.Sequence, remote.Following = 2, true
	d.receiveMessage(now, remote)
	assert.Assert(t, d.message(now).Relaying)
	assert.Assert(t, !d.message(now.Add(time.Minute)).Relaying)
}

// Guards against an entry that takes over for those which are cut off, and assumes that each of them
// still sends as many requests to the targets as it does.
func TestEntriesThatAreCutOffSendNothingToTheTargets(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon()
	d.members.census.HearHub(6)
	assert.Equal(t, d.senderCount(now, "models"), 6)
	for i, services := range [][]pkid.ServiceID{{"models", "other"}, {"other"}, nil, {"models"}} {
		d.gossip.table.Apply(now, pkshare.Message{From: pkid.EntryID(fmt.Sprint(i)), Sequence: 1, Impaired: services})
	}
	assert.Equal(t, d.senderCount(now, "models"), 4)
	assert.Equal(t, d.entryCount(now), 6, "they still share limits")
	d.gossip.table.Apply(now, pkshare.Message{From: "0", Sequence: 2})
	assert.Equal(t, d.senderCount(now, "models"), 5)
	assert.Equal(t, d.senderCount(now.Add(time.Minute), "models"), 6, "not heard from")
	d.members.census.HearHub(1)
	assert.Equal(t, d.senderCount(now, "models"), 1)
}

// Guards against an entry that knows nobody since a list read at its start, some seconds old, has replaced the members
// that its hub reported meanwhile.
func TestAnOlderListDoesNotReplaceTheMembersThatAHubReported(t *testing.T) {
	d, _ := poolDaemon()
	d.settings.Entry, d.settings.DataCenter = "own", "a"
	now := time.Now()
	d.receiveMessage(now, pkshare.Message{
		From: "hub", DataCenter: "a", Sequence: 1, Following: true, Members: 78, Sum: &pkshare.Sum{Global: true},
		Candidates: []pkshare.Member{{ID: "hub", Addr: "hub", DataCenter: "a"}, {ID: "m-1", Addr: "m-1", DataCenter: "a"}},
	})
	assert.Equal(t, len(d.members.list()), 2)
	d.replaceMembers(now, nil, 1)
	assert.Equal(t, len(d.members.list()), 2)
	d.replaceMembers(now.Add(time.Minute), nil, 2)
	assert.Equal(t, len(d.members.list()), 0, "no hub serves it any more")
}
