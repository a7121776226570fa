package pklayers

import "math"

// Crowding is how many times as long a token is taken to need at an engine of which requests hold
// a share of the memory. It decides how soon requests turn to slower engines.
type Crowding func(full float64) float64

// leastFree bounds the cost of a full engine.
const leastFree = 0.05

// EarlyCrowding has an engine cost four times as much once it is half full. It spreads requests
// over all engines of a pool long before any is short of memory, the slow ones among them.
func EarlyCrowding(full float64) float64 {
	free := max(1-full, leastFree)
	return 1 / (free * free)
}

// FreeCrowding has an engine cost twice as much once it is half full.
//
// It answers a load that the fast engines of a pool could take by their time, and nearly by their
// memory. An engine that is half full is as fast as an empty one; passed over for engines that
// are four times as slow, requests lasted longer, held more memory, and more were under way when an
// engine or an entry ended. What is left of the charge is for what is not known yet of the others'
// requests, which may fill an engine that seems to have room.
func FreeCrowding(full float64) float64 { return 1 / max(1-full, leastFree) }

// LateCrowding has memory cost little until an engine is nearly full. Where a pool has few fast
// engines, with little memory for large requests, they are over it more often than with
// FreeCrowding.
func LateCrowding(full float64) float64 {
	const sharpness = 4
	return 1 / max(1-math.Pow(max(full, 0), sharpness), leastFree)
}
