// Package pkpeer carries messages between entries, the router's own nodes, as CBOR over WebSocket,
// with mutual TLS where an identity is configured.
//
// Each entry dials the others and sends its state on the connections that it dialed. On accepted
// connections it sends only replies and requests for a manifest. A link that works in one direction
// is therefore still used in that direction, and no pair has to agree on who connects.
package pkpeer
