package pkmeasure

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"time"

	"peridotknot.example/pkentry"
	"peridotknot.example/pkid"
	"peridotknot.example/pklab"
	"peridotknot.example/pktimer"
)

// settle is how long a fresh lab is left before it is measured, and watched how
// long it is measured: longer than a watcher of the store waits between reads.
const (
	settle  = 2 * time.Second
	watched = 12 * time.Second
)

// control measures what idle entries cost by their number: nothing is asked of
// them, so all of it is polling, membership and the store.
func control(ctx context.Context, say func(string)) ([]Series, error) {
	processor := Series{Name: "control_processor_share_by_nodes", X: "entries in one neighborhood", Y: "share of a core a node"}
	sent := Series{Name: "control_sent_by_nodes", X: "entries in one neighborhood", Y: "bytes a second sent to peers a node"}
	calls := Series{Name: "store_calls_by_nodes", X: "entries", Y: "calls a second on the key-value service"}
	heap := Series{Name: "heap_by_nodes", X: "entries in one neighborhood", Y: "bytes of heap a node, stand-ins included"}
	for _, n := range []int{3, 8, 24, 48} {
		say(fmt.Sprintf("%d entries", n))
		c, err := controlOf(ctx, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		processor.Points = append(processor.Points, Point{x, c.processor})
		sent.Points = append(sent.Points, Point{x, c.sent})
		calls.Points = append(calls.Points, Point{x, c.calls})
		heap.Points = append(heap.Points, Point{x, c.heap})
	}
	return []Series{processor.fit(), sent.fit(), calls.fit(), heap.fit()}, nil
}

type controlCost struct{ processor, sent, calls, heap float64 }

func controlOf(ctx context.Context, n int) (controlCost, error) {
	seedsOf := ""
	l, err := lab(ctx, 1, 0, func(o *pklab.Options) {
		o.Change = func(_ int, s *pkentry.Settings) {
			if seedsOf != "" {
				s.Peers.Seeds = []string{seedsOf}
			}
		}
	})
	if err != nil {
		return controlCost{}, err
	}
	defer func() { _ = l.Close() }() // what was measured stands either way
	seedsOf = l.Entry(0).Peers()
	for range n - 1 {
		if _, err := l.AddEntry(); err != nil {
			return controlCost{}, err
		}
	}
	if err := waitMet(ctx, l, n); err != nil {
		return controlCost{}, err
	}
	pktimer.Sleep(ctx, settle)
	before, callsBefore := sentBytes(l, n), l.World.KV.Calls()
	took := spent(func() { pktimer.Sleep(ctx, watched) })
	seconds := watched.Seconds()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return controlCost{
		processor: took.Seconds() / seconds / float64(n),
		sent:      float64(sentBytes(l, n)-before) / seconds / float64(n),
		calls:     float64(l.World.KV.Calls()-callsBefore) / seconds,
		heap:      float64(mem.HeapAlloc) / float64(n),
	}, nil
}

func waitMet(ctx context.Context, l *pklab.Lab, n int) error {
	const limit = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := range n {
		for len(l.Entry(i).Status(time.Now()).Neighbors) < n-1 {
			if ctx.Err() != nil {
				return errors.New("the entries did not all meet")
			}
			pktimer.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

func sentBytes(l *pklab.Lab, n int) int64 {
	var sum int64
	for i := range n {
		sum += l.Entry(i).Status(time.Now()).SentBytes
	}
	return sum
}

// changes measures how long a publication takes until it is in force on every
// entry, with the store up, by the number of entries.
func changes(ctx context.Context, say func(string)) ([]Series, error) {
	s := Series{Name: "in_force_by_nodes", X: "entries", Y: "milliseconds until the slowest entry, 95th of 20 publications"}
	for _, n := range []int{3, 8, 16, 24} {
		say(fmt.Sprintf("publications to %d entries", n))
		slowest, err := spreadOf(ctx, n)
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, Point{float64(n), slowest})
	}
	return []Series{s.fit()}, nil
}

func spreadOf(ctx context.Context, n int) (float64, error) {
	const publications = 20
	l, err := lab(ctx, n, 0, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }() // what was measured stands either way
	if err := waitMet(ctx, l, n); err != nil {
		return 0, err
	}
	var took []float64
	for i := range publications {
		began := time.Now()
		if err := l.Republish(); err != nil {
			return 0, err
		}
		want := pkid.Revision(i + 2)
		if err := waitRevision(ctx, l, n, want); err != nil {
			return 0, err
		}
		took = append(took, float64(time.Since(began).Microseconds())/1000)
	}
	slices.Sort(took)
	return took[publications*95/100-1], nil
}

func waitRevision(ctx context.Context, l *pklab.Lab, n int, want pkid.Revision) error {
	const limit = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := range n {
		for l.Entry(i).Revision() < want {
			if ctx.Err() != nil {
				return fmt.Errorf("revision %d did not reach entry %d", want, i)
			}
			pktimer.Sleep(ctx, time.Millisecond)
		}
	}
	return nil
}
