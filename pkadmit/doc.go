// Package pkadmit decides which requests start now, which wait and which are
// refused.
//
// A Gate stands before each pool. It lets as many requests in as the pool has
// room for. When more come, each account gets the pool in proportion to its
// weight, counted in tokens and not in requests: every account has a virtual
// time that moves on by the tokens it used over its weight, and the account
// whose time is furthest behind goes next. A request that cannot be done by
// its deadline is refused at once, while the caller can still go elsewhere,
// and is told when to come back.
package pkadmit
