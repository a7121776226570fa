package pkshare

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pkquarantine"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkstore"
)

const (
	// Every is how often an entry tells the others: requests last seconds, and a
	// count that is older than a tenth of one lets entries crowd on one target.
	Every = 150 * time.Millisecond
	// Quiet is how long an entry with nothing new stays silent.
	Quiet = time.Second
	// freshFor is how long what an entry said counts: six messages may be lost.
	freshFor = 1500 * time.Millisecond
	// EveryWithHubs is how often hubs are told, and tell: with two on the way, what an
	// entry holds is known to all in half a second, an eighth of the time that a usual
	// answer takes.
	EveryWithHubs = 300 * time.Millisecond
	// missesFor is how long an entry may be behind before it is helped: the store
	// tells most of them within milliseconds. Hubs do not wait: their entries follow
	// nothing themselves.
	missesFor = 250 * time.Millisecond
	// tellAgain is how soon an entry is helped again that still says it knows less: its
	// next word comes within a third of that.
	tellAgain = time.Second
	// helpers is how many entries tell the same one what it misses.
	helpers = 2
)

// peer is what one other entry last said.
type peer struct {
	addr     string
	run      uint64
	sequence uint64
	at       time.Time
	config   pkstore.Revision
	version  pkconfig.Version
	list     pkstore.Revision
	loads    []Load
	flows    []Flow
	// sum is set where the peer spoke as a hub.
	sum        *Sum
	dataCenter pkid.DataCenter
	share      float64
	// behindSince is when it was first seen to know less than this entry.
	configBehind time.Time
	listBehind   time.Time
	// held is a checksum of the requests that it keeps from replicas, heldBehind is since when it
	// keeps others than this entry.
	held       pkquarantine.Sum
	heldBehind time.Time
	// toldConfig, toldList and toldHeld are when it was helped last.
	toldConfig time.Time
	toldList   time.Time
	toldHeld   time.Time
	// following says that it follows the list at the store, followingSince when it was first heard
	// to, without a word that it does not since.
	following      bool
	followingSince time.Time
	// members is how many entries it knows of by the store.
	members int
}

// Table is what the other entries said; the zero value is empty.
type Table struct {
	mu    sync.Mutex
	peers map[pkid.EntryID]*peer
	// awaited is since when a hub has been expected to be heard of.
	awaited map[pkid.EntryID]time.Time
	// told is what this entry last told its hubs, toldSums what it told as a hub, by role.
	told     Message
	toldSums [roles]told
}

// Hear takes a message at now and says whether it was newer than the last one.
func (t *Table) Hear(now time.Time, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[pkid.EntryID]*peer{}
	}
	p := t.peers[m.From]
	if p == nil {
		p = &peer{}
		t.peers[m.From] = p
	}
	if p.run == m.Run && m.Sequence <= p.sequence {
		return false
	}
	if p.run != m.Run {
		*p = peer{}
	}
	if m.Sum != nil && m.Sum.Partial {
		whole := *m.Sum
		whole.Partial, whole.Changed = false, nil
		if p.sum != nil {
			whole.Loads = p.sum.Loads
		}
		whole.Loads = merge(whole.Loads, m.Sum.Changed)
		m.Sum = &whole
	}
	p.addr, p.run, p.sequence, p.at = m.Addr, m.Run, m.Sequence, now
	p.config, p.version, p.list, p.loads, p.flows = m.Config, m.Version, m.List, m.Loads, m.Flows
	if m.Following && !p.following {
		p.followingSince = now
	}
	p.following, p.members, p.held = m.Following, m.Members, m.Held
	p.sum, p.dataCenter, p.share = m.Sum, m.DataCenter, float64(m.ProcessorShare)
	return true
}

// Others returns what all other entries hold, by target, beside what this one
// holds. Entries that are members but not heard of are taken to hold as much as
// those that are, this one among them: when all start again at once, each would
// otherwise take the pool for empty, and all their callers would meet in it.
func (t *Table) Others(now time.Time, members int, own map[pkid.TargetID]pkreplica.Load) map[pkid.TargetID]pkreplica.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := t.gather(now)
	out := make(map[pkid.TargetID]pkreplica.Load, len(heard.loads))
	for id, l := range heard.loads {
		out[id] = pkreplica.Load{Requests: l.Requests, Tokens: float64(l.Tokens)}
	}
	share := unheard(heard.entries, members)
	for id, mine := range own {
		sum := out[id]
		sum.Requests += int(share * float64(sum.Requests+mine.Requests))
		sum.Tokens += share * (sum.Tokens + mine.Tokens)
		out[id] = sum
	}
	for id, sum := range out {
		if _, counted := own[id]; !counted {
			out[id] = pkreplica.Load{Requests: int((1 + share) * float64(sum.Requests)), Tokens: (1 + share) * sum.Tokens}
		}
	}
	return out
}

// Flow returns the tokens of all other entries between two data centres, beside
// those of this one.
func (t *Table) Flow(now time.Time, members int, a, b pkid.DataCenter, own float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, heard := t.gatherFlow(now, pairOf(a, b))
	return sum + unheard(heard, members)*(sum+own)
}

// unheard returns how many members are not heard of, for each that is or that is
// this entry.
func unheard(fresh, members int) float64 {
	return float64(max(members-1-fresh, 0)) / float64(1+fresh)
}

// Fresh returns how many entries are heard of.
func (t *Table) Fresh(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if now.Sub(p.at) < freshFor {
			n++
		}
	}
	return n
}

// Known is what this entry knows of the store.
type Known struct {
	Self   pkid.EntryID
	Config pkstore.Revision
	// Version is that of the configuration at Config.
	Version pkconfig.Version
	List    pkstore.Revision
	// Held is a checksum of the requests that it keeps from replicas.
	Held pkquarantine.Sum
	// Hub says that it is a hub of the peer; what the others know is then not known.
	Hub bool
}

// Help is what a peer misses: everything after these revisions, where set.
type Help struct {
	Config bool
	List   bool
	After  pkstore.Revision
	// Held says that it keeps other requests from replicas than this entry.
	Held bool
}

// Misses returns what to tell a peer that has known less than this entry for some
// time. Only a few entries tell the same one.
func (t *Table) Misses(now time.Time, to pkid.EntryID, k Known) Help {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[to]
	if p == nil || now.Sub(p.at) >= freshFor {
		return Help{}
	}
	wait := missesFor
	if k.Hub {
		wait = 0
	}
	var out Help
	if behind(now, &p.configBehind, p.lacksConfig(k), missesFor) && now.Sub(p.toldConfig) >= tellAgain &&
		(k.Hub || t.helps(now, to, k.Self, func(p *peer) bool { return !p.lacksConfig(k) })) {
		p.toldConfig = now
		out.Config = true
	}
	if behind(now, &p.listBehind, p.list < k.List, wait) && now.Sub(p.toldList) >= tellAgain &&
		(k.Hub || t.helps(now, to, k.Self, func(p *peer) bool { return p.list >= k.List })) {
		p.toldList = now
		out.List, out.After = true, p.list
	}
	out.Held = p.missesHeld(now, k.Held)
	return out
}

// missesHeld says whether a peer has for some time kept other requests from replicas than this
// entry. One of an earlier build says nothing of them, and would be told for ever.
func (p *peer) missesHeld(now time.Time, held pkquarantine.Sum) bool {
	differs := p.held != 0 && p.held != held
	if !behind(now, &p.heldBehind, differs, missesFor) || now.Sub(p.toldHeld) < tellAgain {
		return false
	}
	p.toldHeld = now
	return true
}

// Followed says whether some entry that is heard of at now has followed the list at the store since
// before a time: the store has served it all the while.
func (t *Table) Followed(now, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.following && p.followingSince.Before(since) && now.Sub(p.at) < freshFor {
			return true
		}
	}
	return false
}

// Led says whether a hub tells this entry of the list and of how many members there are, so
// that it need not follow them at the store itself: each entry that does costs the store a
// call for each change.
func (t *Table) Led(now time.Time) bool { return t.MembersTold(now) > 0 }

// MembersTold returns how many members the hubs know of; zero where no hub leads this entry.
func (t *Table) MembersTold(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, p := range t.peers {
		if p.sum != nil && p.sum.All && p.following && now.Sub(p.at) < freshFor {
			most = max(most, p.members)
		}
	}
	return most
}

// behind notes since when a peer is behind and says whether it has been for long enough.
func behind(now time.Time, since *time.Time, is bool, wait time.Duration) bool {
	if !is {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= wait
}

// lacksConfig says whether a peer has an older configuration than this entry. Versions decide
// where both are known: a store that has come back from an older copy may name an older one at a
// later revision, until the operators write the newest again.
func (p *peer) lacksConfig(k Known) bool {
	if p.version != 0 && k.Version != 0 && p.version != k.Version {
		return p.version < k.Version
	}
	return p.config < k.Config
}

// helps says whether this entry is among the first by name that could help.
func (t *Table) helps(now time.Time, to, self pkid.EntryID, could func(*peer) bool) bool {
	able := []pkid.EntryID{self}
	for id, p := range t.peers {
		if id != to && now.Sub(p.at) < freshFor && could(p) {
			able = append(able, id)
		}
	}
	slices.SortFunc(able, cmp.Compare[pkid.EntryID])
	return slices.Index(able, self) < helpers
}

// Reconnected notes that a peer may have lost what it was told.
func (t *Table) Reconnected(to pkid.EntryID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[to]; p != nil {
		p.toldConfig, p.toldList, p.toldHeld = time.Time{}, time.Time{}, time.Time{}
	}
}

// Members returns the entries that are heard of and take messages.
func (t *Table) Members(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for id, p := range t.peers {
		if now.Sub(p.at) < freshFor && p.addr != "" {
			out = append(out, Member{ID: id, Addr: p.addr, DataCenter: p.dataCenter, ProcessorShare: p.share})
		}
	}
	return out
}
