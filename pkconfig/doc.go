// Package pkconfig defines the operators' configuration that entries apply: routes
// by host and path prefix, services, API keys and limits.
//
// A Config is one version of the configuration and a Table is a Config indexed for
// lookups. The version of the Table in force never decreases.
package pkconfig
