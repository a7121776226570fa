package pkwarmup

import (
	"math"
	"time"
)

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
//
// After a power cut all of 69 entries start within 0.4 s and receive 1,574 streams in 2 s, while the
// first loads take 0.45 s through the hubs. Until then entries that counted only on what they know
// would each fill the same targets. An entry that stays silent while others report is probably down,
// so its weight falls linearly and is zero from SilentAfter on. While nobody reports, silence says
// nothing of a single entry, since a hub may be what fails: the weight is whole until SilentAfter.
// With a weight that fell without reports, the replayed entries sent 129 to 134 requests to a target
// that has room for 108.
func (f Fleet) Unreported() float64 {
	others := max(float64(f.Entries-1-f.Reporting), 0)
	left := 1 - float64(f.Uptime)/float64(SilentAfter)
	if f.Reporting <= 0 && left > 0 {
		left = 1
	}
	return others * min(max(left, 0), 1)
}

const (
	// StartTime is the uptime from which an entry no longer spreads its requests.
	StartTime = 2 * time.Second
	// wholeSpread is the uptime until which the spread is whole, since the loads of the first requests are known
	// to all entries only then; after that it halves every spreadHalving. An abrupt end, or one with the
	// first reports, lets all entries rush to the same targets at that moment.
	wholeSpread   = 600 * time.Millisecond
	spreadHalving = 200 * time.Millisecond
)

// Spread returns how many entries, this one included, are assumed to send as much to a target at the same time
// as this one, before they know of one another's requests; 1 from StartTime on.
//
// It addresses a start of all entries: with the first reports, which are some hundred milliseconds old, all
// would choose the same fast targets.
func (f Fleet) Spread() float64 {
	if f.Uptime >= StartTime {
		return 1
	}
	decay := math.Exp2(float64(wholeSpread-f.Uptime) / float64(spreadHalving))
	return max(1+f.Unreported(), float64(f.Entries)*min(decay, 1), 1)
}

// Part returns how much of a target's room an entry may use, with what it uses already, if others
// have reported that they use some of it. The rest is left to the entries that have not reported,
// which are assumed to use as much as this one: the loads of the others are not known yet after a
// start of all entries.
func Part(room, reported, unreported float64) float64 {
	free := room - max(reported, 0)
	if !(free > 0) { // also if a load is not a number
		return 0
	}
	return free / (1 + max(unreported, 0))
}

// MayStart reports whether an entry that uses none of a target may start one request there that
// needs some of its room. Where there are more entries than the target has room for requests, none
// could start one by its part alone; those whose place is low enough for the room then start one.
// Places range from 0 to 1 and are spread evenly over the entries.
func MayStart(part, need, place float64) bool {
	return part >= need || max(place, 0)*need < part
}
