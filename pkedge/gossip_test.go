package pkedge

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

// fleetDaemon returns a daemon with peers in its data centre, whose peer links are not connected.
func fleetDaemon(self pkid.EntryID, others int) *Daemon {
	d, _ := poolDaemon(engine("dead", "a", 0, 80))
	d.settings.Entry, d.settings.DataCenter = self, "a"
	d.gossip.sendNow = make(chan struct{}, 1)
	d.gossip.peerLinks = map[string]*peerLink{}
	for i := range others {
		id := pkid.EntryID(fmt.Sprintf("m-%02d", i))
		d.gossip.table.Apply(time.Now(), pkshare.Message{From: id, Addr: string(id), DataCenter: "a", Sequence: 1})
		d.gossip.peerLinks[string(id)] = &peerLink{cancel: func() {}, out: make(chan outgoing, 1)}
	}
	return d
}

// receivedSuspects returns the suspicions in the newest message of a peer link, and fails if there
// is none.
func receivedSuspects(t *testing.T, l *peerLink) []pkshare.Suspect {
	t.Helper()
	synctest.Wait()
	select {
	case one := <-l.out:
		m, err := pkpeer.Decode[pkshare.Message](one.raw)
		assert.NilError(t, err)
		return m.Suspects
	default:
		t.Fatal("no message was sent")
		return nil
	}
}

// Guards against late answers because entries learn of a dead engine only by the next regular
// message of each entry on the way: the one that finds it and the hubs must send a message at once.
func TestADeadEngineIsReportedAtOnce(t *testing.T) {
	cases := []struct {
		name   string
		others int
		learn  func(d *Daemon, now time.Time)
	}{
		{"by the entry that found it", 2, func(d *Daemon, _ time.Time) {
			one, _ := d.roster.Target("dead")
			d.suspect(one, syscall.ECONNREFUSED)
		}},
		{"by a hub that received a report of it", 14, func(d *Daemon, now time.Time) {
			d.receiveMessage(now, pkshare.Message{From: "m-09", Addr: "m-09", DataCenter: "a", Sequence: 2, Suspects: []pkshare.Suspect{
				{Target: "dead", RemainingMS: suspectTTL.Milliseconds(), Gone: true},
			}})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := fleetDaemon("a-hub", c.others)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				d.Engines = connectingEngines{reportErr: syscall.ECONNREFUSED}
				go d.sendToPeers(ctx)
				go d.confirmSuspicions(ctx)
				synctest.Wait()
				l := d.gossip.peerLinks["m-01"]
				receivedSuspects(t, l)

				time.Sleep(pkshare.Interval / 3)
				c.learn(d, time.Now())
				time.Sleep(sendBatchDelay)
				assert.DeepEqual(t, receivedSuspects(t, l), []pkshare.Suspect{{Target: "dead", RemainingMS: (suspectTTL - sendBatchDelay).Milliseconds(), Gone: true}})

				// A known suspicion waits for the next regular message.
				c.learn(d, time.Now())
				time.Sleep(sendBatchDelay)
				synctest.Wait()
				assert.Equal(t, len(l.out), 0)
			})
		})
	}
}

// Guards against an idle entry that sums the loads of all engines several times a second, and
// against one that chooses a path by old loads once a request comes.
func TestLoadsAreSummedWhileRequestsAreInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := poolDaemon(engine("first", "a", 0, 80))
		one, _ := d.roster.Target("first")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.updateLoads(ctx)
		report := func(sequence uint64, tokens float32) {
			d.gossip.table.Apply(time.Now(), pkshare.Message{From: "peer", Sequence: sequence, Loads: []pkshare.Load{{Target: "first", Requests: 1, Tokens: tokens}}})
		}
		loaded := func() float64 { return one.ExpectedMemory(time.Now(), 2) }

		report(1, 100)
		time.Sleep(time.Second)
		assert.Equal(t, loaded(), 0.0, "nothing is in progress")
		d.refreshLoads(time.Now())
		assert.Equal(t, loaded(), 100.0, "a request has come")

		d.active.Add(1)
		report(2, 300)
		time.Sleep(2 * loadSumInterval)
		synctest.Wait()
		assert.Equal(t, loaded(), 300.0)
	})
}

// Guards against a start of all entries that lasts until the first hub of a data centre runs, although the other
// one has the configuration: it leaves the catch-up to the first one only while that one sends messages.
func TestSecondHubServesStartingEntriesWithoutTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, row := range []struct {
			heard bool
			want  bool
		}{{false, true}, {true, false}} {
			d := fleetDaemon("hub-2", 14)
			first := pkid.EntryID("hub-1")
			d.gossip.firstHub.Store(&first)
			d.gossip.withHubs.Store(true)
			d.gossip.designated.Store(true)
			if row.heard {
				d.receiveMessage(time.Now(), pkshare.Message{From: first, Addr: "hub-1", DataCenter: "a", Sequence: 1, Config: 7, Version: 7})
			}
			own := pkshare.Message{Config: 7, Version: 7}
			got := d.catchUpFor(time.Now(), &own, "m-01", pkshare.Spoke)
			assert.Equal(t, got.Config, row.want, "first hub heard from: %v", row.heard)
		}
	})
}

// Guards against entries that never learn who is registered, since a hub counted its members' change as reported in a
// round in which it sent no message.
func TestEntriesLearnOfMembersThatChangeBetweenMessages(t *testing.T) {
	d := fleetDaemon("hub", 14)
	d.gossip.withHubs.Store(true)
	now := time.Now()
	spoke := d.gossip.peerLinks["m-00"]
	for _, l := range d.gossip.peerLinks {
		l.role = pkshare.Spoke
	}
	learned := map[pkid.EntryID]bool{}
	receive := func() {
		for len(spoke.out) > 0 {
			m, err := pkpeer.Decode[pkshare.Message]((<-spoke.out).raw)
			assert.NilError(t, err)
			for _, one := range m.Candidates {
				learned[one.ID] = !one.Unregistered
			}
		}
	}
	d.broadcast(now, d.message(now), true, true)
	receive()
	d.members.applyCandidates("a", []pkshare.Member{{ID: "m-05", Addr: "m-05", DataCenter: "a"}})
	d.broadcast(now, d.message(now), false, false)
	receive()
	d.broadcast(now, d.message(now), true, true)
	receive()
	assert.Assert(t, learned["m-05"])
}

// Guards against requests passed on to an entry that starts or stops: it refuses them at once, and who refuses has the
// fewest in progress.
func TestOnlyReadyEntriesOfferToServeForOthers(t *testing.T) {
	d := fleetDaemon("starting", 2)
	d.gossip.addr = "starting"
	offers := func() bool { return d.message(time.Now()).Relays }
	assert.Assert(t, !offers())
	assert.Assert(t, d.configs.Adopt(pkconfig.Config{Version: 1}, pkstore.Item{Revision: 1}))
	d.listed.Store(true)
	d.linksChecked.Store(true)
	assert.Assert(t, offers())
	d.stopping.Store(true)
	assert.Assert(t, !offers())
}
