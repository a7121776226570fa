// Package pkrate keeps the rate limits that targets name for the requests of all entries together.
//
// A target in need names a limit in its responses for as long as it lasts. The latest response
// decides, by the time at which its request was sent: responses on different connections overtake
// one another, and a late one must not bring back a limit that has ended.
package pkrate
