// Package pkyaml reads YAML strictly. An unknown key, a wrong type or a second
// document is refused with file, line and what was expected, and all faults of
// a file are reported at once.
package pkyaml
