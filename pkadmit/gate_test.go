package pkadmit

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkrate"
)

var start = time.Unix(1000, 0)

func newRequest(account pkid.AccountID, weight int, tokens pkid.Tokens) Request {
	return Request{Account: account, Weight: weight, MaxInFlight: 1000, Tokens: tokens, Deadline: start.Add(time.Hour)}
}

func admitted(t *Ticket) bool {
	select {
	case <-t.Ready():
		return t.Refused() == nil
	default:
		return false
	}
}

// Three accounts fill the queue of a saturated pool. Each must get its share by weight in tokens;
// counted in requests, the account with the longer prompts would get more.
func TestSharesFollowWeightsInTokens(t *testing.T) {
	g := NewGate(Options{MaxQueuePerAccount: 1000, InitialServiceTime: time.Second}, 1)
	var waiting []*Ticket
	for range 300 {
		for _, req := range []Request{newRequest("burst", 1, 400), newRequest("small", 1, 100), newRequest("heavy", 2, 100)} {
			ticket, refusal := g.Enter(start, req)
			assert.Assert(t, refusal == nil)
			waiting = append(waiting, ticket)
		}
	}
	served := map[pkid.AccountID]pkid.Tokens{}
	for range 300 {
		for i, ticket := range waiting {
			if !admitted(ticket) {
				continue
			}
			waiting = append(waiting[:i], waiting[i+1:]...)
			served[ticket.req.Account] += ticket.req.Tokens
			g.Leave(start, ticket, ticket.req.Tokens)
			break
		}
	}
	total := float64(served["burst"] + served["small"] + served["heavy"])
	for account, share := range map[pkid.AccountID]float64{"burst": 0.25, "small": 0.25, "heavy": 0.5} {
		got := float64(served[account]) / total
		assert.Assert(t, got > share-0.03 && got < share+0.03, "%s has a share of %.3f", account, got)
	}
}

// Guards against waiting for a place that the queue, the deadline or the account's limit rules out.
func TestRefusals(t *testing.T) {
	fullGate := func() *Gate {
		g := NewGate(Options{MaxQueuePerAccount: 2, InitialServiceTime: time.Second}, 1)
		_, refusal := g.Enter(start, newRequest("a", 1, 1))
		assert.Assert(t, refusal == nil)
		return g
	}
	t.Run("queue full", func(t *testing.T) {
		g := fullGate()
		for range 2 {
			_, refusal := g.Enter(start, newRequest("a", 1, 1))
			assert.Assert(t, refusal == nil)
		}
		_, refusal := g.Enter(start, newRequest("a", 1, 1))
		var r *Refusal
		assert.Assert(t, errors.As(refusal, &r))
		assert.Assert(t, !r.Late && r.RetryAfter >= time.Second)
		_, refusal = g.Enter(start, newRequest("b", 1, 1))
		assert.Assert(t, refusal == nil, "another account still gets in")
	})
	t.Run("deadline cannot be met", func(t *testing.T) {
		g := fullGate()
		req := newRequest("b", 1, 1)
		req.Deadline = start.Add(100 * time.Millisecond)
		_, refusal := g.Enter(start, req)
		assert.Assert(t, refusal != nil && refusal.Late)
	})
	t.Run("limit of the account", func(t *testing.T) {
		req := newRequest("a", 1, 1)
		req.MaxInFlight = 1
		_, refusal := fullGate().Enter(start, req)
		assert.Assert(t, refusal != nil && !refusal.Late)
	})
}

// A waiting request must be refused when its deadline can no longer be met, not when its turn
// comes, and must no longer count against its account.
func TestExpireRefusesAtOnce(t *testing.T) {
	g := NewGate(Options{MaxQueuePerAccount: 10, InitialServiceTime: time.Millisecond}, 1)
	running, _ := g.Enter(start, newRequest("a", 1, 1))
	req := newRequest("b", 1, 1)
	req.Deadline = start.Add(time.Second)
	req.MinServiceTime = 100 * time.Millisecond
	ticket, refusal := g.Enter(start, req)
	assert.Assert(t, refusal == nil)
	g.Expire(start.Add(800 * time.Millisecond))
	assert.Assert(t, !admitted(ticket))
	g.Expire(start.Add(950 * time.Millisecond))
	<-ticket.Ready()
	assert.Assert(t, ticket.Refused().Late)
	g.Leave(start, running, 1)
	inFlight, waiting, _ := g.Counts()
	assert.Equal(t, inFlight+waiting, 0)
}

// Guards against a place that stays taken after its caller disconnected.
func TestCancel(t *testing.T) {
	g := NewGate(DefaultOptions(), 1)
	running, _ := g.Enter(start, newRequest("a", 1, 1))
	ticket, _ := g.Enter(start, newRequest("a", 1, 1))
	assert.Assert(t, !g.Cancel(start, ticket))
	assert.Assert(t, g.Cancel(start, running))
	g.Leave(start, running, 1)
	inFlight, waiting, _ := g.Counts()
	assert.Equal(t, inFlight+waiting, 0)
}

// fill earns as much as a budget can save up.
func fill(b *RetryBudget, ratio, burst float64) {
	for range int(burst/ratio) + 1 {
		b.Earn()
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget(0.1, 5, pkrate.Share{})
	spent := 0
	for range 1000 {
		b.Earn()
		if b.Spend() {
			spent++
		}
	}
	assert.Assert(t, spent >= 99 && spent <= 100, spent)
}

// Guards against a burst of retries that grows with the number of entries: when a target that all of
// them use ends, each may retry its part only.
func TestEntriesShareTheBurstOfRetries(t *testing.T) {
	const ratio, burst, requests = 0.2, 200, 10
	for _, entries := range []int{1, 10, 100, 1000} {
		spent := 0
		for range entries {
			b := NewRetryBudget(ratio, burst, pkrate.Share{Entries: entries})
			fill(b, ratio, burst)
			for b.Spend() {
				spent++
			}
			for range requests {
				b.Earn()
			}
			for b.Spend() {
				spent++
			}
		}
		assert.Assert(t, float64(spent) <= burst+ratio*float64(requests*entries), "%d retries of %d entries", spent, entries)
		assert.Assert(t, float64(spent) >= ratio*float64(requests*entries)/2, "%d retries of %d entries", spent, entries)
	}
}

// Guards against an entry that keeps a burst from the time when it was alone.
func TestBurstShrinksWhenEntriesJoin(t *testing.T) {
	b := NewRetryBudget(0.2, 200, pkrate.Share{Entries: 1})
	fill(b, 0.2, 200)
	b.SetShare(pkrate.Share{Entries: 100})
	spent := 0
	for b.Spend() {
		spent++
	}
	assert.Equal(t, spent, 2)
}

func BenchmarkEnterLeave(b *testing.B) {
	g := NewGate(DefaultOptions(), 1000)
	for b.Loop() {
		ticket, _ := g.Enter(start, newRequest("a", 1, 10))
		g.Leave(start, ticket, 10)
	}
}

// Guards against a burst of retries that is whole again after each restart of an entry: the entries
// together may make no more than the burst and what their requests earn.
func TestRestartsDoNotRefillTheBurstOfRetries(t *testing.T) {
	const ratio, burst, requests = 0.2, 200, 30
	for _, entries := range []int{1, 10, 100, 1000} {
		spent, earned := 0, 0.0
		for range entries {
			for process := range 5 {
				b := NewRetryBudget(ratio, burst, pkrate.Share{Entries: entries})
				for range requests + process {
					b.Earn()
					earned += ratio
					for b.Spend() {
						spent++
					}
				}
			}
		}
		assert.Assert(t, float64(spent) <= burst+earned, "%d entries: %d retries, %v earned", entries, spent, earned)
	}
}
