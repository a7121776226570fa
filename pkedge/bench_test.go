package pkedge_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStream forwards streams of 100 events and reports the processor time per event,
// including the stand-in and the caller.
func BenchmarkStream(b *testing.B) {
	w := platformtest.NewPlatform()
	b.Cleanup(w.Close)
	for i := range 6 {
		w.Add(platformtest.Pool, fmt.Sprintf("i-%d", i), "a")
	}
	n := start(b, w, "one")
	n.waitForStream(b)
	const length, atOnce = 100, 50
	began := processorTime(b)
	count := 0
	for b.Loop() {
		done := make(chan reply, atOnce)
		for i := range atOnce {
			go func() {
				done <- n.do(b, http.MethodPost, "/talk/1", fmt.Sprintf("%d-%d", count, i), platformtest.Key, length)
			}()
		}
		for range atOnce {
			assert.NilError(b, (<-done).err)
		}
		count++
	}
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(count*atOnce*length), "us/event")
}

// BenchmarkPlain forwards calls to a plain service.
func BenchmarkPlain(b *testing.B) {
	w := platformtest.NewPlatform()
	b.Cleanup(w.Close)
	w.Add(platformtest.App, "i-a", "a")
	n := start(b, w, "one")
	eventually(b, "readiness", func() bool { return n.isReady(b) })
	began := processorTime(b)
	count := 0
	for b.Loop() {
		count++
		assert.Equal(b, n.do(b, http.MethodGet, "/read/1", fmt.Sprint(count), platformtest.Key, 0).status, http.StatusOK)
	}
	b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(count), "us/request")
}
