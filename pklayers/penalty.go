package pklayers

import "math"

// MemoryPenalty maps the utilization of an engine's KV cache to the factor by which its cost rises.
// It decides how soon requests move to slower engines.
type MemoryPenalty func(utilization float64) float64

// minFree bounds the cost of a full engine.
const minFree = 0.05

// EarlyPenalty quadruples the cost of an engine at half utilization. It spreads requests over all
// engines of a pool, the slow ones included, long before any is short of memory.
func EarlyPenalty(utilization float64) float64 {
	free := max(1-utilization, minFree)
	return 1 / (free * free)
}

// InversePenalty doubles the cost of an engine at half utilization. The penalty allows for requests
// of other entries that are not known yet.
func InversePenalty(utilization float64) float64 { return 1 / max(1-utilization, minFree) }

// LatePenalty penalizes memory little until an engine is nearly full.
func LatePenalty(utilization float64) float64 {
	const sharpness = 4
	return 1 / max(1-math.Pow(max(utilization, 0), sharpness), minFree)
}
