package pkentry

import (
	"reflect"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmember"
	"peridotknot.example/pktarget"
)

// told is what one peer was told on the present connection.
type told struct {
	refs     pkmember.Refs
	counts   map[pkid.TargetID]int64
	pools    map[pkid.PoolID]pkmember.PoolCount
	reports  map[pkid.TargetID]pktarget.Report
	holdings map[pkid.TargetID]*pktarget.Holding
	known    map[pkmember.Instance]bool
}

func newTold() *told {
	return &told{
		counts:   map[pkid.TargetID]int64{},
		pools:    map[pkid.PoolID]pkmember.PoolCount{},
		reports:  map[pkid.TargetID]pktarget.Report{},
		holdings: map[pkid.TargetID]*pktarget.Holding{},
		known:    map[pkmember.Instance]bool{},
	}
}

// nextShare returns what changed since the last Share to a peer. Those outside
// the neighborhood get no detail.
func (e *Entry) nextShare(t *told, near bool) *pkmember.Share {
	s := &pkmember.Share{}
	if view := e.view.Load(); view != nil {
		s.Revision, s.Digest = view.Revision, view.Digest
	}
	for _, m := range e.peers.table.Known(time.Now()) {
		if !t.known[m.Instance] {
			t.known[m.Instance] = true
			s.Known = append(s.Known, m)
		}
	}
	if !near {
		return s
	}
	e.shareCounts(s, t)
	e.shareReports(s, t)
	return s
}

func (e *Entry) shareCounts(s *pkmember.Share, t *told) {
	for _, one := range e.targets.All() {
		id, n := one.Info.ID, one.Own()
		if n != t.counts[id] {
			t.counts[id] = n
			s.Refs = append(s.Refs, t.refs.Of(id, s))
			s.Ns = append(s.Ns, n)
		}
	}
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	for id, g := range e.gates.all {
		running, waiting, _ := g.Counts()
		p := pkmember.PoolCount{Pool: id, InFlight: running, Waiting: waiting}
		if t.pools[id] != p {
			t.pools[id] = p
			s.Pools = append(s.Pools, p)
		}
	}
}

// shareReports tells of the targets that this entry looks after.
func (e *Entry) shareReports(s *pkmember.Share, t *told) {
	members := e.peers.table.Neighbors(time.Now())
	for _, one := range e.targets.All() {
		id := one.Info.ID
		if !e.looksAfter(members, id) {
			continue
		}
		r, h := one.Numbers()
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
			Ref:       t.refs.Of(id, s),
			Active:    r.Active,
			Queued:    r.Queued,
			MaxBatch:  r.MaxBatch,
			StepUS:    r.Step.Microseconds(),
			PerSeqUS:  r.PerSeq.Microseconds(),
			PrefillUS: r.Prefill.Microseconds(),
			Leaving:   one.LeavingBy(pktarget.WitnessSelf),
		}
		if changedHolding {
			t.holdings[id] = h
			report.Holding = h
		}
		s.Reports = append(s.Reports, report)
	}
}

func (e *Entry) looksAfter(members []pkmember.Member, id pkid.TargetID) bool {
	owner, _ := pkmember.Owner(members, string(id))
	return owner.Instance == e.peers.table.Self().Instance
}

// takeReports takes over what a neighbor read from the targets it looks after.
func (e *Entry) takeReports(reports []pkmember.Report, now time.Time) {
	for _, r := range reports {
		t, found := e.targets.Find(r.Target)
		if !found {
			continue
		}
		_, _, known := t.Reported(now)
		t.Observe(pktarget.NewReport(r.Active, r.Queued, r.MaxBatch, r.StepUS, r.PerSeqUS, r.PrefillUS), now)
		t.Leave(pktarget.WitnessSelf, r.Leaving)
		changed := r.Holding != nil && t.Hold(*r.Holding)
		if changed || !known {
			e.targets.Changed()
		}
	}
}
