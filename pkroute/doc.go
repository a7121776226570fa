// Package pkroute chooses where a request runs.
//
// A model request needs a chain: engines whose layer ranges join from layer 0
// to the last one, each layer held once, all of one model, version and adapter.
// Ranges may overlap between engines, so a Plan keeps them as edges between
// layer boundaries, and a chain is a path. For each range a few engines are
// drawn, more often the faster ones, and the cheapest path through those drawn
// is taken. What one choice costs depends on the number of ranges, not on the
// number of engines, and entries that see the same late reports do not all
// choose the same engine.
//
// A call to a plain service takes the less loaded of two drawn targets.
package pkroute
