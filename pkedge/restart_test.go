package pkedge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkowner"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

// reportingEngines answer each report alike.
type reportingEngines struct {
	pkowner.Engines
	report pkowner.Report
}

func (e reportingEngines) Report(context.Context, string) (pkowner.Report, error) {
	return e.report, nil
}

func born(info pkreplica.Info, b pkid.Birth) pkreplica.Info {
	info.Born = b
	return info
}

// lists applies an entry of the pool of poolDaemon at a revision.
func (d *Daemon) lists(now time.Time, rev pkstore.Revision, info pkreplica.Info) {
	info.Service, info.Addr = "models", string(info.ID)
	d.roster.Apply(now, []pkreplica.Record{{Revision: rev, Info: info}}, rev)
}

func (d *Daemon) target(t *testing.T, id pkid.TargetID) *pkreplica.Target {
	t.Helper()
	out, found := d.roster.Target(id)
	assert.Assert(t, found)
	return out
}

// An engine crashes and starts again under its id. Its streams wait for what it no longer
// knows; engines cut them only after seconds. They must leave as soon as the new birth is
// seen, in the list or in a report, and not once they have been silent for long.
func TestStreamsLeaveAnEngineThatStartsAgain(t *testing.T) {
	now := time.Now()
	tell := map[string]func(d *Daemon){
		"list": func(d *Daemon) { d.lists(now, 2, born(pkreplica.Info{ID: "b", Kind: "l4"}, 200)) },
		"report": func(d *Daemon) {
			d.Engines = reportingEngines{report: pkowner.Report{Born: 200, Orders: 1}}
			_, err := d.readReport(t.Context(), d.target(t, "b"))
			assert.NilError(t, err)
		},
		"an empty report": func(d *Daemon) {
			d.Engines = reportingEngines{}
			_, err := d.readReport(t.Context(), d.target(t, "b"))
			assert.NilError(t, err)
		},
		"a peer": func(d *Daemon) {
			d.receiveSuspicion(now, "other", pkshare.Suspect{Target: "b", ForMS: 1000, Born: 200})
		},
	}
	for name, told := range tell {
		t.Run(name, func(t *testing.T) {
			d, s := poolDaemon(born(engine("a", "x", 0, 40), 100), born(engine("b", "x", 40, 80), 100), born(engine("c", "x", 40, 80), 100))
			a := attemptOver(t, d, s, "a", "b")
			a.recordEvent(now)
			gone, _ := a.needsReroute(now)
			assert.Assert(t, gone == nil)
			told(d)
			gone, why := a.needsReroute(now)
			assert.Assert(t, gone != nil && gone.ID == "b")
			assert.Equal(t, why, reasonDead)
		})
	}
}

// An engine that holds its layers, or loads them, or holds none by its entry either, has not
// been found to have started again.
func TestAReportThatSaysNothingNew(t *testing.T) {
	held := pkid.Range{First: 40, End: 80}
	for _, row := range []struct {
		listed pkid.Range
		report pkowner.Report
	}{
		{held, pkowner.Report{Held: held, Orders: 1}},
		{held, pkowner.Report{Held: held}},
		{held, pkowner.Report{Orders: 3}},
		{held, pkowner.Report{Busy: true}},
		{pkid.Range{}, pkowner.Report{}},
		{held, pkowner.Report{Held: held, Orders: 1, Born: 100}},
		{held, pkowner.Report{Held: held, Orders: 1, Born: 50}},
	} {
		d, _ := poolDaemon(born(engine("b", "x", row.listed.First, row.listed.End), 100))
		d.Engines = reportingEngines{report: row.report}
		_, err := d.readReport(t.Context(), d.target(t, "b"))
		assert.NilError(t, err)
		assert.Assert(t, !d.target(t, "b").Avoided(time.Now()), "%+v", row)
	}
}

// An entry found an engine dead, which then started again. Its word goes around for four
// seconds; taken for the new start, the engine would be passed over though it serves.
func TestWordOfAnEarlierStartIsNotTaken(t *testing.T) {
	now := time.Now()
	d, _ := poolDaemon(born(engine("a", "x", 0, 80), 200))
	told := pkshare.Suspect{Target: "a", ForMS: 4000, Gone: true, Born: 100}
	d.receiveSuspicion(now, "other", told)
	assert.Assert(t, !d.target(t, "a").Avoided(now))
	told.Born = 200
	d.receiveSuspicion(now, "other", told)
	assert.Assert(t, d.target(t, "a").IsGone(now))
	d.lists(now, 2, born(engine("a", "x", 0, 80), 300))
	assert.Assert(t, !d.target(t, "a").Avoided(now))
	assert.Equal(t, len(d.message(now).Suspects), 0, "nor is it told any more")
}

// An engine refuses its part of a path, since it has lost what its entry names. One entry
// learns it by a request of its own; the others are told, until the entry says otherwise.
func TestAMisplacedEngineIsToldUntilItsEntryChanges(t *testing.T) {
	now := time.Now()
	one, _ := poolDaemon(engine("a", "x", 0, 80))
	two, _ := poolDaemon(engine("a", "x", 0, 80))
	one.suspectMisplaced(now, one.target(t, "a"))
	told := one.message(now).Suspects
	assert.Equal(t, len(told), 1)
	two.receiveSuspicion(now, "one", told[0])
	assert.Assert(t, one.target(t, "a").Avoided(now) && two.target(t, "a").Avoided(now))
	for _, d := range []*Daemon{one, two} {
		d.lists(now, 2, engine("a", "x", 0, 40))
		assert.Assert(t, !d.target(t, "a").Avoided(now))
	}
	two.receiveSuspicion(now, "one", told[0])
	assert.Assert(t, !two.target(t, "a").Avoided(now), "late word")
	assert.Equal(t, len(one.message(now).Suspects), 0)
	old := one.target(t, "a")
	one.lists(now, 3, engine("a", "x", 0, 20))
	one.suspectMisplaced(now, old)
	assert.Assert(t, !one.target(t, "a").Avoided(now), "it was chosen by an earlier entry")
}
