package pklab

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pktrace"
)

// book sends a booking with an idempotency key through an entry.
func book(t *testing.T, l *Lab, entry int, idempotency string) *http.Response {
	t.Helper()
	resp, _ := postTo(t, l, entry, "/services/voting/slots/7", key(t), "book",
		"Idempotency-Key", idempotency, pktrace.HeaderCall, idempotency)
	return resp
}

// A coach's client sends one booking through all entries at once, because the
// first answer was slow. The hall must be booked once; the others must be told
// that the key was used, and none may be told that nothing ran.
func TestOneKeyThroughAllEntriesAtOnce(t *testing.T) {
	const entries, rounds = 3, 20
	l := startLab(t, entries)
	meet(t, l, entries)
	for _, storeDown := range []bool{false, true} {
		l.World.KV.SetDown(storeDown)
		for round := range rounds {
			name := fmt.Sprintf("%v-%d", storeDown, round)
			var wg sync.WaitGroup
			status := make([]int, entries)
			for i := range entries {
				wg.Go(func() { status[i] = book(t, l, i, name).StatusCode })
			}
			wg.Wait()
			assert.Equal(t, l.World.Ledger().Runs[name], 1)
			for _, s := range status {
				assert.Assert(t, s == http.StatusOK || s == http.StatusConflict, s)
			}
			again := book(t, l, round%entries, name)
			assert.Equal(t, again.StatusCode, http.StatusConflict)
			assert.Equal(t, l.World.Ledger().Runs[name], 1)
		}
	}
	l.World.KV.SetDown(false)
}

// All entries are replaced one by one in the night, each by a fresh VM that
// remembers nothing. A client that sends its booking again behind that must
// still be told that its key was used: an entry that leaves hands its claims on.
func TestClaimsOutliveTheNightlyReplacement(t *testing.T) {
	const entries = 3
	l := startLab(t, entries)
	meet(t, l, entries)
	const keys = 20
	for i := range keys {
		assert.Equal(t, book(t, l, i%entries, fmt.Sprint("night-", i)).StatusCode, http.StatusOK)
	}
	assert.NilError(t, l.ReplaceEntries())
	last := len(l.Addresses()) - 1
	eventually(t, "the fresh entries meet", func() bool { return len(status(l, last).Neighbors) == entries-1 })
	for i := range keys {
		name := fmt.Sprint("night-", i)
		assert.Equal(t, book(t, l, last, name).StatusCode, http.StatusConflict)
		assert.Equal(t, l.World.Ledger().Runs[name], 1)
	}
}
