// Package pkstall finds the engine that silent streams are waiting for.
//
// When an engine dies, its streams fall silent, and one stream alone does not show which of its
// engines died. Several do: all streams through the dead engine are silent, and every engine of a
// progressing stream is alive.
package pkstall
