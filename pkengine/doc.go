// Package pkengine defines the contract with model engines and implements its HTTP client.
//
// An entry chooses a route, a chain of engines whose layer ranges cover the model exactly once, and
// opens a stream at the first of them. The engines pass activations along the route among
// themselves; the entry receives one event per token. Each token carries its index. A stream
// without tokens sends heartbeats, so that a missing event shows that an engine or a connection was
// lost, and an answer is complete only with its end event.
package pkengine
