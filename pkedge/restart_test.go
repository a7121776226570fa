package pkedge

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

// reportingEngines answer all reports alike.
type reportingEngines struct {
	pkowner.Engines
	report pkowner.Report
}

func (e reportingEngines) Report(context.Context, string) (pkowner.Report, error) {
	return e.report, nil
}

func withStartTime(info pkreplica.Info, start pkid.StartTime) pkreplica.Info {
	info.Born = start
	return info
}

// applyRecord applies a record in the pool of poolDaemon at a revision.
func (d *Daemon) applyRecord(now time.Time, rev pkstore.Revision, info pkreplica.Info) {
	info.Service, info.Addr = "models", string(info.ID)
	d.roster.Apply(now, []pkreplica.Record{{Revision: rev, Info: info}}, rev)
}

func (d *Daemon) target(t *testing.T, id pkid.TargetID) *pkreplica.Target {
	t.Helper()
	out, found := d.roster.Target(id)
	assert.Assert(t, found)
	return out
}

// Guards against streams that wait for seconds for an engine that has restarted under its id and
// lost them: they must leave it as soon as the list, a report or a peer shows the restart.
func TestStreamsLeaveARestartedEngine(t *testing.T) {
	now := time.Now()
	sources := map[string]func(d *Daemon){
		"list": func(d *Daemon) { d.applyRecord(now, 2, withStartTime(pkreplica.Info{ID: "b", Kind: "l4"}, 200)) },
		"report": func(d *Daemon) {
			d.Engines = reportingEngines{report: pkowner.Report{Born: 200, AcceptedOrders: 1}}
			_, err := d.readReport(t.Context(), d.target(t, "b"))
			assert.NilError(t, err)
		},
		"empty report": func(d *Daemon) {
			d.Engines = reportingEngines{}
			_, err := d.readReport(t.Context(), d.target(t, "b"))
			assert.NilError(t, err)
		},
		"peer": func(d *Daemon) {
			d.receiveSuspicion(now, "other", pkshare.Suspect{Target: "b", RemainingMS: 1000, Born: 200})
		},
	}
	for name, showRestart := range sources {
		t.Run(name, func(t *testing.T) {
			d, s := poolDaemon(withStartTime(engine("a", "x", 0, 40), 100), withStartTime(engine("b", "x", 40, 80), 100), withStartTime(engine("c", "x", 40, 80), 100))
			a := attemptOver(t, d, s, "a", "b")
			a.recordEvent(now)
			gone, _ := a.needsReroute(now)
			assert.Assert(t, gone == nil)
			showRestart(d)
			gone, reason := a.needsReroute(now)
			assert.Assert(t, gone != nil && gone.ID == "b")
			assert.Equal(t, reason, reasonDead)
		})
	}
}

// Guards against suspecting a restart of an engine that holds its layers, is busy loading them, or
// has none in its record either.
func TestReportWithoutARestart(t *testing.T) {
	held := pkid.Range{First: 40, End: 80}
	for _, row := range []struct {
		listed pkid.Range
		report pkowner.Report
	}{
		{held, pkowner.Report{Held: held, AcceptedOrders: 1}},
		{held, pkowner.Report{Held: held}},
		{held, pkowner.Report{AcceptedOrders: 3}},
		{held, pkowner.Report{Busy: true}},
		{pkid.Range{}, pkowner.Report{}},
		{held, pkowner.Report{Held: held, AcceptedOrders: 1, Born: 100}},
		{held, pkowner.Report{Held: held, AcceptedOrders: 1, Born: 50}},
	} {
		d, _ := poolDaemon(withStartTime(engine("b", "x", row.listed.First, row.listed.End), 100))
		d.Engines = reportingEngines{report: row.report}
		_, err := d.readReport(t.Context(), d.target(t, "b"))
		assert.NilError(t, err)
		assert.Assert(t, !d.target(t, "b").Avoided(time.Now()), "%+v", row)
	}
}

// Guards against avoiding a restarted engine for a suspicion about its previous start, which peers
// report for four seconds.
func TestSuspicionOfAnEarlierStartIsDropped(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(withStartTime(engine("a", "x", 0, 80), 200))
	d.Engines = connectingEngines{reportErr: syscall.ECONNREFUSED}
	report := pkshare.Suspect{Target: "a", RemainingMS: 4000, Gone: true, Born: 100}
	d.receiveSuspicion(now, "other", report)
	d.confirmPending(t)
	assert.Assert(t, !d.target(t, "a").Avoided(now))
	report.Born = 200
	d.receiveSuspicion(now, "other", report)
	d.confirmPending(t)
	assert.Assert(t, d.target(t, "a").IsGone(now))
	d.applyRecord(now, 2, withStartTime(engine("a", "x", 0, 80), 300))
	assert.Assert(t, !d.target(t, "a").Avoided(now))
	assert.Equal(t, len(d.message(now).Suspects), 0, "it is no longer reported either")
}

// Guards against sending requests to an engine that has lost its layers: the entry that finds it
// must report it to the others, and all must avoid the engine until its record changes.
func TestEngineWithStaleRecordIsReportedUntilItsRecordChanges(t *testing.T) {
	now := time.Now()
	one, _ := poolDaemon(engine("a", "x", 0, 80))
	two, _ := poolDaemon(engine("a", "x", 0, 80))
	one.suspectStaleRecord(now, one.target(t, "a"))
	reported := one.message(now).Suspects
	assert.Equal(t, len(reported), 1)
	two.receiveSuspicion(now, "one", reported[0])
	assert.Assert(t, one.target(t, "a").Avoided(now) && two.target(t, "a").Avoided(now))
	for _, d := range []*Daemon{one, two} {
		d.applyRecord(now, 2, engine("a", "x", 0, 40))
		assert.Assert(t, !d.target(t, "a").Avoided(now))
	}
	two.receiveSuspicion(now, "one", reported[0])
	assert.Assert(t, !two.target(t, "a").Avoided(now), "late report")
	assert.Equal(t, len(one.message(now).Suspects), 0)
	old := one.target(t, "a")
	one.applyRecord(now, 3, engine("a", "x", 0, 20))
	one.suspectStaleRecord(now, old)
	assert.Assert(t, !one.target(t, "a").Avoided(now), "it was chosen by an earlier record")
}
