// Package pketcd is a client of the key-value service over the etcd v3 JSON
// gateway and plain HTTP. It is an adapter for the port in package pkstore.
package pketcd
