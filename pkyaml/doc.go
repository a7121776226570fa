// Package pkyaml decodes YAML strictly: unknown keys, wrong types and additional
// documents are errors. All faults of a file are reported at once, each with file,
// line and the expected type.
package pkyaml
