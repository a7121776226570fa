// Package pkdaemon wires an entry of the product's own interface to its adapters: the
// key-value service by its JSON gateway, the VM list, model engines and plain services
// over HTTP. Package pkentry knows them by their ports only.
package pkdaemon
