package pkwarmup

import "time"

// SilentAfter is the uptime from which entries that have not reported count as down.
const SilentAfter = 1500 * time.Millisecond

// Fleet is what an entry knows of the others.
type Fleet struct {
	// Entries is the number of entries that share the targets, this one included.
	Entries int
	// Reporting is the number of other entries whose loads are known.
	Reporting int
	// Uptime is that of this process.
	Uptime time.Duration
}

// Unreported returns the number of entries, not an integer, that are assumed to use as much room as
// this one and whose loads are not known.
func (f Fleet) Unreported() float64 {
	left := 1 - float64(f.Uptime)/float64(SilentAfter)
	return max(float64(f.Entries-1-f.Reporting), 0) * min(max(left, 0), 1)
}

// Part returns how much of a target's room an entry may use if others have reported that they use
// some of it.
func Part(room, reported, unreported float64) float64 {
	return max(room-reported, 0) / (1 + max(unreported, 0))
}
