package pkshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// hubThreshold is the number of other entries at which entries send to hubs instead of to one
	// another, since the work of an entry in a full mesh grows with their number. Every entry of a
	// full mesh sends to all others seven times a second: at 69 entries 470 messages a second each
	// way.
	hubThreshold = 12
	// hubsPerDataCenter is the number of hubs in a data centre. One may fail without a gap in
	// updates.
	hubsPerDataCenter = 2
	// hubGrace is how long a hub may take to send its first message before another replaces it. It
	// must first determine its role, connect, and receive from its entries.
	hubGrace = 3 * time.Second
	// hubExclusion is how long a hub that sent no message is excluded.
	hubExclusion = 10 * time.Second
)

// Member describes an entry to the others.
type Member struct {
	ID         pkid.EntryID    `json:"id"`
	Addr       string          `json:"addr"`
	DataCenter pkid.DataCenter `json:"data_center"`
	// ProcessorShare is the share of a processor that its VM has.
	ProcessorShare float64 `json:"processor_share"`
	// Unregistered is set if the entry has no key in the store and is known only from its messages.
	Unregistered bool `json:"unregistered,omitempty"`
	// Relays is set if it accepts relayed requests.
	Relays bool `json:"relays,omitempty"`
}

// comparePreference orders members by how well they serve as hubs: those with the largest processor
// share first, then those that are registered, then by ID.
func comparePreference(a, b Member) int {
	return cmp.Or(cmp.Compare(b.share(), a.share()), compareBool(a.Unregistered, b.Unregistered), cmp.Compare(a.ID, b.ID))
}

// share returns the processor share at the precision of messages, which show it less exactly than
// the store does.
func (m Member) share() float32 { return float32(m.ProcessorShare) }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Role is the role of another entry relative to this one, which decides what it is sent.
type Role uint8

// Roles of other entries. Without hubs all of them are peers.
const (
	// Peer is sent the loads of this entry.
	Peer Role = iota
	// Spoke is an entry that this hub serves; it is sent the sum over all entries.
	Spoke
	// RemoteHub is a hub of another data centre; it is sent the sum over the entries of this one.
	RemoteHub
)

const roleCount = int(RemoteHub) + 1

// UsesHubs reports whether entries use hubs where there are that many others.
func UsesHubs(others int) bool { return others >= hubThreshold }

// Roles are the roles of an entry and of those that it sends to.
type Roles struct {
	// ByAddr holds the other entries that this one sends to, by address.
	ByAddr map[string]Role
	// Designated is set if this entry is one of the designated entries of its data centre, which
	// are its hubs where there are hubs; First is set if it is the first of them.
	Designated bool
	First      bool
	// FirstHub is the first designated entry.
	FirstHub pkid.EntryID
}

// Roles returns the roles at now of this entry and of the others that it sends to.
//
// In a small fleet each entry sends to all others. In a large one it sends to the hubs of its data
// centre. These add up the loads, send the sum to the hubs of other data centres, and send the sum
// over all to their own entries.
func (t *Table) Roles(now time.Time, self Member, others []Member) Roles {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := hubCandidates(append(slices.Clone(others), self))
	local := t.hubs(now, self, candidates[self.DataCenter])
	out := Roles{ByAddr: map[string]Role{}, Designated: slices.Contains(local, self.ID)}
	if len(local) > 0 {
		out.FirstHub = local[0]
		out.First = local[0] == self.ID
	}
	if !UsesHubs(len(others)) {
		for _, m := range others {
			out.ByAddr[m.Addr] = Peer
		}
		return out
	}
	remote := map[pkid.EntryID]bool{}
	if out.Designated {
		for dc := range candidates {
			for _, id := range t.hubs(now, self, candidates[dc]) {
				remote[id] = dc != self.DataCenter
			}
		}
	}
	for _, m := range others {
		switch {
		case m.DataCenter == self.DataCenter && slices.Contains(local, m.ID):
			out.ByAddr[m.Addr] = Peer
		case m.DataCenter == self.DataCenter && out.Designated:
			out.ByAddr[m.Addr] = Spoke
		case remote[m.ID]:
			out.ByAddr[m.Addr] = RemoteHub
		}
	}
	return out
}

// hubCandidates returns the entries that can be hubs by data centre, the preferred ones first. These
// are the registered ones, or all of a data centre that has none.
func hubCandidates(all []Member) map[pkid.DataCenter][]Member {
	out := map[pkid.DataCenter][]Member{}
	for _, m := range all {
		if !m.Unregistered {
			out[m.DataCenter] = append(out[m.DataCenter], m)
		}
	}
	unregistered := map[pkid.DataCenter][]Member{}
	for _, m := range all {
		if m.Unregistered && out[m.DataCenter] == nil {
			unregistered[m.DataCenter] = append(unregistered[m.DataCenter], m)
		}
	}
	maps.Copy(out, unregistered)
	for _, members := range out {
		slices.SortFunc(members, comparePreference)
	}
	return out
}

// hubs returns the hubs among the candidates of a data centre by this entry's own observation: the
// preferred ones without silent ones. Each entry excludes a silent hub independently, including the
// entry that becomes hub in its place.
func (t *Table) hubs(now time.Time, self Member, candidates []Member) []pkid.EntryID {
	var out []pkid.EntryID
	for _, m := range candidates {
		if len(out) == hubsPerDataCenter {
			break
		}
		if m.ID == self.ID || !t.isSilent(now, m.ID) {
			out = append(out, m.ID)
		}
	}
	return out
}

// isSilent reports whether an entry that is expected to be a hub has sent no recent message.
func (t *Table) isSilent(now time.Time, id pkid.EntryID) bool {
	if p := t.peers[id]; p != nil && now.Sub(p.lastReceivedAt) < staleAfter {
		delete(t.expectedSince, id)
		return false
	}
	if t.expectedSince == nil {
		t.expectedSince = map[pkid.EntryID]time.Time{}
	}
	since, known := t.expectedSince[id]
	if !known || now.Sub(since) >= hubGrace+hubExclusion {
		t.expectedSince[id] = now
		return false
	}
	return now.Sub(since) >= hubGrace
}

// Sum is the total load and demand of several entries.
type Sum struct {
	// Global is set if the sum covers all entries; otherwise it covers those of the sender's data
	// centre.
	Global bool `cbor:"1,keyasint"`
	// Entries is the number of entries in the sum.
	Entries int    `cbor:"2,keyasint"`
	Loads   []Load `cbor:"3,keyasint,omitempty"`
	Flows   []Flow `cbor:"4,keyasint,omitempty"`
	// Partial is set if the loads sent before remain, except for those in Changed, where zero
	// tokens remove one. Earlier builds skip both fields and see no loads until the next full sum.
	Partial bool   `cbor:"5,keyasint,omitempty"`
	Changed []Load `cbor:"6,keyasint,omitempty"`
	// Demands are few, and complete in partial sums as well.
	Demands []Demand `cbor:"7,keyasint,omitempty"`
}

// Sums returns the sum over the entries of this one's data centre and the sum over all entries.
// Both include this entry, and others whose last message is not stale at now.
func (t *Table) Sums(now time.Time, own Message) (local, global Sum) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := newAccumulator()
	a.add(1, own.Loads, own.Flows)
	a.demands.add(own.Demands)
	for _, p := range t.peers {
		if now.Sub(p.lastReceivedAt) < staleAfter && p.sum == nil && p.dataCenter == own.DataCenter {
			a.add(1, p.loads, p.flows)
			a.demands.add(p.demands)
		}
	}
	local = a.sum(false)
	for _, p := range t.remoteSums(now) {
		a.add(p.sum.Entries, p.sum.Loads, p.sum.Flows)
		a.demands.add(p.sum.Demands)
	}
	return local, a.sum(true)
}

// forEachDirect calls do for each live peer that sends its own loads and is in no sum.
func (t *Table) forEachDirect(now time.Time, sums map[pkid.DataCenter]*peer, do func(*peer)) {
	for _, p := range t.peers {
		if now.Sub(p.lastReceivedAt) < staleAfter && p.sum == nil && sums[p.dataCenter] == nil {
			do(p)
		}
	}
}

// remoteSums returns the newest sum of each other data centre.
func (t *Table) remoteSums(now time.Time) map[pkid.DataCenter]*peer {
	out := map[pkid.DataCenter]*peer{}
	for _, p := range t.peers {
		if p.sum == nil || p.sum.Global || now.Sub(p.lastReceivedAt) >= staleAfter {
			continue
		}
		if old := out[p.dataCenter]; old == nil || p.lastReceivedAt.After(old.lastReceivedAt) {
			out[p.dataCenter] = p
		}
	}
	return out
}

// globalSum returns the newest sum over all entries, or nil.
func (t *Table) globalSum(now time.Time) *Sum {
	var best *peer
	for _, p := range t.peers {
		if p.sum != nil && p.sum.Global && now.Sub(p.lastReceivedAt) < staleAfter && (best == nil || p.lastReceivedAt.After(best.lastReceivedAt)) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	return best.sum
}

// addOthers adds up the loads of all other entries. A global sum contains what this entry last
// sent, which is subtracted.
func (t *Table) addOthers(now time.Time) *accumulator {
	a := newAccumulator()
	if global := t.globalSum(now); global != nil {
		a.add(global.Entries-1, global.Loads, global.Flows)
		a.subtract(t.lastSent)
		return a
	}
	sums := t.remoteSums(now)
	t.forEachDirect(now, sums, func(p *peer) { a.add(1, p.loads, p.flows) })
	for _, p := range sums {
		a.add(p.sum.Entries, p.sum.Loads, p.sum.Flows)
	}
	return a
}

// othersFlow adds up the tokens of all other entries in flight between two data centres.
func (t *Table) othersFlow(now time.Time, pair [2]pkid.DataCenter) (tokens float64, reporting int) {
	if global := t.globalSum(now); global != nil {
		return max(flowOf(global.Flows, pair)-flowOf(t.lastSent.Flows, pair), 0), global.Entries - 1
	}
	sums := t.remoteSums(now)
	t.forEachDirect(now, sums, func(p *peer) {
		tokens += flowOf(p.flows, pair)
		reporting++
	})
	for _, p := range sums {
		tokens += flowOf(p.sum.Flows, pair)
		reporting += p.sum.Entries
	}
	return tokens, reporting
}

func flowOf(flows []Flow, pair [2]pkid.DataCenter) float64 {
	sum := 0.0
	for _, f := range flows {
		if pairOf(f.A, f.B) == pair {
			sum += float64(f.Tokens)
		}
	}
	return sum
}

// RecordSent records the message that this entry last sent to its hubs.
func (t *Table) RecordSent(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSent = m
}

// accumulator adds up the loads, flows and demands of entries.
type accumulator struct {
	entries int
	loads   map[pkid.TargetID]Load
	flows   map[[2]pkid.DataCenter]float32
	demands demandSums
}

func newAccumulator() *accumulator {
	return &accumulator{loads: map[pkid.TargetID]Load{}, flows: map[[2]pkid.DataCenter]float32{}, demands: demandSums{}}
}

func (a *accumulator) add(entries int, loads []Load, flows []Flow) {
	a.entries += entries
	for _, l := range loads {
		a.loads[l.Target] = a.loads[l.Target].plus(l)
	}
	for _, f := range flows {
		a.flows[pairOf(f.A, f.B)] += f.Tokens
	}
}

// plus adds a load on the same target. If they are of different starts of it, the later start wins.
func (l Load) plus(other Load) Load {
	if differentStart(l, other) {
		if l.Born > other.Born {
			return l
		}
		return other
	}
	return Load{
		Target: other.Target, Requests: l.Requests + other.Requests, Tokens: l.Tokens + other.Tokens,
		Born: max(l.Born, other.Born),
	}
}

// differentStart reports whether two loads are known to be on different starts of a target.
func differentStart(a, b Load) bool { return a.Born != 0 && b.Born != 0 && a.Born != b.Born }

func (a *accumulator) subtract(m Message) {
	for _, l := range m.Loads {
		if sum, found := a.loads[l.Target]; found && !differentStart(sum, l) {
			sum.Requests, sum.Tokens = max(sum.Requests-l.Requests, 0), max(sum.Tokens-l.Tokens, 0)
			a.loads[l.Target] = sum
		}
	}
	for _, f := range m.Flows {
		pair := pairOf(f.A, f.B)
		a.flows[pair] = max(a.flows[pair]-f.Tokens, 0)
	}
}

// sum returns the totals in a fixed order.
func (a *accumulator) sum(all bool) Sum {
	out := Sum{Global: all, Entries: a.entries, Demands: a.demands.list()}
	for _, l := range a.loads {
		out.Loads = append(out.Loads, l)
	}
	for pair, tokens := range a.flows {
		out.Flows = append(out.Flows, Flow{A: pair[0], B: pair[1], Tokens: tokens})
	}
	slices.SortFunc(out.Loads, func(x, y Load) int { return cmp.Compare(x.Target, y.Target) })
	slices.SortFunc(out.Flows, func(x, y Flow) int { return cmp.Or(cmp.Compare(x.A, y.A), cmp.Compare(x.B, y.B)) })
	return out
}

func pairOf(a, b pkid.DataCenter) [2]pkid.DataCenter {
	return [2]pkid.DataCenter{min(a, b), max(a, b)}
}
