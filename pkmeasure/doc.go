// Package pkmeasure measures how the cost of the router scales and extrapolates it to the target size.
//
// Each Series varies one dimension over several points and measures processor time, bytes, memory or
// latency, with a least-squares fit. The data-path cost of an entry is the difference between the same
// load through the entry and directly on the stand-ins within one run, which cancels the work of the
// caller and of the stand-ins. Processor time is the usage of this process as reported by the
// operating system; unlike wall time, it depends little on other load on the machine.
package pkmeasure
