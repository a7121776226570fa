// Package pkorder decides what the engines of a pool should hold and which of
// them is told next.
//
// Orders state the wanted end, so repeating one is harmless. A roll-out goes
// from what engines report: those that hold something else than the manifest
// wants are reloaded a few at a time, as many as the weight store's rate allows,
// and none while its absence would leave less than the present demand needs.
package pkorder
