// Package pkquarantine detects poison requests (queries of death), which crash each replica that
// runs them, and keeps them from further replicas.
//
// A request is identified by a digest, so that it is recognized when it is sent again under another
// id or to another entry. A Table holds a case for each request that crashed replicas: the starts
// of these replicas, and when they crashed. Entries exchange their cases, which merge to the same
// result in any order. Once enough replicas have crashed, the request is quarantined for some
// minutes; every further crash restarts that period.
//
// Requests that differ may share a part of their prompts that crashes replicas. A case is therefore
// held for each trait of a request: all of it, and each shared part. The crashes are attributed to the
// trait that has the most of them, which then explains them for the others. Parts that ran well before,
// and replicas that are lost at one moment, speak against such an attribution.
//
// Requests that ran beside a poison request on a crashed replica become suspects as well. A request
// that runs successfully clears its case at all entries, so that few innocent requests are
// quarantined.
package pkquarantine
