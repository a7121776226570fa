package pkrelay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

// avoidTime is how long an entry that has passed a request back, or was not reached, gets no other.
const avoidTime = time.Second

// Peer is an entry that accepts relayed requests.
type Peer struct {
	ID   pkid.EntryID
	Addr string
	// Near is set if it is in the data centre of this entry.
	Near bool
}

// Peers spreads relayed requests over other entries. The zero value is ready to use.
type Peers struct {
	mu       sync.Mutex
	inFlight map[pkid.EntryID]int
	// avoidedUntil is until when an entry gets no request.
	avoidedUntil map[pkid.EntryID]time.Time
}

// Choose returns the entry for a request at now: one of those with the fewest requests of this entry
// in progress, of its own data centre if possible. Which one is left to chance, so that entries
// which are cut off together don't choose the same.
func (p *Peers) Choose(now time.Time, candidates []Peer) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(candidates), func(one Peer) bool { return now.Before(p.avoidedUntil[one.ID]) })
	if slices.ContainsFunc(usable, func(one Peer) bool { return one.Near }) {
		usable = slices.DeleteFunc(usable, func(one Peer) bool { return !one.Near })
	}
	if len(usable) == 0 {
		return Peer{}, false
	}
	fewest := p.inFlight[slices.MinFunc(usable, func(a, b Peer) int { return p.inFlight[a.ID] - p.inFlight[b.ID] }).ID]
	usable = slices.DeleteFunc(usable, func(one Peer) bool { return p.inFlight[one.ID] > fewest })
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

// Avoid sends an entry no request for a while from now.
func (p *Peers) Avoid(now time.Time, id pkid.EntryID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoidedUntil == nil {
		p.avoidedUntil = map[pkid.EntryID]time.Time{}
	}
	for other, until := range p.avoidedUntil {
		if !now.Before(until) {
			delete(p.avoidedUntil, other)
		}
	}
	p.avoidedUntil[id] = now.Add(avoidTime)
}
