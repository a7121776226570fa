// Package pkshare implements the exchange of state between entries, the router's own nodes.
//
// Several times a second each entry sends the others the load of its own requests and the store
// revisions of its configuration and replica list. An entry that the store does not serve is
// brought up to date by its peers. Messages carry full state, or deltas from a hub, which sends
// full state on a new connection; a lost message only delays an update.
package pkshare
