// Package pkanswer runs one model answer to its end, over as many attempts as
// it takes.
//
// An attempt is a stream over one chain. When a stage dies, goes silent or
// breaks the order of tokens, the attempt is given up and cancelled, the target
// at fault is avoided, and another chain resumes at the token that the caller
// needs next. The caller's side sees one stream of tokens and either its end
// mark or one error with a verdict.
package pkanswer
