package pkedge

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkverdict"
)

// deafEngines answer no question before it is given up.
type deafEngines struct{ pkowner.Engines }

func (deafEngines) Report(ctx context.Context, _ string) (pkowner.Report, error) {
	<-ctx.Done()
	return pkowner.Report{}, context.Cause(ctx)
}

// poolDaemon is a daemon that knows engines of a model and runs nothing.
func poolDaemon(infos ...pkreplica.Info) (*Daemon, *pkconfig.Service) {
	d := &Daemon{log: hclog.NewNullLogger(), crowding: pklayers.FreeCrowding}
	d.sharing.suspects = map[pkid.TargetID]suspicion{}
	var records []pkreplica.Record
	for _, info := range infos {
		info.Service = "models"
		info.Addr = string(info.ID)
		records = append(records, pkreplica.Record{Revision: 1, Info: info})
	}
	d.roster.Apply(time.Now(), records, 1)
	return d, &pkconfig.Service{ID: "models", Engine: &pklayers.Model{
		Layers: 80, LayerMB: 1750, TokenBytes: 426000, ActivationBytes: 21300, PipeMbps: 9300,
		Step: 850 * time.Microsecond, ReadPerSecond: 272000, Chunk: 512, PromptTokens: 772, AnswerTokens: 145,
		Kinds: map[pkid.Kind]pklayers.Accelerator{"l4": {MemoryMB: 90000, StepFactor: 16, ReadFactor: 8.2}},
	}}
}

func engine(id pkid.TargetID, dc pkid.DataCenter, first, end pkid.Layer) pkreplica.Info {
	return pkreplica.Info{ID: id, DataCenter: dc, Kind: "l4", Held: pkid.Range{First: first, End: end}}
}

// attemptOver returns an attempt of a stream over targets, each with what it holds.
func attemptOver(t *testing.T, d *Daemon, s *pkconfig.Service, ids ...pkid.TargetID) *attempt {
	t.Helper()
	c := &call{Daemon: d, r: httptest.NewRequest(http.MethodPost, "/", nil), route: &pkconfig.Route{Name: "talk", Kind: pkconfig.Stream, Resumable: true, MaxAttempts: 2}}
	c.req = pkforward.Request{Ask: pkforward.Ask{ID: "r-1", PromptTokens: 772}}
	var p route
	for _, id := range ids {
		one, found := d.roster.Target(id)
		assert.Assert(t, found)
		p.add(one, pklayers.Part{ID: id, Layers: one.Held})
	}
	return &attempt{call: c, service: s, tokens: 900, path: p}
}

// A stream is taken off a dead engine while its first engine is being asked what it waits
// for. The question is given up with the attempt. Taken for a failure of the first engine,
// it makes all entries pass over a live engine, and the streams that begin there find
// no path for four seconds.
func TestAQuestionThatIsGivenUpSaysNothing(t *testing.T) {
	d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80))
	d.Engines = deafEngines{}
	a := attemptOver(t, d, s, "first", "second")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errMoved)
	assert.Assert(t, !a.call.stalled(ctx, a))
	first, _ := d.roster.Target("first")
	assert.Assert(t, !first.Avoided(time.Now()))
	assert.Equal(t, len(d.sharing.suspects), 0)
}

// Forty streams of a dead engine look for another path at one moment, and each prompt takes
// 16 ms of a pipe. A caller who waits for the next event must get a path without a crossing,
// also where engines beyond the pipe are less busy.
func TestACallerInTheMiddleOfAnAnswerCrossesNoBusyPipe(t *testing.T) {
	d, s := poolDaemon(engine("front", "a", 0, 40), engine("near", "a", 40, 80), engine("far", "b", 40, 80))
	d.settings.DataCenter = "a"
	now := time.Now()
	near, _ := d.roster.Target("near")
	near.Begin(now, 0.2*s.Engine.Room("l4", 40)*40, 0, 0)
	wanted := wish{span: s.Engine.All(), tokens: 900, from: "a", share: 1}
	p, found := d.find(now, s, wanted)
	assert.Assert(t, found)
	assert.Equal(t, p.targets[1].ID, pkid.TargetID("far"), "a new request takes the engine that has more room")
	for range 10 {
		d.pipes.Add(now, "a", "b", 0, s.Engine.TransferTime(900))
	}
	wanted.hurry = true
	p, found = d.find(now, s, wanted)
	assert.Assert(t, found)
	assert.Equal(t, p.targets[1].ID, pkid.TargetID("near"))
}

// eventfulEngines take each new path while an event of the stream comes.
type eventfulEngines struct {
	pkowner.Engines
	event func()
}

func (e eventfulEngines) Repath(context.Context, string, pkid.RequestID, []pkforward.Hop) (pkowner.Outcome, error) {
	go e.event()
	return pkowner.Done, nil
}

// A stream changes its path while its events come. The line that tells of it says how many
// there were; read beside the event that counts itself, the count may be any.
func TestEventsComeWhileAPathIsChanged(t *testing.T) {
	d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80), engine("other", "a", 40, 80))
	a := attemptOver(t, d, s, "first", "second")
	came := make(chan struct{})
	d.Engines = eventfulEngines{event: func() {
		a.event(time.Now())
		close(came)
	}}
	second, _ := d.roster.Target("second")
	by, found := d.detour(time.Now(), a, second)
	assert.Assert(t, found)
	assert.Assert(t, d.repath(t.Context(), a, second, whyDead, by))
	<-came
	assert.Equal(t, a.mended, 1)
}

// obedientEngines take each new path and keep it.
type obedientEngines struct {
	pkowner.Engines
	path []pkforward.Hop
}

func (e *obedientEngines) Repath(_ context.Context, _ string, _ pkid.RequestID, path []pkforward.Hop) (pkowner.Outcome, error) {
	e.path = path
	return pkowner.Done, nil
}

// Four engines of a large pool die at one moment. Their 140 streams all read all of their
// tokens again, each waits for the others, and what could have gone on within 150 ms goes on
// after 250. A stream whose dead engine has another beside it must have that one read alone;
// one that would go through a pipe for it, or that waits for two dead engines, is better off
// with another attempt.
func TestAStreamTakesTheEngineBesideADeadOne(t *testing.T) {
	cases := []struct {
		name    string
		beside  pkid.DataCenter
		dead    []pkid.TargetID
		inPlace bool
	}{
		{"beside it", "a", []pkid.TargetID{"second"}, true},
		{"in another data centre", "b", []pkid.TargetID{"second"}, false},
		{"two dead engines", "a", []pkid.TargetID{"second", "third"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, s := poolDaemon(
				engine("first", "a", 0, 30), engine("second", "a", 30, 60), engine("third", "a", 60, 80),
				engine("beside", c.beside, 30, 60), engine("other", "a", 60, 80),
			)
			spendable(d, 9)
			engines := &obedientEngines{}
			d.Engines = engines
			a := attemptOver(t, d, s, "first", "second", "third")
			a.again = true
			var moved error
			a.cancel = func(err error) { moved = err }
			for _, id := range c.dead {
				one, _ := d.roster.Target(id)
				one.Dead(time.Now().Add(suspectPause))
			}
			second, _ := d.roster.Target("second")
			d.mend(t.Context(), a, second, whyDead)
			if !c.inPlace {
				assert.Equal(t, moved, errMoved)
				assert.Equal(t, len(engines.path), 0)
				return
			}
			assert.NilError(t, moved)
			assert.Equal(t, len(engines.path), 3)
			assert.Equal(t, engines.path[1].Addr, "beside")
		})
	}
}

// An engine dies. The entry that asks it is refused a connection and tells the others: nothing
// that passed through it will go on. Their streams have been silent for 20 ms, a pause as any;
// to wait until they are silent for long takes half of the pause that callers accept. Where
// the engine merely gave no sign of life, a stream must be silent too.
func TestStreamsLeaveAnEngineWhoseProcessIsGoneAtOnce(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{fmt.Errorf("report: %w", syscall.ECONNREFUSED), whyDead},
		{context.DeadlineExceeded, ""},
	} {
		d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80))
		a := attemptOver(t, d, s, "first", "second")
		now := time.Now()
		a.last = now.Add(-20 * time.Millisecond)
		second, _ := d.roster.Target("second")
		d.suspect(second, now.Add(suspectPause), c.err)
		_, why := a.wants(now)
		assert.Equal(t, why, c.want)
	}
}

// A stream of a long answer has taken the engine beside a dead one as often as one attempt
// may. Another of its engines dies; it has a send left, and must go on by that. Left with its
// path for having changed it so often, it stands still until the engines cut it seconds later.
func TestAStreamThatChangedItsPathOftenIsSentAgain(t *testing.T) {
	d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80), engine("beside", "a", 40, 80))
	spendable(d, 9)
	engines := &obedientEngines{}
	d.Engines = engines
	a := attemptOver(t, d, s, "first", "second")
	a.mended = mendMost
	second, _ := d.roster.Target("second")
	now := time.Now()
	second.Gone(now.Add(suspectPause))
	_, why := a.wants(now)
	assert.Equal(t, why, "", "without a send it keeps its path")

	a.again = true
	var moved error
	a.cancel = func(err error) { moved = err }
	one, why := a.wants(now)
	assert.Equal(t, why, whyDead)
	d.mend(t.Context(), a, one, why)
	assert.Equal(t, moved, errMoved)
	assert.Equal(t, len(engines.path), 0)
}

// spendable gives a daemon a retry budget of so many sends in ten seconds.
func spendable(d *Daemon, sends float64) {
	d.retry.Store(&Retry{WindowS: 10, Slack: (sends + 0.5) / 0.85})
}

// An engine leaves and serves on for seconds. Its streams are taken off it, the engines that
// they are sent to next are full and refuse, and the retry budget of a small VM is spent by
// the first send: 21 answers broke off in the middle beside a release of 17 engines. A stream
// must stay where it is served until the budget allows more than one try; one whose engine is
// dead has nothing to stay with.
func TestAStreamLeavesAnEngineThatServesOnlyWithSendsToSpare(t *testing.T) {
	for _, c := range []struct {
		sends float64
		why   string
		want  bool
	}{
		{leaveSpare, whyLeaving, true},
		{leaveSpare - 1, whyLeaving, false},
		{1, whyDead, true},
		{0, whyDead, false},
	} {
		d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80), engine("other", "a", 40, 80))
		spendable(d, c.sends)
		a := attemptOver(t, d, s, "first", "second")
		a.call.service = s.ID
		assert.Equal(t, d.mayMove(a, c.why), c.want, "%+v", c)
	}
}

// A stream was refused by the engine that it was sent to next, and the retry budget is spent.
// Its caller waits two seconds for the next event, and a part of the budget frees each
// second. A stream whose answer has begun must wait for that; a request that no answer was
// begun for gets its refusal at once.
func TestAStreamThatHasBegunWaitsForTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, s := poolDaemon(engine("first", "a", 0, 80))
		d.metrics = newMetrics(d)
		d.retry.Store(&Retry{WindowS: 1, Slack: 1.5 / 0.85})
		a := attemptOver(t, d, s, "first")
		c := a.call
		c.service, c.arrived, c.runs = s.ID, 1, 1
		assert.Assert(t, c.mayStart(pkverdict.NotRun))
		assert.Assert(t, !c.mayStart(pkverdict.NotRun), "the budget is spent")
		began := time.Now()
		assert.Assert(t, !c.waitForBudget(t.Context(), pkverdict.NotRun))
		assert.Equal(t, time.Since(began), time.Duration(0))
		c.begun = true
		assert.Assert(t, c.waitForBudget(t.Context(), pkverdict.NotRun))
		assert.Assert(t, time.Since(began) <= begunWait)
	})
}
