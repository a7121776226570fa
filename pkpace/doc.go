// Package pkpace tracks how much slower than nominal each engine is at present.
//
// Engines may take several times as long for a step as the kind of accelerator declares, for
// seconds at a time. The declared speed alone would keep such engines on paths. A few entries poll
// the engines for their reports and gossip what they learn to the others. Observations carry their
// age and expire unless they are renewed.
package pkpace
