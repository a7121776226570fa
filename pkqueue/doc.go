// Package pkqueue decides in which order requests that wait for capacity of a pool of engines are
// started, which are refused, and when callers of refused ones should come back. It does no I/O.
package pkqueue
