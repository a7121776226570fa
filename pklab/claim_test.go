package pklab

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pktrace"
)

// postBooking sends a booking with an idempotency key through an entry.
func postBooking(t *testing.T, l *Lab, entry int, idempotency string) *http.Response {
	t.Helper()
	resp, _ := postTo(t, l, entry, "/services/voting/slots/7", apiKey(t), "book",
		"Idempotency-Key", idempotency, pktrace.HeaderCall, idempotency)
	return resp
}

// Concurrent calls with one idempotency key through all entries must run once. The other calls must
// fail with a conflict, not with a verdict that nothing ran.
func TestConcurrentCallsWithOneIdempotencyKey(t *testing.T) {
	const entries, rounds = 3, 20
	l := startLab(t, entries)
	waitForNeighbors(t, l, entries)
	for _, storeDown := range []bool{false, true} {
		l.Standins.KV.SetDown(storeDown)
		for round := range rounds {
			name := fmt.Sprintf("%v-%d", storeDown, round)
			var wg sync.WaitGroup
			status := make([]int, entries)
			for i := range entries {
				wg.Go(func() { status[i] = postBooking(t, l, i, name).StatusCode })
			}
			wg.Wait()
			assert.Equal(t, l.Standins.Ledger().Runs[name], 1)
			for _, s := range status {
				assert.Assert(t, s == http.StatusOK || s == http.StatusConflict, s)
			}
			repeated := postBooking(t, l, round%entries, name)
			assert.Equal(t, repeated.StatusCode, http.StatusConflict)
			assert.Equal(t, l.Standins.Ledger().Runs[name], 1)
		}
	}
	l.Standins.KV.SetDown(false)
}

// Replacing all entries one by one must not lose idempotency claims: an entry that stops hands its
// claims over, and a repeated call still fails with a conflict.
func TestClaimsSurviveEntryReplacement(t *testing.T) {
	const entries = 3
	l := startLab(t, entries)
	waitForNeighbors(t, l, entries)
	const keys = 20
	for i := range keys {
		assert.Equal(t, postBooking(t, l, i%entries, fmt.Sprint("night-", i)).StatusCode, http.StatusOK)
	}
	assert.NilError(t, l.ReplaceEntries())
	last := len(l.Addresses()) - 1
	eventually(t, "the new entries are connected", func() bool { return len(status(l, last).Neighbors) == entries-1 })
	for i := range keys {
		name := fmt.Sprint("night-", i)
		assert.Equal(t, postBooking(t, l, last, name).StatusCode, http.StatusConflict)
		assert.Equal(t, l.Standins.Ledger().Runs[name], 1)
	}
}
