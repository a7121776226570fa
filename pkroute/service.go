package pkroute

import (
	"errors"

	"peridotknot.example/pktarget"
)

// ErrNoTarget says that a pool has no usable target.
var ErrNoTarget = errors.New("the pool has no usable target")

// Service returns the less loaded of two usable targets of a pool's targets.
func Service(all []*pktarget.Target, a Ask) (*pktarget.Target, error) {
	if len(all) == 0 {
		return nil, ErrNoTarget
	}
	start := a.Rand.IntN(len(all))
	var first *pktarget.Target
	for i := range all {
		t := all[(start+i)%len(all)]
		if !a.usable(t) {
			continue
		}
		if first == nil {
			first = t
			// The second draw must be independent of the first, or the
			// neighbour of a dead target gets both shares.
			start += a.Rand.IntN(len(all))
			continue
		}
		if t == first {
			continue
		}
		if serviceCost(t, a) < serviceCost(first, a) {
			return t, nil
		}
		return first, nil
	}
	if first == nil {
		return nil, ErrNoTarget
	}
	return first, nil
}

func serviceCost(t *pktarget.Target, a Ask) int64 {
	const perMillisecond = 1000
	link := a.Links.Time(a.From, t.Info.DataCenter)
	return t.Load()*perMillisecond + link.Microseconds()
}
