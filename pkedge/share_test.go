package pkedge

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkshare"
)

// fleetDaemon is a daemon among others of its data centre, whose links lead nowhere.
func fleetDaemon(self pkid.EntryID, others int) *Daemon {
	d, _ := poolDaemon(engine("dead", "a", 0, 80))
	d.settings.Entry, d.settings.DataCenter = self, "a"
	d.sharing.urgent = make(chan struct{}, 1)
	d.sharing.links = map[string]*link{}
	for i := range others {
		id := pkid.EntryID(fmt.Sprintf("m-%02d", i))
		d.sharing.table.Hear(time.Now(), pkshare.Message{From: id, Addr: string(id), DataCenter: "a", Sequence: 1})
		d.sharing.links[string(id)] = &link{cancel: func() {}, out: make(chan []byte, 1)}
	}
	return d
}

// told returns what a link's newest message suspects; it fails where there is none.
func told(t *testing.T, l *link) []pkshare.Suspect {
	t.Helper()
	synctest.Wait()
	select {
	case raw := <-l.out:
		m, err := pkpeer.Decode[pkshare.Message](raw)
		assert.NilError(t, err)
		return m.Suspects
	default:
		t.Fatal("nothing was told")
		return nil
	}
}

// Four engines of a pool die at one moment. Each of 78 entries has a handful of streams, too
// few to tell which engine they wait for; some entry finds out within 60 ms. Told with the
// next message of each entry on the way, of its hub and of the next hub, the others know
// after 220 to 260 ms more, when their callers' answers are late.
func TestADeadEngineIsToldAtOnce(t *testing.T) {
	cases := []struct {
		name   string
		others int
		learn  func(d *Daemon, now time.Time)
	}{
		{"by the one that found it", 2, func(d *Daemon, now time.Time) {
			one, _ := d.roster.Target("dead")
			d.suspect(one, now.Add(suspectTTL), syscall.ECONNREFUSED)
		}},
		{"by a hub that heard of it", 14, func(d *Daemon, now time.Time) {
			d.hear(now, pkshare.Message{From: "m-09", Addr: "m-09", DataCenter: "a", Sequence: 2, Suspects: []pkshare.Suspect{
				{Target: "dead", ForMS: suspectTTL.Milliseconds(), Gone: true},
			}})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := fleetDaemon("a-hub", c.others)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go d.tellPeers(ctx)
				synctest.Wait()
				l := d.sharing.links["m-01"]
				told(t, l)

				time.Sleep(pkshare.Every / 3)
				c.learn(d, time.Now())
				time.Sleep(tellGather)
				assert.DeepEqual(t, told(t, l), []pkshare.Suspect{{Target: "dead", ForMS: (suspectTTL - tellGather).Milliseconds(), Gone: true}})

				// What is known is told with the rest.
				c.learn(d, time.Now())
				time.Sleep(tellGather)
				synctest.Wait()
				assert.Equal(t, len(l.out), 0)
			})
		})
	}
}
