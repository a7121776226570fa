// Package pkmeasure measures what the router costs as one dimension grows, and
// works the target size out from the slopes.
//
// Each Series varies one thing over several points and measures processor time,
// bytes, memory or time for it. What the entry costs is the difference between
// the same load through an entry and straight to the stand-ins in one run, so
// that the caller's and the stand-ins' own work cancels out. Processor time is
// the operating system's account of this process; the machine's other load
// moves it little, unlike wall time.
package pkmeasure
