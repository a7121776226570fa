// Package pkquarantine decides which requests are kept from replicas, since each replica that
// begins to run them crashes: poison requests, or queries of death.
//
// A request is known by its digest, so that it is recognized when it comes again under another
// id at another entry. A Table holds a case for each digest under which replicas have ended:
// which starts of replicas those were, and when. Entries tell one another their cases, which
// merge in any order to the same. With Limit replicas that have ended a request is held for
// HoldFor; the crash that counts last begins that time anew.
//
// What crashes beside such a request is suspected like it. A request that runs well ends its
// case, at all entries, and few of those that only stood beside one meet Limit crashes without
// running well in between.
package pkquarantine
