package pkshare

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// flatMost is from how many others on entries tell hubs and not one another. Each tells all
	// others seven times a second, so the work of an entry grows with their count:
	// at 69 entries it was 470 messages a second each way, and two thirds of them
	// crossed between data centres.
	flatMost = 12
	// hubsEach is how many hubs a data centre has: one may fail unnoticed.
	hubsEach = 2
	// hubGrace is how long a hub may take to be heard of before another takes its
	// place: it must first see that it is one, connect, and hear its members.
	hubGrace = 3 * time.Second
	// hubAway is how long a hub that was not heard of is passed over.
	hubAway = 10 * time.Second
)

// Member is an entry as the others know it.
type Member struct {
	ID         pkid.EntryID    `json:"id"`
	Addr       string          `json:"addr"`
	DataCenter pkid.DataCenter `json:"data_center"`
	// ProcessorShare is how much of a processor its VM has.
	ProcessorShare float64 `json:"processor_share"`
}

// Role is what an entry is to another, and so what it tells it.
type Role uint8

// Roles. Without hubs all entries are peers of one another.
const (
	// Peer is told what this entry holds.
	Peer Role = iota
	// OfHub is told by its hub what all entries hold.
	OfHub
	// FarHub is the hub of another data centre; it is told what the entries of this
	// one hold.
	FarHub
)

// roles is how many roles there are.
const roles = int(FarHub) + 1

// WithHubs says whether so many entries tell hubs and not one another.
func WithHubs(others int) bool { return others >= flatMost }

// IsFirst says whether this entry is among the first of its data centre at now, those that
// are hubs where there are hubs.
func (t *Table) IsFirst(now time.Time, self Member, others []Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.hubs(now, self, append(slices.Clone(others), self), self.DataCenter), self.ID)
}

// Roles returns the other entries that this one tells at now, by address.
//
// Few entries tell all others. Many tell the hubs of their data centre, which add up
// what they hear, tell the sum to the hubs of the others, and tell the sum of all to
// their own entries.
func (t *Table) Roles(now time.Time, self Member, others []Member) map[string]Role {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Role{}
	if !WithHubs(len(others)) {
		for _, m := range others {
			out[m.Addr] = Peer
		}
		return out
	}
	all := append(slices.Clone(others), self)
	near := t.hubs(now, self, all, self.DataCenter)
	isHub := slices.Contains(near, self.ID)
	for _, m := range others {
		switch {
		case m.DataCenter == self.DataCenter && slices.Contains(near, m.ID):
			out[m.Addr] = Peer
		case m.DataCenter == self.DataCenter && isHub:
			out[m.Addr] = OfHub
		case isHub && slices.Contains(t.hubs(now, self, all, m.DataCenter), m.ID):
			out[m.Addr] = FarHub
		}
	}
	return out
}

// hubs returns the hubs of a data centre as this entry sees them: the entries with the
// most processor, first by name, but for those that were not heard of when they
// should have been. Entries that lose a hub all pass it over by themselves, and so
// does the one that takes its place.
func (t *Table) hubs(now time.Time, self Member, all []Member, dc pkid.DataCenter) []pkid.EntryID {
	near := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.DataCenter != dc })
	slices.SortFunc(near, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.ProcessorShare, a.ProcessorShare), cmp.Compare(a.ID, b.ID))
	})
	var out []pkid.EntryID
	for _, m := range near {
		if len(out) == hubsEach {
			break
		}
		if m.ID == self.ID || !t.isSilent(now, m.ID) {
			out = append(out, m.ID)
		}
	}
	return out
}

// isSilent says whether an entry that is expected to be a hub was not heard of.
func (t *Table) isSilent(now time.Time, id pkid.EntryID) bool {
	if p := t.peers[id]; p != nil && now.Sub(p.at) < freshFor {
		delete(t.awaited, id)
		return false
	}
	if t.awaited == nil {
		t.awaited = map[pkid.EntryID]time.Time{}
	}
	since, known := t.awaited[id]
	if !known || now.Sub(since) >= hubGrace+hubAway {
		t.awaited[id] = now
		return false
	}
	return now.Sub(since) >= hubGrace
}

// Sum is what several entries hold together.
type Sum struct {
	// All says that these are all entries; else they are those of the sender's data
	// centre.
	All bool `cbor:"1,keyasint"`
	// Entries is how many were heard of.
	Entries int    `cbor:"2,keyasint"`
	Loads   []Load `cbor:"3,keyasint,omitempty"`
	Flows   []Flow `cbor:"4,keyasint,omitempty"`
	// Partial says that Loads stand as they were told before but for those in Changed, of which one
	// of no tokens ends. Entries of earlier builds take the loads for none meanwhile.
	Partial bool   `cbor:"5,keyasint,omitempty"`
	Changed []Load `cbor:"6,keyasint,omitempty"`
}

// Sums returns what the entries of this one's data centre hold together, this one
// among them, and what all entries hold, as far as they are heard of at now.
func (t *Table) Sums(now time.Time, own Message) (near, all Sum) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := newAdder()
	a.add(1, own.Loads, own.Flows)
	for _, p := range t.peers {
		if now.Sub(p.at) < freshFor && p.sum == nil && p.dataCenter == own.DataCenter {
			a.add(1, p.loads, p.flows)
		}
	}
	near = a.sum(false)
	for _, p := range t.farSums(now) {
		a.add(p.sum.Entries, p.sum.Loads, p.sum.Flows)
	}
	return near, a.sum(true)
}

// singles calls do for each entry that speaks for itself and is in no sum.
func (t *Table) singles(now time.Time, sums map[pkid.DataCenter]*peer, do func(*peer)) {
	for _, p := range t.peers {
		if now.Sub(p.at) < freshFor && p.sum == nil && sums[p.dataCenter] == nil {
			do(p)
		}
	}
}

// farSums returns the newest sum of each other data centre.
func (t *Table) farSums(now time.Time) map[pkid.DataCenter]*peer {
	out := map[pkid.DataCenter]*peer{}
	for _, p := range t.peers {
		if p.sum == nil || p.sum.All || now.Sub(p.at) >= freshFor {
			continue
		}
		if old := out[p.dataCenter]; old == nil || p.at.After(old.at) {
			out[p.dataCenter] = p
		}
	}
	return out
}

// sumOfAll returns the newest sum of all entries, or nil.
func (t *Table) sumOfAll(now time.Time) *Sum {
	var best *peer
	for _, p := range t.peers {
		if p.sum != nil && p.sum.All && now.Sub(p.at) < freshFor && (best == nil || p.at.After(best.at)) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	return best.sum
}

// gather adds up what all other entries hold. A sum of all holds what this entry last
// told, which is taken off.
func (t *Table) gather(now time.Time) *adder {
	a := newAdder()
	if all := t.sumOfAll(now); all != nil {
		a.add(all.Entries-1, all.Loads, all.Flows)
		a.takeOff(t.told)
		return a
	}
	sums := t.farSums(now)
	t.singles(now, sums, func(p *peer) { a.add(1, p.loads, p.flows) })
	for _, p := range sums {
		a.add(p.sum.Entries, p.sum.Loads, p.sum.Flows)
	}
	return a
}

// gatherFlow adds up the tokens of all other entries between two data centres.
func (t *Table) gatherFlow(now time.Time, pair [2]pkid.DataCenter) (tokens float64, heard int) {
	if all := t.sumOfAll(now); all != nil {
		return max(flowOf(all.Flows, pair)-flowOf(t.told.Flows, pair), 0), all.Entries - 1
	}
	sums := t.farSums(now)
	t.singles(now, sums, func(p *peer) {
		tokens += flowOf(p.flows, pair)
		heard++
	})
	for _, p := range sums {
		tokens += flowOf(p.sum.Flows, pair)
		heard += p.sum.Entries
	}
	return tokens, heard
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

// Told notes what this entry told its hubs.
func (t *Table) Told(m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told = m
}

// adder adds up loads and flows of entries.
type adder struct {
	entries int
	loads   map[pkid.TargetID]Load
	flows   map[[2]pkid.DataCenter]float32
}

func newAdder() *adder {
	return &adder{loads: map[pkid.TargetID]Load{}, flows: map[[2]pkid.DataCenter]float32{}}
}

func (a *adder) add(entries int, loads []Load, flows []Flow) {
	a.entries += entries
	for _, l := range loads {
		a.loads[l.Target] = a.loads[l.Target].plus(l)
	}
	for _, f := range flows {
		a.flows[pairOf(f.A, f.B)] += f.Tokens
	}
}

// plus adds a load of the same target; of two that speak of different starts the later counts.
func (l Load) plus(other Load) Load {
	if otherStart(l, other) {
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

// otherStart says whether two loads are known to be of different starts of a target.
func otherStart(a, b Load) bool { return a.Born != 0 && b.Born != 0 && a.Born != b.Born }

func (a *adder) takeOff(m Message) {
	for _, l := range m.Loads {
		if sum, found := a.loads[l.Target]; found && !otherStart(sum, l) {
			sum.Requests, sum.Tokens = max(sum.Requests-l.Requests, 0), max(sum.Tokens-l.Tokens, 0)
			a.loads[l.Target] = sum
		}
	}
	for _, f := range m.Flows {
		pair := pairOf(f.A, f.B)
		a.flows[pair] = max(a.flows[pair]-f.Tokens, 0)
	}
}

// sum returns what was added, in a fixed order.
func (a *adder) sum(all bool) Sum {
	out := Sum{All: all, Entries: a.entries}
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
