// Package pkhead publishes manifests and reads the one in force.
//
// A manifest's body is stored in chunks named by their digest. One key, the
// head, names the chunks and is moved by compare-and-swap: a manifest is
// accepted when the head moves. Of two operators who publish at once one wins,
// and the other learns who won.
//
// A write whose answer is lost may take effect even later, after it was read
// as absent. Publish therefore settles it: if the head does not show the
// publication, it rewrites the head as it stands, which gives the key a new
// store revision and so makes the lost write fail for good.
package pkhead
