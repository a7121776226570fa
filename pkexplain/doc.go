// Package pkexplain explains from the log of an entry how a request was handled, and summarizes
// the streams in the logs of several entries.
//
// The explanation of a request has the log lines that name it and those on what influenced it: the
// configuration in force, changes of the targets that it was sent to, and events of the store and
// of the process shortly before.
package pkexplain
