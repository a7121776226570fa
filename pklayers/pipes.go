package pklayers

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

// pipeMemory is how long tokens that were sent through a pipe still count: the
// time of a usual answer.
const pipeMemory = time.Second

// pipeFull is the use of a pipe from which on its cost grows no more: the waits of a
// queue have no bound at its limit, and some path must be taken.
const pipeFull = 0.95

type pair struct{ a, b pkid.DataCenter }

type flow struct {
	tokens float64
	at     time.Time
	// busyUntil is when this entry's prompts will have passed.
	busyUntil time.Time
}

// Pipes counts the tokens that paths of this entry send between data centres; the
// zero value is empty.
type Pipes struct {
	mu    sync.Mutex
	flows map[pair]flow
}

func pairOf(a, b pkid.DataCenter) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// Add counts tokens that pass between two data centres, of which the first ones, those to be
// read, take a time at once.
func (p *Pipes) Add(now time.Time, a, b pkid.DataCenter, tokens float64, takes time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flows == nil {
		p.flows = map[pair]flow{}
	}
	k := pairOf(a, b)
	busy := p.flows[k].busyUntil
	if busy.Before(now) {
		busy = now
	}
	p.flows[k] = flow{tokens: p.flows[k].faded(now) + tokens, at: now, busyUntil: busy.Add(takes)}
}

// Backlog returns how long the prompts that this entry has sent through a pipe still take.
func (p *Pipes) Backlog(now time.Time, a, b pkid.DataCenter) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.flows[pairOf(a, b)].busyUntil.Sub(now), 0)
}

// Flow is tokens on their way between two data centres.
type Flow struct {
	A, B   pkid.DataCenter
	Tokens float64
}

// Flows returns what this entry sends, by pipe.
func (p *Pipes) Flows(now time.Time) []Flow {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Flow, 0, len(p.flows))
	for k, f := range p.flows {
		out = append(out, Flow{A: k.a, B: k.b, Tokens: f.faded(now)})
	}
	slices.SortFunc(out, func(a, b Flow) int { return cmp.Or(cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B)) })
	return out
}

// Own returns the tokens that this entry sends between two data centres.
func (p *Pipes) Own(now time.Time, a, b pkid.DataCenter) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flows[pairOf(a, b)].faded(now)
}

// PipeCost returns what a token's passage through a pipe costs all that use it, where
// so many tokens are on their way: the wait for what is before it, which is prompts, a
// chunk at a time, and the wait that it adds for those behind it. Charged with its own
// wait alone, each stream crossed for the sake of a faster engine until the pipes were
// nine tenths full; then prompts held the tokens of all others up, and pauses grew over
// 200 ms. Charged so, 3 in 100 more of the worth of days with trouble is earned.
func (m *Model) PipeCost(flow float64) time.Duration {
	use := min(float64(m.TransferTime(flow))/float64(pipeMemory), pipeFull)
	chunk := float64(m.TransferTime(float64(m.Chunk)))
	own := use / (1 - use)
	others := use / ((1 - use) * (1 - use))
	return time.Duration((own + others) / 2 * chunk)
}

func (f flow) faded(now time.Time) float64 {
	age := max(now.Sub(f.at), 0)
	return f.tokens * math.Exp(-float64(age)/float64(pipeMemory))
}
