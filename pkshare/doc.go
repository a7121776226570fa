// Package pkshare implements the exchange of state between entries, the router's own nodes.
//
// Several times a second each entry sends the others the load of its own requests, what waits at it
// and the store revisions of its configuration and replica list. An entry that cannot reach the
// store is brought up to date by its peers. Messages carry full state; hubs send deltas, and full
// state on each new connection. A lost message only delays an update. Hubs also report which entries
// reach the targets to those that do not, as these hear from their hubs only. Package pkshare is used by
// pkedge; pkmember is its counterpart in pkentry.
package pkshare
