package pkqueue

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotknot.example/pkid"
)

// pair runs the queue and the model side by side.
type pair struct {
	t    *testing.T
	q    Queue[int]
	m    model
	now  time.Time
	next func(n int) int // a choice of 0 to n-1
	last Ticket
}

func (p *pair) item() Item {
	it := Item{
		Started:  p.next(8) == 0,
		Priority: p.next(3),
		Rank:     p.next(2),
		Account:  pkid.AccountID([]string{"", "a", "b", "c", "d"}[p.next(5)]),
		Arrived:  p.now.Add(-time.Duration(p.next(3000)) * time.Millisecond),
		Tokens:   float64(p.next(4000)) + float64(p.next(1000))/977,
	}
	if p.next(8) > 0 {
		it.Objective = p.now.Add(time.Duration(p.next(1500)-300) * time.Millisecond)
	}
	if p.next(8) > 0 {
		it.Latest = p.now.Add(time.Duration(p.next(5000)-200) * time.Millisecond)
	}
	return it
}

func (p *pair) push() {
	it := p.item()
	ticket, dropped := p.q.Push(p.now, it, int(p.last))
	if p.last++; ticket != p.last {
		p.t.Fatalf("ticket %d, want %d", ticket, p.last)
	}
	p.m.items = append(p.m.items, modelItem{Waiting: Waiting[int]{Ticket: ticket, Item: it}})
	for _, d := range dropped {
		all := p.m.order(p.now)
		for all[len(all)-1].Item.Started && expired(p.now, all[len(all)-1].Item) && len(all) > 1 {
			all = all[:len(all)-1] // kept until Expire returns it
		}
		// Requests that are past Latest have no order among each other.
		want := all[len(all)-1]
		if !expired(p.now, want.Item) && !same(p.now, all, d, want) || expired(p.now, want.Item) != expired(p.now, d.Item) {
			p.t.Fatalf("dropped %+v, want %+v", d, want)
		}
		p.m.take(d.Ticket)
	}
	if p.q.Len() != len(p.m.items) || p.q.Len() > p.m.bound {
		p.t.Fatalf("%d wait, want %d and at most %d", p.q.Len(), len(p.m.items), p.m.bound)
	}
}

// heads compares the candidates and returns one of them, usually the first.
func (p *pair) heads() (Ticket, bool) {
	heads := p.q.Heads(p.now)
	rest := heads
	aged := false
	if p.m.notAged >= agedEvery-1 {
		if oldest, ok := p.m.oldest(p.now); ok {
			aged = true
			if heads[0].Ticket != oldest {
				p.t.Fatalf("first is %+v, want the one that has waited longest, %d", heads[0], oldest)
			}
			rest = heads[1:]
		}
	}
	var before *modelItem
	all := p.m.order(p.now)
	for _, want := range all {
		if expired(p.now, want.Item) || before != nil && compareClass(p.now, before.Item, want.Item) == 0 {
			continue
		}
		before = &want
		fits := len(rest) > 0 && same(p.now, all, rest[0], want)
		if aged && !fits && same(p.now, all, heads[0], want) {
			continue
		}
		if len(heads) == maxHeads && len(rest) == 0 {
			break
		}
		if !fits {
			p.t.Fatalf("candidates %+v, want %+v next", rest, want)
		}
		rest = rest[1:]
	}
	if len(rest) > 0 {
		p.t.Fatalf("more candidates than classes: %+v", rest)
	}
	if len(heads) == 0 {
		return 0, false
	}
	if p.next(4) == 0 {
		return heads[p.next(len(heads))].Ticket, true
	}
	return heads[0].Ticket, true
}

func (p *pair) admit() {
	ticket, ok := p.heads()
	if !ok {
		return
	}
	p.m.notAged++
	if oldest, ok := p.m.oldest(p.now); ok && oldest == ticket {
		p.m.notAged = 0
	}
	it, _ := p.m.take(ticket)
	p.m.admitted[it.Account] = append(p.m.admitted[it.Account], admission{p.now, max(it.Tokens, minCost)})
	if !p.q.Admit(p.now, ticket) || p.q.Admit(p.now, ticket) {
		p.t.Fatal("a request must be admitted exactly once")
	}
}

func (p *pair) remove() {
	ticket := Ticket(p.next(int(p.last) + 2))
	_, want := p.m.take(ticket)
	if got := p.q.Remove(ticket); got != want {
		p.t.Fatalf("remove %d: %v, want %v", ticket, got, want)
	}
}

func (p *pair) expire() {
	for _, w := range p.q.Expire(p.now) {
		if _, ok := p.m.take(w.Ticket); !ok || !expired(p.now, w.Item) {
			p.t.Fatalf("expired %+v", w)
		}
	}
	for _, w := range p.m.items {
		if expired(p.now, w.Item) {
			p.t.Fatalf("not expired: %+v", w)
		}
	}
}

// ahead compares the estimate, which may be off by one request of each other account in the class.
func (p *pair) ahead() {
	it := p.item()
	if expired(p.now, it) {
		return
	}
	with := model{items: append(slices.Clone(p.m.items), modelItem{Waiting: Waiting[int]{Ticket: math.MaxUint64, Item: it}}), admitted: p.m.admitted}
	exact, slack := 0.0, map[pkid.AccountID]float64{}
	for _, w := range with.order(p.now) {
		if w.Ticket == math.MaxUint64 {
			break
		}
		if !expired(p.now, w.Item) {
			exact += w.Item.Tokens
		}
	}
	for _, w := range p.m.items {
		if w.Item.Account != it.Account && compareClass(p.now, w.Item, it) == 0 {
			slack[w.Item.Account] = max(slack[w.Item.Account], w.Item.Tokens+minCost)
		}
	}
	allowed := 1e-6 * (1 + exact)
	for _, s := range slack {
		allowed += s
	}
	if got := p.q.Ahead(p.now, it); math.Abs(got-exact) > allowed {
		p.t.Fatalf("ahead of %+v: %v tokens, want %v within %v", it, got, exact, allowed)
	}
}

func (p *pair) demand() {
	want := map[int]Level{}
	for _, w := range p.m.items {
		if !expired(p.now, w.Item) && (w.Item.Started || p.now.Before(w.Item.Objective)) {
			l := want[w.Item.Priority]
			want[w.Item.Priority] = Level{w.Item.Priority, l.Requests + 1, l.Tokens + w.Item.Tokens}
		}
	}
	got := p.q.Demand(p.now)
	if len(got) != len(want) || !slices.IsSortedFunc(got, func(a, b Level) int { return a.Priority - b.Priority }) {
		p.t.Fatalf("demand %v, want %v", got, want)
	}
	for _, l := range got {
		if w := want[l.Priority]; w.Requests != l.Requests || !near(w.Tokens, l.Tokens) {
			p.t.Fatalf("demand %v, want %v", got, want)
		}
	}
}

func (p *pair) step() {
	switch p.next(16) {
	case 0, 1, 2, 3, 4, 5:
		p.push()
	case 6, 7, 8, 9:
		p.admit()
	case 10:
		p.remove()
	case 11:
		p.expire()
	case 12:
		p.ahead()
	case 13:
		p.demand()
	case 14:
		p.now = p.now.Add(time.Duration(p.next(200)) * time.Millisecond)
	default:
		if p.next(64) == 0 { // beyond the time after which usage is rebased
			p.now = p.now.Add(time.Duration(p.next(1000)) * time.Second)
		}
	}
}

func runModel(t *testing.T, steps, bound int, next func(int) int) {
	p := pair{t: t, now: time.Unix(1_700_000_000, 0), next: next}
	p.q.Limits.MaxWaiting = bound
	p.m = model{bound: bound, admitted: map[pkid.AccountID][]admission{}}
	for range steps {
		p.step()
	}
	p.now = p.now.Add(time.Minute)
	p.expire()
}

// Guards against an order, a bound or an estimate that differs from that of a sorted list.
func TestQueueIsASortedList(t *testing.T) {
	for seed := range uint64(24) {
		r := rand.New(rand.NewPCG(seed, 1))
		runModel(t, 1500, []int{1, 5, 40, 512}[seed%4], r.IntN)
	}
}

func FuzzQueue(f *testing.F) {
	f.Add([]byte("pushes and admissions of any order"), uint8(3))
	r := rand.New(rand.NewPCG(1, 2))
	long := make([]byte, 4000)
	for i := range long {
		long[i] = byte(r.Uint32())
	}
	f.Add(long, uint8(20))
	f.Fuzz(func(t *testing.T, data []byte, bound uint8) {
		next := func(n int) int {
			v := 0
			for size := n - 1; size > 0 && len(data) > 0; size >>= 8 {
				v, data = v<<8|int(data[0]), data[1:]
			}
			return v % n
		}
		runModel(t, len(data)/8, int(bound)+1, next)
	})
}
