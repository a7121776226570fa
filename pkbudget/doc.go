// Package pkbudget decides what all callers of a daemon together may hold: connections, and the bytes of
// requests and answers.
//
// A Hold is what one connection, or one request of another entry, holds. Bytes are charged as they arrive. If the
// budget is short, requests that have not arrived whole are evicted: those that have not moved for longest, then the
// newest of the client account that holds most. The package takes the present time and does no I/O: owners of evicted
// holds are returned, and their bytes are granted to others once the owner has released them.
package pkbudget
