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
	// retryDelay is how long to wait before an engine that rejected an order, or did not reply, is
	// tried again.
	retryDelay = 500 * time.Millisecond
	// loadTimeFactor multiplies the time that a load takes alone, since concurrent loads share the
	// bandwidth of the weight store.
	loadTimeFactor = 4
	// loadTimeMargin is added for the delay of the engine's report and of the replica list.
	loadTimeMargin = 2 * time.Second
	// settleTime is how long the replica list must be unchanged before a pool without layers is
	// planned. Replicas register over seconds after a cold start, and a plan over a part of them
	// does not fit the rest. Pipelines over all replicas served 0.97 of a calm day, those over 31
	// of 39 served 0.40.
	settleTime = 1200 * time.Millisecond
	// replacementDelay is how long a new engine waits for layers in a pool that holds all of them.
	// A replacement starts before the engine that it replaces leaves, and should take that one's
	// layers. It appears in the list 1.9 s before the other leaves.
	replacementDelay = 2200 * time.Millisecond
)

// pendingOrder is an order whose effect is not in the replica list yet.
type pendingOrder struct {
	layers   pkid.Range
	deadline time.Time
}

// arrival records when a start of a target was first seen.
type arrival struct {
	at   time.Time
	born pkid.StartTime
}

// Scheduler schedules the orders of one pool; the zero value has none pending.
type Scheduler struct {
	pending map[pkid.TargetID]pendingOrder
	retryAt map[pkid.TargetID]time.Time
	// liveCount is the number of live targets, changedAt is when one last joined, left or
	// restarted.
	liveCount int
	changedAt time.Time
	arrivals  map[pkid.TargetID]arrival
}

// Task is an order of layers for an engine.
type Task struct {
	Target *pkreplica.Target
	Layers pkid.Range
}

// Next returns the engines to send orders to at now, given the live targets of one pool.
func (s *Scheduler) Next(now time.Time, m *pklayers.Model, live []*pkreplica.Target) []Task {
	if len(live) != s.liveCount {
		s.liveCount, s.changedAt = len(live), now
	}
	byID := map[pkid.TargetID]*pkreplica.Target{}
	cold := true
	s.updateArrivals(now, live)
	engines := make([]pklayers.Placement, 0, len(live))
	for _, t := range live {
		byID[t.ID] = t
		engines = append(engines, pklayers.Placement{ID: t.ID, DataCenter: t.DataCenter, Kind: t.Kind, Held: s.layersOf(now, t), JustJoined: now.Sub(s.arrivals[t.ID].at) < replacementDelay})
		cold = cold && engines[len(engines)-1].Held.Len() == 0
	}
	if cold && now.Sub(s.changedAt) < settleTime {
		return nil
	}
	var out []Task
	for id, layers := range pklayers.Plan(m, engines, now.Sub(s.changedAt)) {
		t := byID[id]
		if _, isPending := s.pending[id]; isPending || now.Before(s.retryAt[id]) || t.Avoided(now) {
			continue
		}
		out = append(out, Task{Target: t, Layers: layers})
	}
	slices.SortFunc(out, func(a, b Task) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	return out
}

// updateArrivals adds new targets and removes those that are gone. For a target that has restarted
// under its ID it drops the pending order, which was for the earlier start.
func (s *Scheduler) updateArrivals(now time.Time, live []*pkreplica.Target) {
	arrivals := make(map[pkid.TargetID]arrival, len(live))
	for _, t := range live {
		before, known := s.arrivals[t.ID]
		switch {
		case !known:
			before = arrival{at: now, born: t.Born}
		case before.born != t.Born && before.born != 0:
			before = arrival{at: now, born: t.Born}
			s.changedAt = now
			delete(s.pending, t.ID)
			delete(s.retryAt, t.ID)
		default:
			before.born = t.Born
		}
		arrivals[t.ID] = before
	}
	s.arrivals = arrivals
}

// layersOf returns the layers that a target holds or is loading. A pending order without an effect
// in time is dropped: the engine may have restarted, or never received it.
func (s *Scheduler) layersOf(now time.Time, t *pkreplica.Target) pkid.Range {
	p, found := s.pending[t.ID]
	if !found {
		return t.Held
	}
	if t.Held == p.layers || now.After(p.deadline) {
		delete(s.pending, t.ID)
		return t.Held
	}
	return p.layers
}

// RecordOutcome records that task was sent at now, and its outcome.
func (s *Scheduler) RecordOutcome(now time.Time, m *pklayers.Model, task Task, o Outcome) {
	if s.pending == nil {
		s.pending = map[pkid.TargetID]pendingOrder{}
		s.retryAt = map[pkid.TargetID]time.Time{}
	}
	if o == Rejected || o == Unknown {
		s.retryAt[task.Target.ID] = now.Add(retryDelay)
		return
	}
	fraction := float64(task.Layers.Len()) / float64(m.Layers)
	loadTime := loadTimeMargin + time.Duration(loadTimeFactor*fraction*float64(m.LoadTime))
	s.pending[task.Target.ID] = pendingOrder{layers: task.Layers, deadline: now.Add(loadTime)}
}
