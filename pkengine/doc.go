// Package pkengine is the contract with model engines, and its HTTP adapter.
//
// An entry chooses a route, a chain of engines whose layer ranges cover the
// model once, and opens a stream at the first one. The engines pass activations
// along the route among themselves; the entry sees one event a token. Tokens
// carry their index. A stream that is idle sends beats, so that silence means
// that something is lost, and an answer is whole only with its end event.
package pkengine
