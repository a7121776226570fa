// Package pkcli is what the programs' command lines have in common: exit codes,
// help and version.
package pkcli
