// Package pkanswer runs a model request to its end, with as many attempts as that takes.
//
// An attempt is a stream over one chain of engines. When a stage fails, stops sending or breaks the
// order of the tokens, the attempt is canceled, the faulty target is avoided, and another chain
// resumes at the next token that the caller needs. The caller sees one stream of tokens and at its
// end either the finish reason or one error with a verdict.
package pkanswer
