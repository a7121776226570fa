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

// nextUpdate returns the changes since the last update to a peer. Peers outside the neighborhood get
// only the manifest revision and the known members.
func (e *Entry) nextUpdate(sent *sentState, sameNeighborhood bool) *pkmember.Update {
	u := &pkmember.Update{}
	if view := e.view.Load(); view != nil {
		u.Revision, u.Digest = view.Revision, view.Digest
	}
	for _, m := range e.peers.table.LiveMembers(time.Now()) {
		if !sent.known[m.Instance] {
			sent.known[m.Instance] = true
			u.Known = append(u.Known, m)
		}
	}
	if !sameNeighborhood {
		return u
	}
	e.addCounts(u, sent)
	e.addReports(u, sent)
	return u
}

// addCounts adds the changed request counts of targets and pools to u.
func (e *Entry) addCounts(u *pkmember.Update, sent *sentState) {
	for _, target := range e.targets.All() {
		id, n := target.Info.ID, target.OwnRequests()
		if n != sent.counts[id] {
			sent.counts[id] = n
			u.Refs = append(u.Refs, sent.refs.Ref(id, u))
			u.RefCounts = append(u.RefCounts, n)
		}
	}
	e.gates.mu.Lock()
	defer e.gates.mu.Unlock()
	for id, g := range e.gates.byPool {
		running, waiting, _ := g.Counts()
		p := pkmember.PoolCount{Pool: id, InFlight: running, Waiting: waiting}
		if sent.pools[id] != p {
			sent.pools[id] = p
			u.Pools = append(u.Pools, p)
		}
	}
}

// addReports adds the changed reports of the targets that this entry polls to u.
func (e *Entry) addReports(u *pkmember.Update, sent *sentState) {
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
		changedHolding := sent.holdings[id] != h && !reflect.DeepEqual(sent.holdings[id], h)
		last, known := sent.reports[id]
		if known && last == r && !changedHolding {
			continue
		}
		sent.reports[id] = r
		report := pkmember.Report{
			Ref:       sent.refs.Ref(id, u),
			Active:    r.Active,
			Queued:    r.Queued,
			MaxBatch:  r.MaxBatch,
			StepUS:    r.Step.Microseconds(),
			PerSeqUS:  r.PerSeq.Microseconds(),
			PrefillUS: r.Prefill.Microseconds(),
			Leaving:   target.LeavingBy(pktarget.SourceTarget),
		}
		if changedHolding {
			sent.holdings[id] = h
			report.Holding = h
		}
		u.Reports = append(u.Reports, report)
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
