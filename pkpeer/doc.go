// Package pkpeer carries messages between entries: CBOR over WebSocket, with
// mutual TLS where the settings name keys.
//
// Each entry dials the others and sends on the connections that it dialed; it
// answers on a connection only if it is asked for the manifest. A link that
// works one way therefore still tells in that way, and no pair has to agree on
// who connects.
package pkpeer
