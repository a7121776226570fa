// Package pktrace replays recorded traces of requests and faults and compares the results with the
// outcome stated for the trace.
//
// A trace is a JSON lines file; each line is a request or a fault with its time offset. It holds
// sizes and deadlines, never bodies or keys. The stated outcome is a YAML file. The report counts
// every request in exactly one class: answered whole and in time, refused as not run, late, lost,
// doubled or crossed.
package pktrace
