// Package pkstop decides how long a stopping daemon accepts new connections and when it ends.
package pkstop
