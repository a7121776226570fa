// Package pkentry is the entry daemon: it wires the packages that decide to
// the callers, and to the store, the platform and the targets by their Ports.
//
// An Entry keeps one manifest view, one table of targets and one gate for each
// pool. Its loops follow the manifest, the VM list, the loads and the peers;
// its handlers serve callers and operators. Run ends when the context does,
// after a graceful shutdown.
package pkentry
