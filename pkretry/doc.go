// Package pkretry bounds the number of retries.
//
// A retry helps one request and adds load for all others; when targets fail, unbounded retries
// multiply the load. The budget applies to all entries together, so each entry spends only its
// part.
package pkretry
