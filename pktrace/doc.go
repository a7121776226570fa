// Package pktrace replays recorded traces of requests and faults and judges
// what came back against stated outcomes.
//
// A trace is JSON lines, each a request or a fault with its time offset. It
// holds sizes and deadlines, never bodies or keys. Outcomes stand in a YAML
// file beside it. The report counts every request once: answered whole and in
// time, refused as not run, late, lost or doubled.
package pktrace
