// Package pkmachine reads what the machine allows a process: memory and descriptors.
package pkmachine
