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

// unresponsiveEngines answer no report before its context ends.
type unresponsiveEngines struct{ pkowner.Engines }

func (unresponsiveEngines) Report(ctx context.Context, _ string) (pkowner.Report, error) {
	<-ctx.Done()
	return pkowner.Report{}, context.Cause(ctx)
}

// connectingEngines accept all connections, and answer reports with an error if one is set.
type connectingEngines struct {
	pkowner.Engines
	reportErr error
}

func (connectingEngines) Connect(context.Context, string) error { return nil }

func (e connectingEngines) Report(context.Context, string) (pkowner.Report, error) {
	return pkowner.Report{}, e.reportErr
}

// poolDaemon returns a daemon that knows the engines of one model and runs no loops.
func poolDaemon(infos ...pkreplica.Info) (*Daemon, *pkconfig.Service) {
	d := &Daemon{log: hclog.NewNullLogger(), memoryPenalty: pklayers.InversePenalty}
	d.retry.Store(&Retry{Ratio: 0.2, WindowS: 10, Slack: 200})
	d.gossip.suspects = map[pkid.TargetID]suspicion{}
	d.suspected.pending = make(chan pendingSuspicion, maxPendingSuspicions)
	var records []pkreplica.Record
	for _, info := range infos {
		info.Service = "models"
		info.Addr = string(info.ID)
		records = append(records, pkreplica.Record{Revision: 1, Info: info})
	}
	d.roster.Apply(time.Now(), records, 1)
	return d, &pkconfig.Service{ID: "models", Engine: &pklayers.Model{
		Layers: 80, LayerMB: 1750, TokenBytes: 426000, ActivationBytes: 21300, LinkMbps: 9300,
		Step: 850 * time.Microsecond, PrefillPerSecond: 272000, Chunk: 512, PromptTokens: 772, AnswerTokens: 145,
		Kinds: map[pkid.AcceleratorKind]pklayers.Accelerator{"l4": {MemoryMB: 90000, StepFactor: 16, PrefillFactor: 8.2}},
	}}
}

// confirmPending confirms all queued suspicions.
func (d *Daemon) confirmPending(t *testing.T) {
	t.Helper()
	for len(d.suspected.pending) > 0 {
		p := <-d.suspected.pending
		d.confirm(t.Context(), p)
		d.suspected.done(p.target)
	}
}

func engine(id pkid.TargetID, dc pkid.DataCenter, first, end pkid.Layer) pkreplica.Info {
	return pkreplica.Info{ID: id, DataCenter: dc, Kind: "l4", Held: pkid.Range{First: first, End: end}}
}

// attemptOver returns an attempt of a stream over targets, each with the layers that it holds.
func attemptOver(t *testing.T, d *Daemon, s *pkconfig.Service, ids ...pkid.TargetID) *attempt {
	t.Helper()
	c := &call{Daemon: d, r: httptest.NewRequest(http.MethodPost, "/", nil), route: &pkconfig.Route{Name: "talk", Kind: pkconfig.Stream, Resumable: true, MaxAttempts: 2}}
	c.req = pkforward.Request{Meta: pkforward.RequestMeta{ID: "r-1", PromptTokens: 772}}
	var p targetPath
	for _, id := range ids {
		one, found := d.roster.Target(id)
		assert.Assert(t, found)
		p.add(one, pklayers.Stage{ID: id, Layers: one.Held})
	}
	return &attempt{call: c, service: s, tokens: 900, path: p}
}

// Guards against suspecting a live first engine when a stall check is canceled together with its
// attempt.
func TestCanceledStallCheckSuspectsNobody(t *testing.T) {
	d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80))
	d.Engines = unresponsiveEngines{}
	a := attemptOver(t, d, s, "first", "second")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errRerouted)
	assert.Assert(t, !a.call.checkStalled(ctx, a))
	first, _ := d.roster.Target("first")
	assert.Assert(t, !first.Avoided(time.Now()))
	assert.Equal(t, len(d.gossip.suspects), 0)
}

// Guards against paths over a congested link for an answer in progress, even if the engines beyond
// it are less busy.
func TestUrgentRequestAvoidsCongestedLink(t *testing.T) {
	d, s := poolDaemon(engine("front", "a", 0, 40), engine("near", "a", 40, 80), engine("far", "b", 40, 80))
	d.settings.DataCenter = "a"
	now := time.Now()
	near, _ := d.roster.Target("near")
	near.Begin(now, 0.2*s.Engine.KVCapacity("l4", 40)*40, 0, 0)
	query := pathQuery{layers: s.Engine.AllLayers(), tokens: 900, from: "a", memoryShare: 1}
	p, found := d.findPath(now, s, query)
	assert.Assert(t, found)
	assert.Equal(t, p.targets[1].ID, pkid.TargetID("far"), "a new request takes the engine with more capacity")
	for range 10 {
		d.linkUsage.Add(now, "a", "b", 0, s.Engine.TransferTime(900))
	}
	query.urgent = true
	p, found = d.findPath(now, s, query)
	assert.Assert(t, found)
	assert.Equal(t, p.targets[1].ID, pkid.TargetID("near"))
}

// eventEngines accept each new path while an event of the stream arrives.
type eventEngines struct {
	pkowner.Engines
	event func()
}

func (e eventEngines) Repath(context.Context, string, pkid.RequestID, []pkforward.Hop) (pkowner.Outcome, error) {
	go e.event()
	return pkowner.Done, nil
}

// Guards against a data race between a path change, which logs the number of events, and an event.
func TestEventDuringRepath(t *testing.T) {
	d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80), engine("other", "a", 40, 80))
	a := attemptOver(t, d, s, "first", "second")
	arrived := make(chan struct{})
	d.Engines = eventEngines{event: func() {
		a.recordEvent(time.Now())
		close(arrived)
	}}
	second, _ := d.roster.Target("second")
	by, found := d.findReplacement(time.Now(), a, second)
	assert.Assert(t, found)
	assert.Assert(t, d.repath(t.Context(), a, second, reasonDead, by))
	<-arrived
	assert.Equal(t, a.reroutes, 1)
}

// repathEngines accept each new path and record it.
type repathEngines struct {
	pkowner.Engines
	path []pkforward.Hop
}

func (e *repathEngines) Repath(_ context.Context, _ string, _ pkid.RequestID, path []pkforward.Hop) (pkowner.Outcome, error) {
	e.path = path
	return pkowner.Done, nil
}

// Guards against all engines prefilling all tokens again when a dead engine has a replacement in
// its data centre: the replacement alone must prefill them. With a remote replacement or a second
// dead engine the request must be sent again instead.
func TestStreamTakesLocalReplacementOfDeadEngine(t *testing.T) {
	cases := []struct {
		name        string
		replacement pkid.DataCenter
		dead        []pkid.TargetID
		inPlace     bool
	}{
		{"same data centre", "a", []pkid.TargetID{"second"}, true},
		{"another data centre", "b", []pkid.TargetID{"second"}, false},
		{"two dead engines", "a", []pkid.TargetID{"second", "third"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, s := poolDaemon(
				engine("first", "a", 0, 30), engine("second", "a", 30, 60), engine("third", "a", 60, 80),
				engine("beside", c.replacement, 30, 60), engine("other", "a", 60, 80),
			)
			setRetryBudget(d, 9)
			engines := &repathEngines{}
			d.Engines = engines
			a := attemptOver(t, d, s, "first", "second", "third")
			a.canRetry = true
			var cause error
			a.cancel = func(err error) { cause = err }
			for _, id := range c.dead {
				one, _ := d.roster.Target(id)
				one.MarkDead(time.Now(), time.Now().Add(suspectTTL))
			}
			second, _ := d.roster.Target("second")
			d.reroute(t.Context(), a, second, reasonDead)
			if !c.inPlace {
				assert.Equal(t, cause, errRerouted)
				assert.Equal(t, len(engines.path), 0)
				return
			}
			assert.NilError(t, cause)
			assert.Equal(t, len(engines.path), 3)
			assert.Equal(t, engines.path[1].Addr, "beside")
		})
	}
}

// Guards against streams that wait for their silence timeout although a refused connection shows
// that the engine's process is gone. With an engine that merely did not answer, the stream must be
// silent too.
func TestStreamsLeaveCrashedEngineAtOnce(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{fmt.Errorf("report: %w", syscall.ECONNREFUSED), reasonDead},
		{context.DeadlineExceeded, ""},
	} {
		d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80))
		a := attemptOver(t, d, s, "first", "second")
		now := time.Now()
		a.lastEventAt = now.Add(-20 * time.Millisecond)
		second, _ := d.roster.Target("second")
		d.Engines = connectingEngines{}
		assert.Assert(t, d.confirm(t.Context(), pendingSuspicion{target: second, fault: faultOf(c.err)}))
		_, reason := a.needsReroute(now)
		assert.Equal(t, reason, c.want)
	}
}

// Guards against a stalled stream whose attempt has used up its path changes: it must be sent again
// while it has a retry left, and keep its path otherwise.
func TestStreamIsSentAgainAfterMaxReroutes(t *testing.T) {
	d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80), engine("beside", "a", 40, 80))
	setRetryBudget(d, 9)
	engines := &repathEngines{}
	d.Engines = engines
	a := attemptOver(t, d, s, "first", "second")
	a.reroutes = maxReroutes
	second, _ := d.roster.Target("second")
	now := time.Now()
	second.MarkGone(now, now.Add(suspectTTL))
	_, reason := a.needsReroute(now)
	assert.Equal(t, reason, "", "keeps its path without a retry")

	a.canRetry = true
	var cause error
	a.cancel = func(err error) { cause = err }
	one, reason := a.needsReroute(now)
	assert.Equal(t, reason, reasonDead)
	d.reroute(t.Context(), a, one, reason)
	assert.Equal(t, cause, errRerouted)
	assert.Equal(t, len(engines.path), 0)
}

// setRetryBudget gives a daemon a retry budget of the given number of retries in ten seconds.
func setRetryBudget(d *Daemon, retries float64) {
	d.retry.Store(&Retry{WindowS: 10, Slack: (retries + 0.5) / 0.85})
}

// Guards against moving streams off a draining engine with the last retry: the next engine may
// refuse, and the answer would break off. A stream with a dead engine needs a single retry.
func TestStreamLeavesDrainingEngineOnlyWithRetryReserve(t *testing.T) {
	for _, c := range []struct {
		retries float64
		reason  string
		want    bool
	}{
		{drainRetryReserve, reasonLeaving, true},
		{drainRetryReserve - 1, reasonLeaving, false},
		{1, reasonDead, true},
		{0, reasonDead, false},
	} {
		d, s := poolDaemon(engine("first", "a", 0, 40), engine("second", "a", 40, 80), engine("other", "a", 40, 80))
		setRetryBudget(d, c.retries)
		a := attemptOver(t, d, s, "first", "second")
		a.call.service = s.ID
		assert.Equal(t, d.reserveRetry(a, c.reason), c.want, "%+v", c)
	}
}

// Guards against breaking off a started stream while the retry budget is spent for a moment. A
// request without an answer yet must be refused at once.
func TestStartedStreamWaitsForRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, s := poolDaemon(engine("first", "a", 0, 80))
		d.metrics = newMetrics(d)
		d.retry.Store(&Retry{WindowS: 1, Slack: 1.5 / 0.85})
		a := attemptOver(t, d, s, "first")
		c := a.call
		c.service = s.ID
		c.failed.Record(&pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost})
		assert.Assert(t, c.maySend(pkverdict.NotRun))
		c.charges.End(time.Now(), c.retryWindow())
		assert.Assert(t, !c.maySend(pkverdict.NotRun), "the budget is spent")
		began := time.Now()
		assert.Assert(t, !c.waitForBudget(t.Context(), pkverdict.NotRun))
		assert.Equal(t, time.Since(began), time.Duration(0))
		c.headSent = true
		assert.Assert(t, c.waitForBudget(t.Context(), pkverdict.NotRun))
		assert.Assert(t, time.Since(began) <= resumeTimeout)
	})
}
