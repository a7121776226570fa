//go:build unix

package pkqueue

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"peridotknot.example/pkid"
)

const benchStep = 4 * time.Millisecond // between decisions

// bench is a queue in which n requests of three priorities wait. They are pushed with objectives n
// steps ahead, so that about one of them turns late at each step.
type bench struct {
	q     Queue[int]
	n     int
	now   time.Time
	items []Item
	i     int
}

func newBench(n, accounts int) *bench {
	b := &bench{n: n, now: testStart, items: make([]Item, 4096)}
	b.q.Limits.MaxWaiting = n
	for i := range b.items {
		// A multiplicative hash spreads accounts and lengths without a pattern.
		h := uint32(i) * 2654435761 >> 8
		b.items[i] = Item{
			Priority: i % 3,
			Rank:     i % 3,
			Account:  pkid.AccountID(fmt.Sprint("account-", int(h)%accounts)),
			Tokens:   float64(100 + h%2000),
		}
	}
	for range n {
		b.push()
	}
	return b
}

func (b *bench) push() {
	b.now = b.now.Add(benchStep)
	it := b.items[b.i%len(b.items)]
	it.Arrived, it.Objective, it.Latest = b.now, b.now.Add(time.Duration(b.n)*benchStep), b.now.Add(time.Hour)
	b.q.Push(b.now, it, b.i)
	b.i++
}

// cpuTime is the processor time of this process, which unlike ns/op does not grow with other load on
// the machine. It includes garbage collection on other processors.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchSizes(b *testing.B, run func(b *testing.B, x *bench)) {
	for _, n := range []int{10, 1_000, 10_000} {
		for _, accounts := range []int{1, max(n/10, 2), 4096} {
			b.Run(fmt.Sprintf("waiting=%d/accounts=%d", n, accounts), func(b *testing.B) {
				x := newBench(n, accounts)
				b.ReportAllocs()
				b.ResetTimer()
				before := cpuTime(b)
				run(b, x)
				b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// A decision must take less than 5 microseconds with 10, 1,000 and 10,000 waiting requests.
func BenchmarkDecision(b *testing.B) {
	benchSizes(b, func(b *testing.B, x *bench) {
		x.q.Limits.MaxWaiting++
		for b.Loop() {
			x.push()
			x.q.Admit(x.now, x.q.Heads(x.now)[0].Ticket)
		}
	})
}

// A push on a full queue must not cost more than a decision, though it searches for the last.
func BenchmarkPushWhenFull(b *testing.B) {
	benchSizes(b, func(b *testing.B, x *bench) {
		for b.Loop() {
			x.push()
		}
	})
}

func BenchmarkAhead(b *testing.B) {
	benchSizes(b, func(b *testing.B, x *bench) {
		for i := 0; b.Loop(); i++ {
			it := x.items[i%len(x.items)]
			it.Objective = x.now.Add(time.Hour)
			x.q.Ahead(x.now, it)
		}
	})
}

func BenchmarkDemand(b *testing.B) {
	benchSizes(b, func(b *testing.B, x *bench) {
		for b.Loop() {
			x.q.Demand(x.now)
		}
	})
}
