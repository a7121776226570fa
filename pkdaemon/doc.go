// Package pkdaemon assembles an entry from package pkentry with the adapters for its ports: the
// key-value service through its JSON gateway, and the VM list, model engines and plain services over
// HTTP.
package pkdaemon
