package pkowner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

func model() *pklayers.Model {
	return &pklayers.Model{
		Layers: 20, LayerMB: 1000, TokenBytes: 200_000, Step: time.Millisecond, LoadTime: 10 * time.Second,
		Kinds: map[pkid.AcceleratorKind]pklayers.Accelerator{"x": {MemoryMB: 8000, StepFactor: 1, PrefillFactor: 1}},
	}
}

type pool struct {
	roster   pkreplica.Roster
	revision pkstore.Revision
}

func (p *pool) set(now time.Time, id string, held pkid.Range) {
	p.revision++
	info := pkreplica.Info{ID: pkid.TargetID(id), Service: "s", Addr: id, DataCenter: "a", Kind: "x", Held: held}
	p.roster.Apply(now, []pkreplica.Record{{Revision: p.revision, Info: info}}, p.revision)
}

func (p *pool) remove(now time.Time, id string) {
	p.revision++
	p.roster.Apply(now, []pkreplica.Record{{Revision: p.revision, Info: pkreplica.Info{ID: pkid.TargetID(id)}, Deleted: true}}, p.revision)
}

func (p *pool) live(now time.Time) []*pkreplica.Target { return p.roster.Live(now, "s") }

// Replicas register one after the other after a cold start. A plan over the first few does not fit
// those that follow, so the plan must wait until no more arrive.
func TestColdPoolIsPlannedOnceItHasSettled(t *testing.T) {
	now := time.Unix(1000, 0)
	var p pool
	var s Scheduler
	for i := range 8 {
		p.set(now, fmt.Sprint(i), pkid.Range{})
		assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0)
		now = now.Add(settleTime / 2)
	}
	now = now.Add(settleTime)
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 8)
}

// An order that an engine has begun must not be repeated while its effect is not yet listed. One
// without a reply is sent again after retryDelay, and so is one to an engine that restarted empty.
func TestPendingOrderIsNotRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	var p pool
	var s Scheduler
	for i := range 8 {
		p.set(now, fmt.Sprint(i), pkid.Range{})
	}
	s.Next(now, model(), p.live(now))
	now = now.Add(2 * settleTime)
	tasks := s.Next(now, model(), p.live(now))
	assert.Equal(t, len(tasks), 8)
	for i, task := range tasks {
		o := Begun
		if i == 0 {
			o = Unknown
		}
		s.RecordOutcome(now, model(), task, o)
	}
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0)
	now = now.Add(retryDelay)
	again := s.Next(now, model(), p.live(now))
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Target.ID, tasks[0].Target.ID)
	s.RecordOutcome(now, model(), again[0], Begun)
	for _, task := range tasks {
		p.set(now, string(task.Target.ID), task.Layers)
	}
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0)
	p.set(now, "3", pkid.Range{})
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 1)
}

// In a rolling update the new engine starts two seconds before the old one leaves. It must wait and
// then take the old one's layers, which would otherwise lack memory for requests.
func TestReplacementTakesTheLayersOfTheLeavingEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	var p pool
	var s Scheduler
	rows := []pkid.Range{{First: 0, End: 5}, {First: 5, End: 10}, {First: 10, End: 15}, {First: 15, End: 20}}
	for i, held := range append(rows, rows...) {
		p.set(now, fmt.Sprint(i), held)
	}
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0)
	now = now.Add(time.Minute)
	p.set(now, "new", pkid.Range{})
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0)
	now = now.Add(replacementDelay - time.Millisecond)
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0, "the engine that it replaces has not left yet")
	p.remove(now, "2")
	tasks := s.Next(now, model(), p.live(now))
	assert.Equal(t, len(tasks), 1)
	assert.Equal(t, tasks[0].Target.ID, pkid.TargetID("new"))
	assert.Assert(t, tasks[0].Layers.First <= rows[2].First && rows[2].End <= tasks[0].Layers.End, "%v", tasks[0].Layers)
}

func TestAddedEngineIsPlacedAfterReplacementDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	var p pool
	var s Scheduler
	for i := range 8 {
		first := pkid.Layer(5 * (i % 4))
		p.set(now, fmt.Sprint(i), pkid.Range{First: first, End: first + 5})
	}
	s.Next(now, model(), p.live(now))
	now = now.Add(time.Minute)
	p.set(now, "new", pkid.Range{})
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0)
	now = now.Add(replacementDelay)
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 1)
}

// An engine that crashes while it loads and restarts under its ID is listed as empty again. The
// order to its earlier start must not count as pending.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	var p pool
	var s Scheduler
	for i := range 8 {
		first := pkid.Layer(5 * (i % 4))
		p.set(now, fmt.Sprint(i), pkid.Range{First: first, End: first + 5})
	}
	start := func(b pkid.StartTime) {
		p.revision++
		info := pkreplica.Info{ID: "new", Service: "s", Addr: "new", DataCenter: "a", Kind: "x", Born: b}
		p.roster.Apply(now, []pkreplica.Record{{Revision: p.revision, Info: info}}, p.revision)
	}
	start(1)
	s.Next(now, model(), p.live(now))
	now = now.Add(replacementDelay)
	tasks := s.Next(now, model(), p.live(now))
	assert.Equal(t, len(tasks), 1)
	s.RecordOutcome(now, model(), tasks[0], Begun)
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0)
	start(2)
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 0, "the engine that it replaces may not have left yet")
	now = now.Add(replacementDelay)
	assert.Equal(t, len(s.Next(now, model(), p.live(now))), 1)
}
