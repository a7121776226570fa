package pkqueue

import (
	"fmt"
	"testing"
	"time"

	"peridotknot.example/pkid"
)

// benchQueue returns a queue in which n requests of 3 priorities and the given number of accounts
// wait, and a function that returns the next request to push.
func benchQueue(n, accounts int) (*Queue[int], time.Time, func() Item) {
	q := &Queue[int]{Limits: Limits{MaxWaiting: n + 1}}
	now := time.Unix(1_700_000_000, 0)
	i := 0
	next := func() Item {
		i++
		// A multiplicative hash spreads accounts and lengths without a pattern.
		h := uint32(i) * 2654435761 >> 8
		return Item{
			Priority:  i % 3,
			Rank:      i % 3,
			Account:   pkid.AccountID(fmt.Sprint("account-", int(h)%accounts)),
			Arrived:   now,
			Objective: now.Add(time.Second),
			Latest:    now.Add(time.Hour),
			Tokens:    float64(100 + h%2000),
		}
	}
	for range n {
		q.Push(now, next(), i)
		now = now.Add(2 * time.Second / time.Duration(n)) // half of them are late at the end
	}
	return q, now, next
}

func benchSizes(b *testing.B, run func(b *testing.B, n, accounts int)) {
	for _, n := range []int{10, 1_000, 10_000} {
		for _, accounts := range []int{1, max(n/10, 2), 10 * n} {
			b.Run(fmt.Sprintf("waiting=%d/accounts=%d", n, accounts), func(b *testing.B) {
				run(b, n, accounts)
			})
		}
	}
}

// A decision must take less than 5 microseconds with 10, 1,000 and 10,000 waiting requests.
func BenchmarkDecision(b *testing.B) {
	benchSizes(b, func(b *testing.B, n, accounts int) {
		q, now, next := benchQueue(n, accounts)
		items := make([]Item, 4096)
		for i := range items {
			items[i] = next()
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			now = now.Add(4 * time.Millisecond)
			it := items[i%len(items)]
			it.Arrived, it.Objective, it.Latest = now, now.Add(time.Second), now.Add(time.Hour)
			q.Push(now, it, i)
			q.Admit(now, q.Heads(now)[0].Ticket)
		}
	})
}

// A decision on a full queue also drops the last in order.
func BenchmarkDecisionWhenFull(b *testing.B) {
	benchSizes(b, func(b *testing.B, n, accounts int) {
		q, now, next := benchQueue(n, accounts)
		q.Limits.MaxWaiting = n
		items := make([]Item, 4096)
		for i := range items {
			items[i] = next()
		}
		for i := 0; b.Loop(); i++ {
			now = now.Add(4 * time.Millisecond)
			it := items[i%len(items)]
			it.Arrived, it.Objective, it.Latest = now, now.Add(time.Second), now.Add(time.Hour)
			q.Push(now, it, i)
			q.Push(now, it, i)
			q.Admit(now, q.Heads(now)[0].Ticket)
		}
	})
}

func BenchmarkAhead(b *testing.B) {
	benchSizes(b, func(b *testing.B, n, accounts int) {
		q, now, next := benchQueue(n, accounts)
		items := make([]Item, 4096)
		for i := range items {
			items[i] = next()
		}
		for i := 0; b.Loop(); i++ {
			q.Ahead(now, items[i%len(items)])
		}
	})
}

func BenchmarkDemand(b *testing.B) {
	benchSizes(b, func(b *testing.B, n, accounts int) {
		q, now, _ := benchQueue(n, accounts)
		for b.Loop() {
			q.Demand(now)
		}
	})
}
