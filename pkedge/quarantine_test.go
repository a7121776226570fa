package pkedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pkverdict"
)

const deadly pkquarantine.Digest = 7

// callOf returns a request with a digest at an entry.
func callOf(d *Daemon, digest pkquarantine.Digest) *call {
	c := &call{Daemon: d, r: httptest.NewRequest(http.MethodPost, "/", nil), digest: digest}
	c.req.Ask.ID = "r-1"
	return c
}

// lost is the failure of a send whose connection ended.
func lost(err error) error {
	return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
}

// crashes returns how many crashes an entry has lately found to speak against a request.
func (d *Daemon) crashes(now time.Time, digest pkquarantine.Digest) int {
	n := 0
	for _, one := range d.quarantine.table.News(now) {
		for _, crash := range one.Crashes {
			if one.Digest == digest && !crash.Cleared {
				n++
			}
		}
	}
	return n
}

// A send breaks off. The request must be suspected only where its replica was lost under it, and
// shortly after: not where the replica lives, answered, refused, or was about to leave, nor where
// the caller left or its time was up. Else callers are refused for what others did.
func TestOnlyAReplicaThatEndsUnderARequestSpeaksAgainstIt(t *testing.T) {
	now := time.Now()
	gone := func(d *Daemon) { d.target(t, "a").Gone(now.Add(suspectPause)) }
	for _, row := range []struct {
		name  string
		err   error
		do    func(d *Daemon)
		after time.Duration
		want  int
	}{
		{"lost and gone", lost(io.ErrUnexpectedEOF), gone, 0, 1},
		{"lost and gone a second later", lost(io.EOF), gone, time.Second, 1},
		{"lost and gone much later", lost(io.EOF), gone, settleWithin, 0},
		{"lost and there", lost(io.EOF), func(*Daemon) {}, 0, 0},
		{"lost and silent", lost(io.EOF), func(d *Daemon) { d.target(t, "a").Dead(now.Add(suspectPause)) }, 0, 0},
		{"started again", lost(io.EOF), func(d *Daemon) { d.roster.Restarted("a", 200) }, 0, 1},
		{"refused", &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: io.EOF}, gone, 0, 0},
		{"its own failure", lost(errOwnFailure), gone, 0, 0},
		{"spoiled", lost(errSpoiled), gone, 0, 0},
		{"its time was up", lost(context.DeadlineExceeded), gone, 0, 0},
		{"the caller left", errCallerLeft, gone, 0, 0},
	} {
		d, _ := poolDaemon(born(engine("a", "x", 0, 80), 100))
		one := d.target(t, "a")
		callOf(d, deadly).brokeOff(now, row.err, one)
		d.settle(now)
		row.do(d)
		d.settle(now.Add(row.after))
		assert.Equal(t, d.crashes(now, deadly), row.want, row.name)
	}

	d, _ := poolDaemon(engine("a", "x", 0, 80))
	leaving := engine("a", "x", 0, 80)
	leaving.Leaving = true
	d.lists(now, 2, leaving)
	callOf(d, deadly).brokeOff(now, lost(io.EOF), d.target(t, "a"))
	gone(d)
	d.settle(now)
	assert.Equal(t, d.crashes(now, deadly), 0, "it leaves")
}

// A path of several engines breaks off and the one in its middle is gone. Only that one ended
// under the request. A stream that has gone on for a second is not suspected at all, and clears
// what was held against its request before.
func TestWhichEnginesOfAPathEndedUnderARequest(t *testing.T) {
	now := time.Now()
	d, s := poolDaemon(engine("a", "x", 0, 40), engine("b", "x", 40, 80))
	a := attemptOver(t, d, s, "a", "b")
	a.call.digest = deadly
	d.target(t, "b").Gone(now.Add(suspectPause))
	a.broke(now, lost(io.EOF))
	d.settle(now)
	assert.Equal(t, d.crashes(now, deadly), 1)

	assert.Assert(t, !a.event(now))
	assert.Assert(t, a.event(now.Add(provenAfter)))
	assert.Assert(t, !a.event(now.Add(2*provenAfter)), "once")
	d.settle(now.Add(settleWithin))
	d.target(t, "a").Gone(now.Add(2 * suspectPause))
	a.broke(now.Add(suspectPause), lost(io.EOF))
	d.settle(now.Add(suspectPause))
	assert.Equal(t, d.crashes(now, deadly), 1)
	a.call.ranWell(now)
	assert.Equal(t, d.crashes(now, deadly), 0)
}

// refusingEngines refuse connections.
type refusingEngines struct {
	reportingEngines
	asked int
}

func (e *refusingEngines) Hold(context.Context, string) error {
	e.asked++
	return syscall.ECONNREFUSED
}

// Nobody watches the replicas of plain services. The entry must ask by itself whether the
// replica is there, once for all requests that broke off there.
func TestAnEntryAsksWhetherAReplicaIsThere(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	engines := &refusingEngines{}
	d.Engines = engines
	for digest := range pkquarantine.Digest(8) {
		callOf(d, 1+digest).brokeOff(now, lost(io.EOF), d.target(t, "a"))
	}
	assert.Equal(t, len(d.settle(now)), 0, "others may say so at once")
	ask := d.settle(now.Add(probeAfter))
	assert.Equal(t, len(ask), 1)
	d.probe(t.Context(), ask[0])
	d.settle(now.Add(probeAfter))
	assert.Equal(t, d.crashes(now, 1), 1)
	assert.Equal(t, d.crashes(now, 8), 1)
	assert.Equal(t, engines.asked, 1)
}

// A request is held while an attempt of it is under way: its engine ended, and the engine may
// have begun to run it. The answer must not say that it has not run; where it has not, it must.
func TestWhatAHeldRequestIsTold(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(engine("a", "x", 0, 80))
	c := callOf(d, deadly)
	assert.NilError(t, c.held(now))
	for i := range pkquarantine.Limit {
		d.quarantine.table.Crashed(now, deadly, pkquarantine.Start(1+i))
	}
	err := c.held(now)
	assert.Assert(t, errors.Is(err, errQuarantined))
	var got *rejection
	assert.Assert(t, errors.As(c.ended(t.Context(), pkverdict.NotRun, err), &got))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.retryAfter > pkquarantine.HoldFor-2*time.Second && got.retryAfter <= pkquarantine.HoldFor)
	assert.Assert(t, errors.As(c.ended(t.Context(), pkverdict.MayHaveRun, err), &got))
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.retryAfter, time.Duration(0))
}

// keepingStore keeps one key, and is away first.
type keepingStore struct {
	pkstore.Store
	away   int
	grants int
	writes []pkstore.Swap
}

func (s *keepingStore) Grant(context.Context, time.Duration) (pkstore.LeaseID, error) {
	s.grants++
	if s.away--; s.away >= 0 {
		return 0, errors.New("away")
	}
	return 1, nil
}

func (s *keepingStore) Swap(_ context.Context, w pkstore.Swap) (pkstore.Swapped, error) {
	s.writes = append(s.writes, w)
	return pkstore.Swapped{Done: true}, nil
}

// An entry saw the last crash while the store was away. It must write the request once the store
// is back, and entries that only heard of it must not: 195 of them would write the same.
func TestOnlyEntriesThatSawACrashSave(t *testing.T) {
	now := time.Now()
	saw, _ := poolDaemon(engine("a", "x", 0, 80))
	saw.metrics = newMetrics(saw)
	heard, _ := poolDaemon()
	store := &keepingStore{away: 1}
	saw.Store = store
	for i := range pkquarantine.Limit - 1 {
		saw.quarantine.table.Crashed(now, deadly, pkquarantine.Start(1+i))
	}
	saw.target(t, "a").Gone(now.Add(suspectPause))
	callOf(saw, deadly).brokeOff(now, lost(io.EOF), saw.target(t, "a"))
	saw.settle(now)
	heard.learnCases(now, saw.quarantine.table.News(now), "peer")
	assert.Equal(t, len(heard.toSave(now)), 0)

	todo := saw.toSave(now)
	assert.Equal(t, len(todo), 1)
	assert.ErrorContains(t, saw.save(t.Context(), todo[0]), "away")
	assert.NilError(t, saw.save(t.Context(), saw.toSave(now)[0]))
	saw.saved(deadly)
	assert.Equal(t, len(saw.toSave(now)), 0)
	assert.Equal(t, len(store.writes), 1)

	fresh, _ := poolDaemon()
	item := pkstore.Item{Key: store.writes[0].Key, Value: store.writes[0].Value}
	fresh.takeSaved(now, []pkstore.Item{{Key: "owner", Value: []byte("x")}, {Key: heldKey + "1", Value: []byte("spoiled")}, item})
	assert.Assert(t, fresh.quarantine.table.Left(now, deadly) > 0)
	fresh.takeSaved(now, []pkstore.Item{item})
	assert.Equal(t, len(fresh.toSave(now)), 0)
}

// town is the entries of a fleet, which tell one another by their roles without a network.
type town struct {
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

func newTown(dataCenters, each int) *town {
	w := &town{now: time.Now(), byAddr: map[string]*Daemon{}, peers: map[pkid.EntryID]pkshare.Member{}, roles: map[*Daemon]map[string]pkshare.Role{}, earlier: map[*Daemon]bool{}, away: map[*Daemon]bool{}, sent: map[*Daemon]int{}, rand: rand.New(rand.NewPCG(1, 2))}
	for dc := range dataCenters {
		for i := range each {
			w.add(pkid.DataCenter('a'+rune(dc)), i, 0.2+0.6*float64(i/(each-2)))
		}
	}
	return w
}

func (w *town) add(dc pkid.DataCenter, i int, share float64) *Daemon {
	d, _ := poolDaemon()
	d.settings.Entry = pkid.EntryID(fmt.Sprintf("%s-%03d", dc, i))
	d.settings.DataCenter, d.settings.ProcessorShare = dc, share
	d.sharing.addr, d.sharing.run = string(d.settings.Entry), w.rand.Uint64()
	d.sharing.urgent = make(chan struct{}, 1)
	w.peers[d.settings.Entry] = d.self()
	d.members.peers = w.peers
	w.entries = append(w.entries, d)
	w.byAddr[d.sharing.addr] = d
	return d
}

// rolesOf returns whom an entry tells, as it brings that up to date each few messages.
func (w *town) rolesOf(d *Daemon) map[string]pkshare.Role {
	if w.roles[d] == nil || w.played%6 == 0 {
		w.roles[d] = d.roles(w.now)
	}
	return w.roles[d]
}

// round has each entry tell those that it tells, as often as hubs do.
func (w *town) round(t *testing.T) {
	t.Helper()
	w.now = w.now.Add(pkshare.EveryWithHubs)
	w.played++
	for _, from := range w.entries {
		if w.away[from] {
			continue
		}
		sent := 0
		base := from.message(w.now)
		for addr, role := range w.rolesOf(from) {
			to := w.byAddr[addr]
			m := base
			if role != pkshare.Peer {
				m.Sum = &pkshare.Sum{All: role == pkshare.OfHub}
			}
			from.help(w.now, &m, to.settings.Entry, role)
			if w.earlier[from] {
				m.Cases, m.Held = nil, 0
			}
			sent += size(t, caseWord(m))
			if !w.away[to] && !w.earlier[to] && w.rand.Float64() >= w.lose {
				to.hear(w.now, m)
			}
		}
		w.most = max(w.most, sent)
		w.sent[from] += sent
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

// rounds plays rounds until entries hold the deadly request, and returns for how long.
func (w *town) rounds(t *testing.T, entries ...*Daemon) time.Duration {
	t.Helper()
	began := w.now
	for {
		all := true
		for _, d := range entries {
			all = all && d.quarantine.table.Left(w.now, deadly) > 0
		}
		if all {
			return w.now.Sub(began)
		}
		assert.Assert(t, w.now.Sub(began) < time.Minute, "it never comes")
		w.round(t)
	}
}

// others returns the entries that are of this build and reached.
func (w *town) others() []*Daemon {
	var out []*Daemon
	for _, d := range w.entries {
		if !w.away[d] && !w.earlier[d] {
			out = append(out, d)
		}
	}
	return out
}

// Three entries in three places each see one replica end under a request. All must know within
// three seconds, the shortest time in which an entry counts as reached by the others: in fleets
// of any size, while a fifth of the messages is lost, with the first hub of each data centre
// dead, and an entry that was cut off or starts must know as soon after it is back.
func TestWordOfADeadlyRequestReachesAllEntries(t *testing.T) {
	const within = 3 * time.Second
	for _, size := range []struct{ dataCenters, each int }{{3, 3}, {3, 26}, {17, 23}} {
		for _, lose := range []float64{0, 0.2} {
			t.Run(fmt.Sprintf("%d entries, %v lost", size.dataCenters*size.each, lose), func(t *testing.T) {
				w := newTown(size.dataCenters, size.each)
				w.lose = lose
				for range 4 {
					w.round(t)
				}
				cut := w.entries[1]
				w.away[cut] = true
				for i, at := range []int{0, size.each, 2*size.each + 1} {
					w.entries[at].quarantine.table.Crashed(w.now, deadly, pkquarantine.Start(1+i))
				}
				took := w.rounds(t, w.others()...)
				t.Logf("known to all after %v", took)
				assert.Assert(t, took <= within, "%v", took)

				for range 20 {
					w.round(t) // what was news is none any more
				}
				w.away[cut] = false
				fresh := w.add("b", 99, 0.2)
				took = w.rounds(t, w.entries...)
				t.Logf("known to one that was cut off, and to a fresh one, after %v", took)
				assert.Assert(t, took <= within && fresh.quarantine.table.Left(w.now, deadly) > 0, "%v", took)
				t.Logf("at most %d bytes in %v more than without", w.most, pkshare.EveryWithHubs)
			})
		}
	}
}

// Half of the entries run an earlier build, in the middle of a roll-out. They say nothing of such
// requests and understand nothing; the others must learn from one another, and must not tell the
// earlier ones again and again what those never take.
func TestEntriesOfAnEarlierBuildAreNotToldForEver(t *testing.T) {
	w := newTown(2, 4)
	for i, d := range w.entries {
		w.earlier[d] = i%2 == 0
	}
	for range 4 {
		w.round(t)
	}
	for i, d := range w.others()[:pkquarantine.Limit] {
		d.quarantine.table.Crashed(w.now, deadly, pkquarantine.Start(1+i))
	}
	assert.Assert(t, w.rounds(t, w.others()...) <= 3*time.Second)
	for range 20 {
		w.round(t)
	}
	w.most = 0
	w.round(t)
	// The sum of what is held goes out with each message to seven others.
	assert.Assert(t, w.most <= 7*16, "%d bytes", w.most)
}

// A data centre is lost at the size to design for, and at each entry ten requests end with
// replicas there, while a deadly request ends one replica at each of three entries and does so
// again two seconds later, as it comes again. What each entry tells must stay within what control
// may take, and the deadly request must become known.
func TestWordOfManySuspectsIsBounded(t *testing.T) {
	const (
		perEntry  = 10
		bytesMost = 20_000 // a second, for all control of an entry
		span      = 10 * time.Second
	)
	w := newTown(17, 22)
	for range 4 {
		w.round(t)
	}
	for _, d := range w.entries {
		for range perEntry {
			d.quarantine.table.Crashed(w.now, pkquarantine.Digest(w.rand.Uint64()), pkquarantine.Start(w.rand.Uint64()))
		}
	}
	began, known := w.now, time.Duration(0)
	for w.now.Sub(began) < span {
		if at := w.now.Sub(began); at%(2100*time.Millisecond) == 0 && at <= 4200*time.Millisecond {
			for _, i := range []int{0, 100, 300} {
				w.entries[i].quarantine.table.Crashed(w.now, deadly, pkquarantine.Start(w.rand.Uint64()))
			}
		}
		w.round(t)
		if known == 0 && w.knowing() == len(w.entries) {
			known = w.now.Sub(began)
		}
	}
	most := 0
	for _, sent := range w.sent {
		most = max(most, sent)
	}
	t.Logf("known to all after %v; an entry told at most %d bytes in one round and %d a second", known, w.most, most/int(span/time.Second))
	assert.Equal(t, w.knowing(), len(w.entries))
	assert.Assert(t, most <= bytesMost*int(span/time.Second), "%d bytes", most)
}

// knowing returns how many entries hold the deadly request.
func (w *town) knowing() int {
	n := 0
	for _, d := range w.entries {
		if d.quarantine.table.Left(w.now, deadly) > 0 {
			n++
		}
	}
	return n
}
