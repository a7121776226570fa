// Package pkquarantine recognizes a request that comes again, whoever of the entries it
// comes to.
package pkquarantine
