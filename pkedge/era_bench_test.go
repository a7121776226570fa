package pkedge_test

import (
	"fmt"
	"testing"
	"time"

	"peridotknot.example/pkedge"
	"peridotknot.example/pkid"
	"peridotknot.example/platform"
	"peridotknot.example/platform/platformtest"
)

// benchEntries is the number of entries per data centre in the benchmark.
const benchEntries = 65

// BenchmarkStoreRestore measures how long a fleet takes to know a new era and to be registered
// again, and reports the calls to the store, in total and in the busiest tenth of a second.
func BenchmarkStoreRestore(b *testing.B) {
	for _, entries := range []int{8, 67, 195} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			w := platformtest.NewPlatform()
			b.Cleanup(w.Close)
			w.Store.EnableEras()
			w.Add(platformtest.App, "i-a", "a")
			nodes := make([]*node, entries)
			for i := range nodes {
				nodes[i] = startWith(b, pkedge.Settings{
					Entry: pkid.EntryID(fmt.Sprintf("n-%03d", i)), DataCenter: pkid.DataCenter(fmt.Sprint("d", i/benchEntries)), Store: w.Store.Addr(),
					Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
					Retry:  pkedge.Retry{WindowS: 10},
				})
			}
			members := func() bool { return len(w.Store.Keys(platform.OwnPrefix+"entry/")) == entries }
			eventually(b, "all members", members)
			for era := 2; b.Loop(); era++ {
				before := w.Store.CallCount()
				began := time.Now()
				w.Store.Restore(w.Store.Snapshot())
				busiest := int64(0)
				for last, known := before, 0; known < entries || !members(); {
					time.Sleep(100 * time.Millisecond)
					now := w.Store.CallCount()
					busiest, last = max(busiest, now-last), now
					for known < entries && nodes[known].metric(b, "peridotknot_store_era") == fmt.Sprint(era) {
						known++
					}
				}
				b.ReportMetric(time.Since(began).Seconds(), "s/return")
				b.ReportMetric(float64(w.Store.CallCount()-before)/float64(entries), "calls/entry")
				b.ReportMetric(float64(busiest), "calls/busiest-0.1s")
			}
		})
	}
}
