package pkedge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
)

// deafEngines answer no question before it is given up.
type deafEngines struct{ pkowner.Engines }

func (deafEngines) Report(ctx context.Context, _ string) (pkowner.Report, error) {
	<-ctx.Done()
	return pkowner.Report{}, context.Cause(ctx)
}

// poolDaemon is a daemon that knows engines of a model and runs nothing.
func poolDaemon(infos ...pkreplica.Info) (*Daemon, *pkconfig.Service) {
	d := &Daemon{log: hclog.NewNullLogger()}
	d.sharing.suspects = map[pkid.TargetID]time.Time{}
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

// The engine in the middle of many streams dies. In its data centre another holds its
// layers, or only engines beyond a pipe do. Through the pipe and back go all tokens so far
// of all these streams, one after the other, and each stands still for half a second. Only
// an engine nearby may take its place; otherwise another attempt goes elsewhere as a whole.
func TestADetourStaysInTheDataCenter(t *testing.T) {
	row := []pkreplica.Info{engine("first", "a", 0, 30), engine("dead", "a", 30, 50), engine("last", "a", 50, 80)}
	for _, c := range []struct {
		dc   pkid.DataCenter
		want bool
	}{{"a", true}, {"b", false}} {
		d, s := poolDaemon(append(row, engine("other", c.dc, 25, 55))...)
		a := attemptOver(t, d, s, "first", "dead", "last")
		dead, _ := d.roster.Target("dead")
		dead.Dead(time.Now().Add(time.Minute))
		assert.Equal(t, d.detourIsSooner(a, dead), c.want, "the other engine is in %s", c.dc)
	}
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
