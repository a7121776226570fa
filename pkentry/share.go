package pkentry

import (
	"reflect"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmember"
	"peridotknot.example/pktarget"
)

// sentState is the state already sent to a peer on the current connection.
type sentState struct {
	refs     pkmember.RefEncoder
	counts   map[pkid.TargetID]int64
	pools    map[pkid.PoolID]pkmember.PoolCount
	reports  map[pkid.TargetID]pktarget.Report
	holdings map[pkid.TargetID]*pktarget.Holding
	known    map[pkmember.Instance]bool
}

func newSentState() *sentState {
	return &sentState{
		counts:   map[pkid.TargetID]int64{},
		pools:    map[pkid.PoolID]pkmember.PoolCount{},
		reports:  map[pkid.TargetID]pktarget.Report{},
		holdings: map[pkid.TargetID]*pktarget.Holding{},
		known:    map[pkmember.Instance]bool{},
	}
}

// nextShare returns the changes since the last Share to a peer. Peers outside the neighborhood get
// only the manifest revision and the known members.
func (e *Entry) nextShare(t *sentState, sameNeighborhood bool) *pkmember.Update {
	s := &pkmember.Update{}
	if view := e.view.Load(); view != nil {
		s.Revision, s.Digest = view.Revision, view.Digest
	}
	for _, m := range e.peers.table.LiveMembers(time.Now()) {
		if !t.known[m.Instance] {
			t.known[m.Instance] = true
			s.Known = append(s.Known, m)
		}
	}
	if !sameNeighborhood {
		return s
	}
	e.addCounts(s, t)
	e.addReports(s, t)
	return s
}

// addCounts adds the changed request counts of targets and pools to s.
func (e *Entry) addCounts(s *pkmember.Update, t *sentState) {
	for _, target := range e.targets.All() {
		id, n := target.Info.ID, target.OwnRequests()
		if n != t.counts[id] {
			t.counts[id] = n
			s.Refs = append(s.Refs, t.refs.Ref(id, s))
			s.RefCounts = append(s.RefCounts, n)
		}
	}
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	for id, g := range e.gates.byPool {
		running, waiting, _ := g.Counts()
		p := pkmember.PoolCount{Pool: id, InFlight: running, Waiting: waiting}
		if t.pools[id] != p {
			t.pools[id] = p
			s.Pools = append(s.Pools, p)
		}
	}
}

// addReports adds the changed reports of the targets that this entry polls to s.
func (e *Entry) addReports(s *pkmember.Update, t *sentState) {
	members := e.peers.table.Neighbors(time.Now())
	for _, target := range e.targets.All() {
		id := target.Info.ID
		if !e.isPoller(members, id) {
			continue
		}
		r, h := target.Snapshot()
		if r.MaxBatch == 0 {
			continue
		}
		changedHolding := t.holdings[id] != h && !reflect.DeepEqual(t.holdings[id], h)
		last, known := t.reports[id]
		if known && last == r && !changedHolding {
			continue
		}
		t.reports[id] = r
		report := pkmember.Report{
			Ref:       t.refs.Ref(id, s),
			Active:    r.Active,
			Queued:    r.Queued,
			MaxBatch:  r.MaxBatch,
			StepUS:    r.Step.Microseconds(),
			PerSeqUS:  r.PerSeq.Microseconds(),
			PrefillUS: r.Prefill.Microseconds(),
			Leaving:   target.LeavingBy(pktarget.SourceTarget),
		}
		if changedHolding {
			t.holdings[id] = h
			report.Holding = h
		}
		s.Reports = append(s.Reports, report)
	}
}

// isPoller reports whether this entry is the one among members that polls a target's load.
func (e *Entry) isPoller(members []pkmember.Member, id pkid.TargetID) bool {
	owner, _ := pkmember.Owner(members, string(id))
	return owner.Instance == e.peers.table.Self().Instance
}

// applyReports applies a neighbor's reports of the targets that it polls.
func (e *Entry) applyReports(reports []pkmember.Report, now time.Time) {
	for _, r := range reports {
		t, found := e.targets.Find(r.Target)
		if !found {
			continue
		}
		_, _, known := t.LastReport(now)
		t.Observe(pktarget.NewReport(r.Active, r.Queued, r.MaxBatch, r.StepUS, r.PerSeqUS, r.PrefillUS), now)
		t.SetLeaving(pktarget.SourceTarget, r.Leaving)
		changed := r.Holding != nil && t.SetHolding(*r.Holding)
		if changed || !known {
			e.targets.InvalidatePlans()
		}
	}
}
