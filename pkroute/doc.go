// Package pkroute chooses the targets that run a request.
//
// A model request needs a chain: engines whose layer ranges join from layer 0 to the last one, all
// of one model, version and adapter. Ranges may overlap between engines, so a Plan treats them as
// edges between layer boundaries, and a chain is a path. For each range a few engines are sampled,
// weighted by their rate, and the cheapest path through them is taken. The cost of a choice thus
// depends on the number of ranges, not of engines, and entries that see the same stale load reports
// do not all choose the same engine.
//
// A call to a plain service takes the cheaper of two random targets, by load and link delay.
// Package pkroute is used by pkentry; pklayers is its counterpart in pkedge.
package pkroute
