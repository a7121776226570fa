// Package pkversion reports the version of the running build.
package pkversion
