// Package pklog writes log lines without blocking the callers that log.
//
// A Writer queues whole lines in a bounded queue, limits their rate, and drops lines
// beyond these limits. It reports the number of dropped lines in a log line.
package pklog
