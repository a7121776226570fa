// Package pkorder decides what the engines of a pool should hold, by the splits of the manifest,
// and which of them is reloaded next. It is used by pkentry; pkowner is its counterpart in pkedge.
//
// Orders state the desired end state, so repeating one is harmless. A rollout follows from what
// engines report: those that do not hold what the manifest asks for are reloaded, no more at a time
// than the model's limit on concurrent loads, and none whose absence would leave less capacity than
// the present demand needs.
package pkorder
