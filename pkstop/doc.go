// Package pkstop decides how long a stopping daemon accepts new connections, which requests it still sends to targets, and
// when it ends.
package pkstop
