// Package pklab runs a complete deployment in one process on loopback: stand-ins, entry daemons and a
// published manifest. Local trials, measurements and end-to-end tests use it.
package pklab
