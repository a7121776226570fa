// Package pkpack compresses bodies that are sent whole to many entries.
package pkpack
