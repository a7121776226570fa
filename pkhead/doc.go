// Package pkhead publishes manifests and reads the one in force.
//
// A manifest's body is stored in chunks named by their digest. One key, the
// head, lists the chunks and is updated by compare-and-swap: a manifest is
// accepted once the head refers to it. If two operators publish concurrently,
// one succeeds and the other gets the head that was written instead.
//
// A write whose response is lost can still take effect after a read has not
// found it. If the head does not contain the publication, Publish therefore
// rewrites the head unchanged: the key gets a new store revision, and the
// compare-and-swap of the lost write can no longer succeed.
package pkhead
