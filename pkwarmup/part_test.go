package pkwarmup

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that count as down before they could report, or that take room for as long as they
// are silent.
func TestWeightOfUnreportedEntries(t *testing.T) {
	for _, row := range []struct {
		entries, reporting int
		uptime             time.Duration
		want               float64
	}{
		{0, 0, 0, 0},
		{1, 0, 0, 0},
		{69, 0, -time.Second, 68},
		{69, 0, 0, 68},
		{69, 0, SilentAfter - 1, 68},
		{69, 0, SilentAfter, 0},
		{69, 0, time.Hour, 0},
		{69, 68, 0, 0},
		{69, 80, 0, 0},
		{69, 19, SilentAfter / 2, 24.5},
		{69, 19, SilentAfter, 0},
	} {
		got := Fleet{Entries: row.entries, Reporting: row.reporting, Uptime: row.uptime}.Unreported()
		assert.Equal(t, got, row.want, "%+v", row)
	}
}

// Guards against parts that add up to more than the room that is left, and against loads that are not
// numbers, which messages may hold.
func TestPartOfTheRoom(t *testing.T) {
	for _, row := range []struct{ room, reported, unreported, want float64 }{
		{108, 0, 0, 108},
		{108, 0, 68, 108.0 / 69},
		{108, 58, 9, 5},
		{108, 108, 0, 0},
		{108, 200, 3, 0},
		{-1, 0, 0, 0},
		{108, -50, 0, 108},
		{108, 8, -3, 100},
		{108, math.NaN(), 0, 0},
		{math.NaN(), 0, 0, 0},
		{108, math.Inf(1), 0, 0},
	} {
		assert.Equal(t, Part(row.room, row.reported, row.unreported), row.want, "%+v", row)
	}
}

// Guards against a target without any room that is sent a request by the entry with the lowest place, and
// against one whose room exceeds the request but is not used.
func TestOneRequestWithASmallPart(t *testing.T) {
	for _, row := range []struct {
		part, need, place float64
		want              bool
	}{
		{1.5, 1, 0.99, true},
		{1, 1, 1, true},
		{0.4, 1, 0.39, true},
		{0.4, 1, 0.4, false},
		{0.4, 1, 1, false},
		{0, 1, 0, false},
		{0, 1, -1, false},
		{-1, 1, 0, false},
		{0.4, math.Inf(1), 0, false},
		{math.NaN(), 1, 0, false},
		{0.4, 1, math.NaN(), false},
	} {
		assert.Equal(t, MayStart(row.part, row.need, row.place), row.want, "%+v", row)
	}
}

// Guards against an end of the spread at one moment, at which all entries would rush to the same targets, and
// against one that goes on after the start.
func TestSpreadEndsGradually(t *testing.T) {
	before := Fleet{Entries: 69, Reporting: 68}.Spread()
	assert.Equal(t, before, 69.0)
	for uptime := time.Duration(0); uptime <= StartTime; uptime += 10 * time.Millisecond {
		spread := Fleet{Entries: 69, Reporting: 68, Uptime: uptime}.Spread()
		assert.Assert(t, spread <= before && spread >= 0.9*before || spread == 1, "%v: %f after %f", uptime, spread, before)
		before = spread
	}
	assert.Equal(t, before, 1.0)
	assert.Equal(t, Fleet{}.Spread(), 1.0)
}
