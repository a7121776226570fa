package pkedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkrelay"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pkverdict"
)

// cutEngines refuse all connections but those to the reachable addresses, and count the probes.
type cutEngines struct {
	pkowner.Engines
	reachable map[string]bool
	probes    atomic.Int64
}

func (e *cutEngines) Connect(_ context.Context, addr string) error {
	e.probes.Add(1)
	if e.reachable[addr] {
		return nil
	}
	return fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
}

func (e *cutEngines) Report(ctx context.Context, addr string) (pkowner.Report, error) {
	return pkowner.Report{AcceptedOrders: 1}, e.Connect(ctx, addr)
}

// twelveEngines returns a daemon with a pool of twelve engines of which the given ones are reachable.
func twelveEngines(t *testing.T, reachable ...string) (*Daemon, *cutEngines) {
	t.Helper()
	d, _ := poolDaemon(
		engine("a", "x", 0, 80), engine("b", "x", 0, 80), engine("c", "x", 0, 80), engine("d", "x", 0, 80), engine("e", "x", 0, 80), engine("f", "x", 0, 80),
		engine("g", "x", 0, 80), engine("h", "x", 0, 80), engine("i", "x", 0, 80), engine("j", "x", 0, 80), engine("k", "x", 0, 80), engine("l", "x", 0, 80),
	)
	d.gossip.sendNow = make(chan struct{}, 1)
	engines := &cutEngines{reachable: map[string]bool{}}
	for _, addr := range reachable {
		engines.reachable[addr] = true
	}
	d.Engines = engines
	return d, engines
}

var allButA = []string{"b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}

// Guards against an entry whose links are cut that reports all targets as dead to the others, and
// that counts its interrupted requests as crashes of their targets.
func TestEntryThatIsCutOffReportsNothing(t *testing.T) {
	for name, reachable := range map[string][]string{"all links": nil, "all links but one": {"l"}} {
		t.Run(name, func(t *testing.T) {
			d, _ := twelveEngines(t, reachable...)
			now := time.Now()
			for _, id := range []pkid.TargetID{"a", "b", "c"} {
				one := d.target(t, id)
				newCall(d, 1).recordIfInterrupted(now, lostSend(io.EOF), one)
				d.suspect(one, syscall.ECONNREFUSED)
				d.suspected.add(pendingSuspicion{target: d.target(t, "d"), fault: faultGone, from: "peer"})
			}
			d.confirmPending(t)
			d.checkInterrupted(time.Now())
			assert.Equal(t, len(d.message(time.Now()).Suspects), 0)
			assert.Equal(t, d.crashCount(now, 1), 0)
			assert.Assert(t, !d.target(t, "a").IsDead(time.Now()))
			assert.DeepEqual(t, d.links.ImpairedServices(), []pkid.ServiceID{"models"})
		})
	}
}

// Guards against a dead target that only the entry knows which found it: the others must avoid it as
// soon as they hear of it and find the same.
func TestDeadTargetReportedByAPeerIsAvoided(t *testing.T) {
	d, _ := twelveEngines(t, allButA...)
	d.receiveSuspicion(time.Now(), "peer", pkshare.Suspect{Target: "a", RemainingMS: 4000, Gone: true})
	d.confirmPending(t)
	assert.Assert(t, d.target(t, "a").IsGone(time.Now()))
}

// Guards against believing a peer that this entry has just found wrong, and against probing each
// target that such a peer reports: it may report thousands.
func TestReportsOfAPeerThatWasWrongAreIgnored(t *testing.T) {
	d, engines := twelveEngines(t, append(allButA, "a")...)
	for round := range 20 {
		for _, one := range d.roster.All() {
			d.receiveSuspicion(time.Now(), "peer", pkshare.Suspect{Target: one.ID, RemainingMS: 4000, Gone: round%2 == 0})
		}
		d.confirmPending(t)
	}
	for _, one := range d.roster.All() {
		assert.Assert(t, !one.Avoided(time.Now()))
	}
	assert.Equal(t, engines.probes.Load(), int64(1))
	engines.reachable["a"] = false
	d.receiveSuspicion(time.Now(), "another", pkshare.Suspect{Target: "a", RemainingMS: 4000, Gone: true})
	d.confirmPending(t)
	assert.Assert(t, d.target(t, "a").IsGone(time.Now()), "another peer is believed")
}

// Guards against an owner of the pools that mends a pool in order, since its own links are cut.
func TestOwnerThatIsCutOffOrdersNothing(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		d, engines := twelveEngines(t, allButA...)
		d.applyRecord(time.Now(), 2, engine("a", "x", 0, 0))
		sample := pkreach.Sample{Reached: 8}
		if cutOff {
			sample = pkreach.Sample{Failed: 8}
		}
		d.links.Record(time.Now(), "models", sample)
		_, s := poolDaemon()
		assert.Assert(t, d.configs.Adopt(pkconfig.Config{Version: 1, Services: []pkconfig.Service{*s, {ID: "plain"}}}, pkstore.Item{Revision: 1}))
		d.links.Record(time.Now(), "plain", pkreach.Sample{Failed: 8}) // needs no owner
		for range 3 {
			d.reconcilePool(t.Context(), "models", s.Engine)
		}
		assert.Equal(t, engines.probes.Load() == 0, cutOff)
		d.ownerlessSince = time.Now().Add(-time.Hour)
		assert.Equal(t, d.mayAcquire(time.Now(), false), !cutOff)
	}
}

// Guards against "not run" in the answer to a request that this entry has sent to a target before another
// one refused it.
func TestRefusalOfAnotherEntryPromisesNothingForSendsBefore(t *testing.T) {
	d, _ := poolDaemon()
	c := newCall(d, 1)
	refused := &rejection{status: http.StatusServiceUnavailable, reason: "full"}
	assert.Assert(t, c.relayResult(relay{}, pkverdict.NotRun, refused).final)
	result := c.relayResult(relay{}, pkverdict.MayHaveRun, refused)
	assert.Assert(t, !result.final && result.last)
	var rej *rejection
	assert.Assert(t, errors.As(c.finalError(t.Context(), result.verdict, result.err), &rej))
	assert.Equal(t, rej.status, http.StatusBadGateway)
}

// unreliableEngines lose some of the attempts to connect, and never answer at the silent addresses.
type unreliableEngines struct {
	pkowner.Engines
	lost   float64
	silent map[string]bool

	mu     sync.Mutex
	random *rand.Rand
}

func (e *unreliableEngines) answers(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.silent[addr] && e.random.Float64() >= e.lost
}

func (e *unreliableEngines) Connect(ctx context.Context, addr string) error {
	if e.answers(addr) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (e *unreliableEngines) Report(ctx context.Context, addr string) (pkowner.Report, error) {
	return pkowner.Report{AcceptedOrders: 1}, e.Connect(ctx, addr)
}

// Guards against an entry whose links lose packets that avoids engines in order, and against one with links in order, or
// that lose a packet now and then, that does not avoid silent engines, be they a third of the pool.
func TestSilenceShowsNothingOverLinksThatLosePackets(t *testing.T) {
	const seeds, engineCount = 20, 12
	for name, row := range map[string]struct {
		lost float64
		// rounds is how often each engine is checked.
		rounds   int
		silent   []string
		impaired bool
	}{
		"three packets in ten":                         {lost: 0.51, rounds: 25, impaired: true},
		"three packets in ten beside a silent engine":  {lost: 0.51, rounds: 25, silent: []string{"l"}, impaired: true},
		"no packet, one silent engine":                 {rounds: 25, silent: []string{"l"}},
		"no packet, a third of the engines are silent": {rounds: 25, silent: []string{"i", "j", "k", "l"}},
		"three packets in a hundred, a silent engine":  {lost: 0.06, rounds: 5, silent: []string{"l"}},
	} {
		t.Run(name, func(t *testing.T) {
			avoidedSound, avoidedSilent, impaired := 0, 0, 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					d, _ := twelveEngines(t)
					engines := &unreliableEngines{random: rand.New(rand.NewPCG(seed, 0)), lost: row.lost, silent: map[string]bool{}}
					for _, addr := range row.silent {
						engines.silent[addr] = true
					}
					d.Engines = engines
					sound := map[pkid.TargetID]bool{}
					for range row.rounds {
						for _, one := range d.roster.All() {
							d.checkLiveness(t.Context(), one)
							if !engines.silent[one.Addr] && one.IsDead(time.Now()) {
								sound[one.ID] = true
							}
						}
						time.Sleep(200 * time.Millisecond)
					}
					avoidedSound += len(sound)
					for _, addr := range row.silent {
						if one := d.target(t, pkid.TargetID(addr)); one.IsDead(time.Now()) {
							avoidedSilent++
						}
					}
					impaired += len(d.links.ImpairedServices())
				})
			}
			t.Logf("%d engines in order avoided, links impaired in %d of %d runs", avoidedSound, impaired, seeds)
			assert.Assert(t, avoidedSound <= seeds*engineCount/20, "%d of %d engines in order were avoided", avoidedSound, seeds*engineCount)
			if row.impaired {
				assert.Assert(t, impaired >= seeds-seeds/10, "found in %d of %d runs", impaired, seeds)
				return
			}
			assert.Equal(t, impaired, 0)
			assert.Equal(t, avoidedSilent, seeds*len(row.silent))
		})
	}
}

// Guards against an owner of the pools that orders engines over links that lose packets while another entry reaches
// them, and against pools that nobody orders because the links of all entries lose packets.
func TestOwnerWithLossyLinksYieldsToAnEntryInOrder(t *testing.T) {
	d, _ := twelveEngines(t, allButA...)
	_, s := poolDaemon()
	assert.Assert(t, d.configs.Adopt(pkconfig.Config{Version: 1, Services: []pkconfig.Service{*s}}, pkstore.Item{Revision: 1}))
	now := time.Now()
	d.links.Record(now, "models", pkreach.Sample{Reached: 4, Failed: 4, Silent: 4, Answered: 8, Lost: 6})
	assert.Equal(t, d.links.Condition("models"), pkreach.Lossy)
	other := pkshare.Message{From: "other", Addr: "other", Run: 1, Sequence: 1, Relays: true, Impaired: []pkid.ServiceID{"models"}}
	d.receiveMessage(now, other)
	d.ownerlessSince = now.Add(-time.Hour)
	assert.Assert(t, d.mayAcquire(now, false), "the other one is no better")
	other.Sequence, other.Impaired = 2, nil
	d.receiveMessage(now, other)
	assert.Assert(t, !d.mayAcquire(now, false))
	assert.DeepEqual(t, d.message(now).Impaired, []pkid.ServiceID{"models"})
}

// Guards against relayed requests that are served over links which lose packets: they must go back unsent.
func TestRelayedRequestIsPassedBackOverLossyLinks(t *testing.T) {
	d, _ := poolDaemon()
	c := newCall(d, 1)
	c.service, c.relayed = "models", &pkrelay.Request{}
	assert.NilError(t, c.passedBack(pkverdict.NotRun))
	d.links.Record(time.Now(), "models", pkreach.Sample{Reached: 4, Failed: 4, Silent: 4, Answered: 8, Lost: 6})
	var rej *rejection
	assert.Assert(t, errors.As(c.passedBack(pkverdict.NotRun), &rej))
	assert.Equal(t, rej.reason, pkrelay.ReasonCutOff)
	assert.NilError(t, c.passedBack(pkverdict.MayHaveRun), "it was sent")
	c.relayed = nil
	assert.NilError(t, c.passedBack(pkverdict.NotRun), "it came from its caller")
}

// stalledEngines answer nothing until a stall of this VM is over.
type stalledEngines struct{ pkowner.Engines }

func (stalledEngines) Connect(context.Context, string) error {
	time.Sleep(10 * linkTimeout)
	return context.DeadlineExceeded
}

// Guards against a stall of this VM that is taken for a cut of its links, or for the end of a target.
func TestStallShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := twelveEngines(t)
		d.Engines = stalledEngines{}
		d.suspect(d.target(t, "a"), syscall.ECONNREFUSED)
		d.confirmPending(t)
		assert.Assert(t, !d.target(t, "a").IsDead(time.Now()))
		assert.Equal(t, len(d.links.ImpairedServices()), 0)
	})
}
