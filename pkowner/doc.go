// Package pkowner decides which orders the owner of the engine pools sends next, from the layout of
// package pklayers. It is used by pkedge; pkorder is its counterpart in pkentry.
//
// One entry owns all pools under a lease. It keeps no state of its own: a new owner reads what the
// engines hold, plans with package pklayers and orders only the differences. Each order carries the
// number of orders that the engine had accepted when it was last read, so that the engine itself
// rejects an outdated order, whether from this owner or the previous one.
package pkowner
