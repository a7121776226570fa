// Package pkwait ends calls that wait once something else has shown that they wait for nothing: a
// watch has no answer while nothing changes, and none either when it can no longer be answered.
package pkwait
