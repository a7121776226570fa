// Package pkforward sends one HTTP request to one target and reports the outcome.
//
// Each call of a Sender is exactly one HTTP exchange: it never retries, never follows a redirect
// and passes everything through unchanged except hop-by-hop headers. A response is accepted only if
// it carries the ID of the request. Retries are up to the caller, who decides by the verdict of the
// error.
package pkforward
