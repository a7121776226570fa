package pkrelay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

const (
	// avoidTime is how long an entry that has passed a request back, or was not reached, gets no other. It doubles
	// with each time in a row, up to maxAvoidTime.
	avoidTime    = time.Second
	maxAvoidTime = 8 * avoidTime
	// refusalMemory is how long a request that an entry has refused counts like one in progress there.
	refusalMemory = time.Second
)

// Peer is an entry that accepts relayed requests.
type Peer struct {
	ID   pkid.EntryID
	Addr string
	// Near is set if it is in the data centre of this entry, or stands in for those there.
	Near bool
	// Confirmed is set if its links to the targets were reported as whole.
	Confirmed bool
}

// avoidance is why an entry gets no requests until a time: failures is how many in a row it has not taken.
type avoidance struct {
	until    time.Time
	failures int
}

// Peers spreads relayed requests over other entries. The zero value is ready to use.
type Peers struct {
	mu       sync.Mutex
	inFlight map[pkid.EntryID]int
	avoided  map[pkid.EntryID]avoidance
	// refused holds when entries have refused requests for their callers.
	refused map[pkid.EntryID][]time.Time
}

// Choose returns the entry for a request at now: one of those with the fewest requests of this entry
// in progress, among the confirmed ones and of its own data centre if possible. Which one is left to chance, so that
// entries which are cut off together don't choose the same.
func (p *Peers) Choose(now time.Time, candidates []Peer) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(candidates), func(one Peer) bool { return now.Before(p.avoided[one.ID].until) })
	usable = prefer(usable, func(one Peer) bool { return one.Confirmed })
	usable = prefer(usable, func(one Peer) bool { return one.Near })
	if len(usable) == 0 {
		return Peer{}, false
	}
	p.forgetRefusals(now)
	load := func(one Peer) int { return p.inFlight[one.ID] + len(p.refused[one.ID]) }
	fewest := load(slices.MinFunc(usable, func(a, b Peer) int { return load(a) - load(b) }))
	usable = slices.DeleteFunc(usable, func(one Peer) bool { return load(one) > fewest })
	return usable[rand.N(len(usable))], true
}

// Begin counts a request to an entry, and returns a function that ends it.
func (p *Peers) Begin(id pkid.EntryID) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight == nil {
		p.inFlight = map[pkid.EntryID]int{}
	}
	p.inFlight[id]++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.inFlight[id]--; p.inFlight[id] == 0 {
			delete(p.inFlight, id)
		}
	})
}

// prefer returns the peers with a property, or all of them if none has it.
func prefer(peers []Peer, has func(Peer) bool) []Peer {
	if !slices.ContainsFunc(peers, has) {
		return peers
	}
	return slices.DeleteFunc(peers, func(one Peer) bool { return !has(one) })
}

// Avoid sends an entry that has not taken a request no other for a while from now.
func (p *Peers) Avoid(now time.Time, id pkid.EntryID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoided == nil {
		p.avoided = map[pkid.EntryID]avoidance{}
	}
	for other, one := range p.avoided {
		if now.Sub(one.until) >= maxAvoidTime {
			delete(p.avoided, other)
		}
	}
	one := p.avoided[id]
	if now.Before(one.until) {
		return // one of several requests at the same time
	}
	one.failures++
	one.until = now.Add(min(avoidTime<<(one.failures-1), maxAvoidTime))
	p.avoided[id] = one
}

// Refused records that an entry has refused a request at now. Who refuses at once would always have the fewest in
// progress.
func (p *Peers) Refused(now time.Time, id pkid.EntryID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused == nil {
		p.refused = map[pkid.EntryID][]time.Time{}
	}
	p.refused[id] = append(p.refused[id], now)
}

// forgetRefusals forgets the refusals that no longer count at now; the caller holds mu.
func (p *Peers) forgetRefusals(now time.Time) {
	for id, at := range p.refused {
		at = slices.DeleteFunc(at, func(one time.Time) bool { return now.Sub(one) >= refusalMemory })
		if len(at) == 0 {
			delete(p.refused, id)
		} else {
			p.refused[id] = at
		}
	}
}

// Served records that an entry has served a request.
func (p *Peers) Served(id pkid.EntryID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.avoided, id)
}
