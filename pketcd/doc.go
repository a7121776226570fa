// Package pketcd reaches the key-value service through the etcd v3 JSON
// gateway, over plain HTTP. It is an adapter for the port in package pkstore.
package pketcd
