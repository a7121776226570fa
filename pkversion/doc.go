// Package pkversion says which build of the router this is.
package pkversion
