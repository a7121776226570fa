// Package pkadmit is the admission control of a pool: it decides which requests start, wait or are
// refused.
//
// A Gate limits the requests in flight to the pool's capacity. Under contention it shares the pool
// between accounts by start-time fair queueing, with tokens as cost: the finish tag of an account
// advances by the tokens of each request divided by the account's weight, and the waiting request
// with the lowest start tag goes next. A request that cannot meet its deadline is refused at once
// with a Retry-After time, so that the caller can still try elsewhere.
package pkadmit
