package pkowner

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
)

const (
	// askAgain is how soon an engine that refused an order, or did not answer, is
	// read and ordered again.
	askAgain = 500 * time.Millisecond
	// loadSlack multiplies the time that a load takes alone: loads share the store
	// of weights, and more than a few at once slow one another.
	loadSlack = 4
	// loadLeast is added to it, for the report's lag and the list's.
	loadLeast = 2 * time.Second
	// settleTime is how long the list must stay the same before a pool in which
	// nothing is held is laid out: replicas register over seconds after a cold
	// start, and rows laid over half of them are cut to pieces by the rest. Rows
	// over all of them served 0.97 of a calm day where rows over 31 of 39 engines
	// served 0.40.
	settleTime = 1200 * time.Millisecond
	// replaceWait is how long an empty engine in a whole pool waits for its layers: a
	// replacement starts before what it replaces leaves, by 1.9 s as the list shows it.
	// Ordered at once, it took layers that lacked nothing, and those of the engine that
	// left next lacked one more.
	replaceWait = 2200 * time.Millisecond
)

// pending is an order that was sent and does not show in the list yet.
type pending struct {
	layers pkid.Range
	until  time.Time
}

// arrival is when a start of a target was first seen.
type arrival struct {
	at   time.Time
	born pkid.Birth
}

// Desk is the orders under way in one pool; the zero value has none.
type Desk struct {
	pending map[pkid.TargetID]pending
	notYet  map[pkid.TargetID]time.Time
	// seen and changed are the count of live targets and when it last changed.
	seen    int
	changed time.Time
	came    map[pkid.TargetID]arrival
}

// Task is an engine to be read and ordered.
type Task struct {
	Target *pkreplica.Target
	Layers pkid.Range
}

// Next returns the engines to be ordered at now, for the live targets of one pool.
func (d *Desk) Next(now time.Time, m *pklayers.Model, live []*pkreplica.Target) []Task {
	if len(live) != d.seen {
		d.seen, d.changed = len(live), now
	}
	byID := map[pkid.TargetID]*pkreplica.Target{}
	cold := true
	d.noteComing(now, live)
	cards := make([]pklayers.Card, 0, len(live))
	for _, t := range live {
		byID[t.ID] = t
		cards = append(cards, pklayers.Card{ID: t.ID, DataCenter: t.DataCenter, Kind: t.Kind, Held: d.held(now, t), Fresh: now.Sub(d.came[t.ID].at) < replaceWait})
		cold = cold && cards[len(cards)-1].Held.Len() == 0
	}
	if cold && now.Sub(d.changed) < settleTime {
		return nil
	}
	var out []Task
	for id, layers := range pklayers.Plan(m, cards, now.Sub(d.changed)) {
		t := byID[id]
		if _, under := d.pending[id]; under || now.Before(d.notYet[id]) || t.Avoided(now) {
			continue
		}
		out = append(out, Task{Target: t, Layers: layers})
	}
	slices.SortFunc(out, func(a, b Task) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	return out
}

// noteComing notes which targets are new at now and forgets those that are gone. What was
// ordered of one that has started again under its id went with its earlier start.
func (d *Desk) noteComing(now time.Time, live []*pkreplica.Target) {
	came := make(map[pkid.TargetID]arrival, len(live))
	for _, t := range live {
		before, known := d.came[t.ID]
		switch {
		case !known:
			before = arrival{at: now, born: t.Born}
		case before.born != t.Born && before.born != 0:
			before = arrival{at: now, born: t.Born}
			d.changed = now
			delete(d.pending, t.ID)
			delete(d.notYet, t.ID)
		default:
			before.born = t.Born
		}
		came[t.ID] = before
	}
	d.came = came
}

// held returns what a target holds or is loading. An order that does not show in
// time is forgotten: the engine may have restarted empty, or never got it.
func (d *Desk) held(now time.Time, t *pkreplica.Target) pkid.Range {
	p, found := d.pending[t.ID]
	if !found {
		return t.Held
	}
	if t.Held == p.layers || now.After(p.until) {
		delete(d.pending, t.ID)
		return t.Held
	}
	return p.layers
}

// Sent notes at now that an order was sent and what became of it.
func (d *Desk) Sent(now time.Time, m *pklayers.Model, task Task, o Outcome) {
	if d.pending == nil {
		d.pending = map[pkid.TargetID]pending{}
		d.notYet = map[pkid.TargetID]time.Time{}
	}
	if o == Rejected || o == Unknown {
		d.notYet[task.Target.ID] = now.Add(askAgain)
		return
	}
	share := float64(task.Layers.Len()) / float64(m.Layers)
	takes := loadLeast + time.Duration(loadSlack*share*float64(m.LoadTime))
	d.pending[task.Target.ID] = pending{layers: task.Layers, until: now.Add(takes)}
}
