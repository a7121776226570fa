package pkroute

import (
	"errors"

	"peridotknot.example/pktarget"
)

// ErrNoTarget is returned if a pool has no usable target.
var ErrNoTarget = errors.New("the pool has no usable target")

// ChooseServiceTarget returns the cheaper of two random usable targets by load and link delay, or
// ErrNoTarget.
func ChooseServiceTarget(targets []*pktarget.Target, opts ChooseOptions) (*pktarget.Target, error) {
	if len(targets) == 0 {
		return nil, ErrNoTarget
	}
	start := opts.Rand.IntN(len(targets))
	var first *pktarget.Target
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if !opts.usable(t) {
			continue
		}
		if first == nil {
			first = t
			// The second sample must be independent of the first, or the neighbor of an unusable
			// target gets the share of both.
			start += opts.Rand.IntN(len(targets))
			continue
		}
		if t == first {
			continue
		}
		if serviceCost(t, opts) < serviceCost(first, opts) {
			return t, nil
		}
		return first, nil
	}
	if first == nil {
		return nil, ErrNoTarget
	}
	return first, nil
}

func serviceCost(t *pktarget.Target, opts ChooseOptions) int64 {
	const perMillisecond = 1000
	link := opts.Links.Delay(opts.From, t.Info.DataCenter)
	return t.Load()*perMillisecond + link.Microseconds()
}
