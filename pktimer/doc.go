// Package pktimer provides waits and periodic calls that end with a context, and a
// clock that includes the time in suspend.
package pktimer
