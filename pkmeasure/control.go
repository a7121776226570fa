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

// settleTime is the delay between the start of a lab and the measurement, and sampleTime the duration
// of the measurement; sampleTime exceeds the interval between a watcher's rereads of the store.
const (
	settleTime = 2 * time.Second
	sampleTime = 12 * time.Second
)

// measureControl measures the cost of idle entries by their number. Without requests, all of it is
// load polling, membership and access to the store.
func measureControl(ctx context.Context, progress func(string)) ([]Series, error) {
	cpu := Series{Name: "control_processor_share_by_nodes", X: "entries in one neighborhood", Y: "share of a core a node"}
	sent := Series{Name: "control_sent_by_nodes", X: "entries in one neighborhood", Y: "bytes a second sent to peers a node"}
	calls := Series{Name: "store_calls_by_nodes", X: "entries", Y: "calls a second on the key-value service"}
	heap := Series{Name: "heap_by_nodes", X: "entries in one neighborhood", Y: "bytes of heap a node, stand-ins included"}
	for _, n := range []int{3, 8, 24, 48} {
		progress(fmt.Sprintf("%d entries", n))
		c, err := controlCostFor(ctx, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		cpu.Points = append(cpu.Points, Point{x, c.cpu})
		sent.Points = append(sent.Points, Point{x, c.sent})
		calls.Points = append(calls.Points, Point{x, c.calls})
		heap.Points = append(heap.Points, Point{x, c.heap})
	}
	return []Series{cpu.fit(), sent.fit(), calls.fit(), heap.fit()}, nil
}

type controlCost struct{ cpu, sent, calls, heap float64 }

func controlCostFor(ctx context.Context, n int) (controlCost, error) {
	seed := ""
	l, err := startLab(ctx, 1, 0, func(o *pklab.Options) {
		o.ModifySettings = func(_ int, s *pkentry.Settings) {
			if seed != "" {
				s.Peers.Seeds = []string{seed}
			}
		}
	})
	if err != nil {
		return controlCost{}, err
	}
	defer func() { _ = l.Close() }() // the measurement does not depend on the shutdown
	seed = l.Entry(0).PeersAddr()
	for range n - 1 {
		if _, err := l.AddEntry(); err != nil {
			return controlCost{}, err
		}
	}
	if err := waitConnected(ctx, l, n); err != nil {
		return controlCost{}, err
	}
	pktimer.Sleep(ctx, settleTime)
	before, callsBefore := sentBytes(l, n), l.Standins.KV.Calls()
	took := cpuTimeOf(func() { pktimer.Sleep(ctx, sampleTime) })
	seconds := sampleTime.Seconds()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return controlCost{
		cpu:   took.Seconds() / seconds / float64(n),
		sent:  float64(sentBytes(l, n)-before) / seconds / float64(n),
		calls: float64(l.Standins.KV.Calls()-callsBefore) / seconds,
		heap:  float64(mem.HeapAlloc) / float64(n),
	}, nil
}

func waitConnected(ctx context.Context, l *pklab.Lab, n int) error {
	const limit = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := range n {
		for len(l.Entry(i).Status(time.Now()).Neighbors) < n-1 {
			if ctx.Err() != nil {
				return errors.New("not all entries are connected")
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

// measureChanges measures the time until a publication is in force on all entries while the store is
// available, by the number of entries.
func measureChanges(ctx context.Context, progress func(string)) ([]Series, error) {
	s := Series{Name: "in_force_by_nodes", X: "entries", Y: "milliseconds until the slowest entry, 95th of 20 publications"}
	for _, n := range []int{3, 8, 16, 24} {
		progress(fmt.Sprintf("publications to %d entries", n))
		slowest, err := propagationTime(ctx, n)
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, Point{float64(n), slowest})
	}
	return []Series{s.fit()}, nil
}

func propagationTime(ctx context.Context, n int) (float64, error) {
	const publications = 20
	l, err := startLab(ctx, n, 0, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }() // the measurement does not depend on the shutdown
	if err := waitConnected(ctx, l, n); err != nil {
		return 0, err
	}
	var took []float64
	for i := range publications {
		began := time.Now()
		if err := l.Republish(); err != nil {
			return 0, err
		}
		rev := pkid.Revision(i + 2)
		if err := waitRevision(ctx, l, n, rev); err != nil {
			return 0, err
		}
		took = append(took, float64(time.Since(began).Microseconds())/1000)
	}
	slices.Sort(took)
	return took[publications*95/100-1], nil
}

func waitRevision(ctx context.Context, l *pklab.Lab, n int, rev pkid.Revision) error {
	const limit = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := range n {
		for l.Entry(i).Revision() < rev {
			if ctx.Err() != nil {
				return fmt.Errorf("revision %d is not in force on entry %d", rev, i)
			}
			pktimer.Sleep(ctx, time.Millisecond)
		}
	}
	return nil
}
