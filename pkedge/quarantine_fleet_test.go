package pkedge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkshare"
)

// fleetModel is the entries of a fleet, which tell one another by their roles without a network.
type fleetModel struct {
	now     time.Time
	entries []*Daemon
	byAddr  map[string]*Daemon
	// peers are the members as all entries read them.
	peers map[pkid.EntryID]pkshare.Member
	// roles are whom each entry tells, played how many rounds there were.
	roles  map[*Daemon]map[string]pkshare.Role
	played int
	// earlier entries are of a build that knows of no quarantine, away ones reach nobody.
	earlier map[*Daemon]bool
	away    map[*Daemon]bool
	// lose is the share of messages that are lost.
	lose float64
	rand *rand.Rand
	// most is the most bytes that an entry sent in a round beyond those without the quarantine,
	// sent how many each has sent.
	most int
	sent map[*Daemon]int
}

func newFleetModel(dataCenters, each int) *fleetModel {
	f := &fleetModel{now: time.Now(), byAddr: map[string]*Daemon{}, peers: map[pkid.EntryID]pkshare.Member{}, roles: map[*Daemon]map[string]pkshare.Role{}, earlier: map[*Daemon]bool{}, away: map[*Daemon]bool{}, sent: map[*Daemon]int{}, rand: rand.New(rand.NewPCG(1, 2))}
	for dc := range dataCenters {
		for i := range each {
			f.add(pkid.DataCenter('a'+rune(dc)), i, 0.2+0.6*float64(i/(each-2)))
		}
	}
	return f
}

func (f *fleetModel) add(dc pkid.DataCenter, i int, share float64) *Daemon {
	d, _ := poolDaemon()
	d.settings.Entry = pkid.EntryID(fmt.Sprintf("%s-%03d", dc, i))
	d.settings.DataCenter, d.settings.ProcessorShare = dc, share
	d.sharing.addr, d.sharing.run = string(d.settings.Entry), f.rand.Uint64()
	d.sharing.urgent = make(chan struct{}, 1)
	f.peers[d.settings.Entry] = d.self()
	d.members.peers = f.peers
	f.entries = append(f.entries, d)
	f.byAddr[d.sharing.addr] = d
	return d
}

// rolesOf returns whom an entry tells, as it brings that up to date each few messages.
func (f *fleetModel) rolesOf(d *Daemon) map[string]pkshare.Role {
	if f.roles[d] == nil || f.played%6 == 0 {
		f.roles[d] = d.roles(f.now)
	}
	return f.roles[d]
}

// round has each entry tell those that it tells, as often as hubs do.
func (f *fleetModel) round(t *testing.T) {
	t.Helper()
	f.now = f.now.Add(pkshare.EveryWithHubs)
	f.played++
	for _, from := range f.entries {
		if f.away[from] {
			continue
		}
		sent := 0
		base := from.message(f.now)
		for addr, role := range f.rolesOf(from) {
			to := f.byAddr[addr]
			m := base
			if role != pkshare.Peer {
				m.Sum = &pkshare.Sum{All: role == pkshare.OfHub}
			}
			from.help(f.now, &m, to.settings.Entry, role)
			if f.earlier[from] {
				m.Cases, m.Held = nil, 0
			}
			sent += size(t, caseWord(m))
			if !f.away[to] && !f.earlier[to] && f.rand.Float64() >= f.lose {
				to.hear(f.now, m)
			}
		}
		f.most = max(f.most, sent)
		f.sent[from] += sent
	}
}

// caseWord returns what a message tells of quarantined requests.
func caseWord(m pkshare.Message) pkshare.Message {
	return pkshare.Message{Cases: m.Cases, Held: m.Held}
}

// size returns by how many bytes a message is larger than an empty one.
func size(t *testing.T, m pkshare.Message) int {
	t.Helper()
	raw, err := pkpeer.Encode(m)
	assert.NilError(t, err)
	empty, err := pkpeer.Encode(pkshare.Message{})
	assert.NilError(t, err)
	return len(raw) - len(empty)
}

// rounds plays rounds until entries hold the poison request, and returns for how long.
func (f *fleetModel) rounds(t *testing.T, entries ...*Daemon) time.Duration {
	t.Helper()
	began := f.now
	for {
		all := true
		for _, d := range entries {
			all = all && d.quarantine.table.Left(f.now, poison) > 0
		}
		if all {
			return f.now.Sub(began)
		}
		assert.Assert(t, f.now.Sub(began) < time.Minute, "it never comes")
		f.round(t)
	}
}

// others returns the entries that are of this build and reached.
func (f *fleetModel) others() []*Daemon {
	var out []*Daemon
	for _, d := range f.entries {
		if !f.away[d] && !f.earlier[d] {
			out = append(out, d)
		}
	}
	return out
}

// Three entries in three places each see one replica end under a request. All must know within
// three seconds, the shortest time in which an entry counts as reached by the others: in fleets
// of any size, while a fifth of the messages is lost, with the first hub of each data centre
// dead, and an entry that was cut off or starts must know as soon after it is back.
func TestWordOfAPoisonRequestReachesAllEntries(t *testing.T) {
	const within = 3 * time.Second
	for _, size := range []struct{ dataCenters, each int }{{3, 3}, {3, 26}, {17, 23}} {
		for _, lose := range []float64{0, 0.2} {
			t.Run(fmt.Sprintf("%d entries, %v lost", size.dataCenters*size.each, lose), func(t *testing.T) {
				f := newFleetModel(size.dataCenters, size.each)
				f.lose = lose
				for range 4 {
					f.round(t)
				}
				cut := f.entries[1]
				f.away[cut] = true
				for i, at := range []int{0, size.each, 2*size.each + 1} {
					f.entries[at].quarantine.table.Crashed(f.now, poison, pkquarantine.Start(1+i))
				}
				took := f.rounds(t, f.others()...)
				t.Logf("known to all after %v", took)
				assert.Assert(t, took <= within, "%v", took)

				for range 20 {
					f.round(t) // what was news is none any more
				}
				f.away[cut] = false
				fresh := f.add("b", 99, 0.2)
				took = f.rounds(t, f.entries...)
				t.Logf("known to one that was cut off, and to a fresh one, after %v", took)
				assert.Assert(t, took <= within && fresh.quarantine.table.Left(f.now, poison) > 0, "%v", took)
				t.Logf("at most %d bytes in %v more than without", f.most, pkshare.EveryWithHubs)
			})
		}
	}
}

// Half of the entries run an earlier build, in the middle of a roll-out. They say nothing of such
// requests and understand nothing; the others must learn from one another, and must not tell the
// earlier ones again and again what those never take.
func TestEntriesOfAnEarlierBuildAreNotToldForEver(t *testing.T) {
	f := newFleetModel(2, 4)
	for i, d := range f.entries {
		f.earlier[d] = i%2 == 0
	}
	for range 4 {
		f.round(t)
	}
	for i, d := range f.others()[:pkquarantine.Limit] {
		d.quarantine.table.Crashed(f.now, poison, pkquarantine.Start(1+i))
	}
	assert.Assert(t, f.rounds(t, f.others()...) <= 3*time.Second)
	for range 20 {
		f.round(t)
	}
	f.most = 0
	f.round(t)
	// The sum of what is held goes out with each message to seven others.
	assert.Assert(t, f.most <= 7*16, "%d bytes", f.most)
}

// A data centre is lost at the size to design for, and at each entry ten requests end with
// replicas there, while a poison request ends one replica at each of three entries and does so
// again two seconds later, as it comes again. What each entry tells must stay within what control
// may take, and the poison request must become known.
func TestWordOfManySuspectsIsBounded(t *testing.T) {
	const (
		perEntry  = 10
		bytesMost = 20_000 // a second, for all control of an entry
		span      = 10 * time.Second
	)
	f := newFleetModel(17, 22)
	for range 4 {
		f.round(t)
	}
	for _, d := range f.entries {
		for range perEntry {
			d.quarantine.table.Crashed(f.now, pkquarantine.Digest(f.rand.Uint64()), pkquarantine.Start(f.rand.Uint64()))
		}
	}
	began, known := f.now, time.Duration(0)
	for f.now.Sub(began) < span {
		if at := f.now.Sub(began); at%(2100*time.Millisecond) == 0 && at <= 4200*time.Millisecond {
			for _, i := range []int{0, 100, 300} {
				f.entries[i].quarantine.table.Crashed(f.now, poison, pkquarantine.Start(f.rand.Uint64()))
			}
		}
		f.round(t)
		if known == 0 && f.knowing() == len(f.entries) {
			known = f.now.Sub(began)
		}
	}
	most := 0
	for _, sent := range f.sent {
		most = max(most, sent)
	}
	t.Logf("known to all after %v; an entry told at most %d bytes in one round and %d a second", known, f.most, most/int(span/time.Second))
	assert.Equal(t, f.knowing(), len(f.entries))
	assert.Assert(t, most <= bytesMost*int(span/time.Second), "%d bytes", most)
}

// knowing returns how many entries hold the poison request.
func (f *fleetModel) knowing() int {
	n := 0
	for _, d := range f.entries {
		if d.quarantine.table.Left(f.now, poison) > 0 {
			n++
		}
	}
	return n
}
