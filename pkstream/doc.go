// Package pkstream keeps the tokens of one answer in order while attempts are replaced.
//
// A Relay stands between the attempts of a request and its caller. Each token carries its attempt
// and its index. Only the live attempt may deliver, and only the next index; tokens of superseded
// attempts are dropped, and a live attempt that skips an index is faulty and must be replaced. The
// caller thus receives each index once and in order.
package pkstream
