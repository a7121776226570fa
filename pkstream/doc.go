// Package pkstream keeps the tokens of one answer in order while attempts come
// and go.
//
// A Relay stands between the attempts of a request and its caller. Each token
// carries its attempt and its index. Only the live attempt may deliver, and
// only the next index; what a superseded attempt still sends is dropped, and a
// live attempt that skips an index is faulty and must be replaced. The caller
// thereby sees each index once and in order, whatever the attempts do.
package pkstream
