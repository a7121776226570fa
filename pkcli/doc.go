// Package pkcli holds what the command lines of the programs share: exit codes, help,
// version and the settings file.
package pkcli
