// Package pkexchange decides what one exchange with a target over a connection shows: whether what came is the answer to the
// request, whether it is whole, whether the request may have run, and whether the connection may carry it once more.
//
// A target may send anything: answers of other requests, the same answer twice, parts of answers, or bytes that are none. The
// package takes what was received and does no I/O.
package pkexchange
