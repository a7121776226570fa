// Package pkconfig defines the operators' configuration that entries apply: routes
// by host and path prefix, services, API keys and limits.
//
// A Config is one version of the configuration, a Table is a Config indexed for
// lookups, and a Holder holds the Table in force, whose version never decreases.
package pkconfig
