// Package pkservice forwards calls to plain services.
//
// Method, path, body and status are forwarded unchanged and bodies are streamed in both directions;
// only hop-by-hop headers are removed. A call that is not idempotent is retried only if its verdict
// is NotRun, that is, if no byte of it can have reached a target.
package pkservice
