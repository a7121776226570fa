// Package pkentry implements the entry daemon. It connects the routing, admission and membership
// packages to clients, and through Ports to the store, the platform and the targets.
//
// An Entry holds one manifest view, one target table and one admission gate per pool. Background
// loops follow the manifest, the VM list, target loads and peers; HTTP handlers serve clients,
// operators and peers. Run returns after a graceful shutdown once its context is canceled.
package pkentry
