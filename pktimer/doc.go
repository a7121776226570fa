// Package pktimer waits in ways that end with a context.
package pktimer
