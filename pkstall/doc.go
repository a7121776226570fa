// Package pkstall finds the engine that silent streams are waiting for.
//
// When one of the engines of a stream dies, the stream falls silent, and nothing in it says which
// engine it was. Taken together streams do: those through the dead engine are silent, and every
// engine of a stream that still progresses is alive.
package pkstall
