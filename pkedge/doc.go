// Package pkedge implements the entry daemon for a platform that keeps the configuration and the
// list of replicas in its store.
//
// A Daemon follows the store, accepts callers' requests, chooses targets and paths for them, and
// retries failed sends where the verdict allows it. One daemon of the fleet owns the pools of
// engines by a lease. The platform's protocols and names are supplied through Ports; the daemon
// itself is independent of them.
package pkedge
