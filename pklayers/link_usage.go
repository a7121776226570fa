package pklayers

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

// usageDecay is the time constant with which tokens that were sent over a link stop counting: the
// duration of a typical answer.
const usageDecay = time.Second

// maxUtilization caps the utilization in the cost of a link: the queueing delay has no bound at
// full utilization, and some path must be taken.
const maxUtilization = 0.95

type pair struct{ a, b pkid.DataCenter }

type linkState struct {
	tokens float64
	at     time.Time
	// busyUntil is when the prompts sent by this entry will have been transferred.
	busyUntil time.Time
}

// LinkUsage tracks the tokens that this entry sends over the links between data centres; the zero
// value is empty.
type LinkUsage struct {
	mu    sync.Mutex
	links map[pair]linkState
}

func pairOf(a, b pkid.DataCenter) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// Add records tokens sent between two data centres. The prompt among them is sent at once and
// occupies the link for the transfer time.
func (u *LinkUsage) Add(now time.Time, a, b pkid.DataCenter, tokens float64, transfer time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.links == nil {
		u.links = map[pair]linkState{}
	}
	link := pairOf(a, b)
	busy := u.links[link].busyUntil
	if busy.Before(now) {
		busy = now
	}
	u.links[link] = linkState{tokens: u.links[link].decayed(now) + tokens, at: now, busyUntil: busy.Add(transfer)}
}

// Backlog returns how long the link stays busy with the prompts that this entry has sent.
func (u *LinkUsage) Backlog(now time.Time, a, b pkid.DataCenter) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(u.links[pairOf(a, b)].busyUntil.Sub(now), 0)
}

// Flow is the number of tokens in flight between two data centres.
type Flow struct {
	A, B   pkid.DataCenter
	Tokens float64
}

// Flows returns the tokens that this entry has in flight, by link.
func (u *LinkUsage) Flows(now time.Time) []Flow {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]Flow, 0, len(u.links))
	for link, state := range u.links {
		out = append(out, Flow{A: link.a, B: link.b, Tokens: state.decayed(now)})
	}
	slices.SortFunc(out, func(a, b Flow) int { return cmp.Or(cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B)) })
	return out
}

// OwnTokens returns the tokens that this entry has in flight between two data centres.
func (u *LinkUsage) OwnTokens(now time.Time, a, b pkid.DataCenter) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.links[pairOf(a, b)].decayed(now)
}

// LinkCost returns the cost of sending a token over a link with inFlight tokens: the average of its
// wait behind prompt chunks and the wait that it causes for others.
func (m *Model) LinkCost(inFlight float64) time.Duration {
	utilization := min(float64(m.TransferTime(inFlight))/float64(usageDecay), maxUtilization)
	chunk := float64(m.TransferTime(float64(m.Chunk)))
	own := utilization / (1 - utilization)
	others := utilization / ((1 - utilization) * (1 - utilization))
	return time.Duration((own + others) / 2 * chunk)
}

func (l linkState) decayed(now time.Time) float64 {
	age := max(now.Sub(l.at), 0)
	return l.tokens * math.Exp(-float64(age)/float64(usageDecay))
}
