// Package pklab runs a whole deployment in one process on loopback: stand-ins,
// entry daemons and a published manifest. Trying the router out, measuring it
// and testing it end to end all start from a Lab.
package pklab
