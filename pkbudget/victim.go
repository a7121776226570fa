package pkbudget

import (
	"cmp"
	"slices"
	"time"
)

// stallTime is how long a request may receive nothing before it is evicted in favour of others.
const stallTime = 500 * time.Millisecond

// rank orders connections by how soon they are closed in favour of others.
type rank uint8

const (
	// rankRefused have had their final answer.
	rankRefused rank = iota
	// rankSilent have had no request, or one that has stalled.
	rankSilent
	// rankIdle are between two requests.
	rankIdle
	// rankNew may still send the header of a request.
	rankNew
	// rankActive have a request in progress.
	rankActive
)

func (h *Hold[O]) rank(now time.Time) rank {
	stalled := now.Sub(h.movedAt) >= stallTime
	switch {
	case h.stage == refused:
		return rankRefused
	case h.stage == kept:
		return rankActive
	case h.stage == waiting && h.served:
		return rankIdle
	case stalled:
		return rankSilent
	case h.stage == arriving:
		return rankActive
	default:
		return rankNew
	}
}

// chooseConnection returns the connection to close in favour of a new one, or of the request of another hold: the longest
// idle one of the lowest rank; nil if all have requests. The caller holds mu.
func (b *Budget[O]) chooseConnection(now time.Time, other *Hold[O]) *Hold[O] {
	var victim *Hold[O]
	lowest := rankActive
	for _, h := range b.holds {
		if !h.connection || h.closing || h == other {
			continue
		}
		r := h.rank(now)
		if r < lowest || (r == lowest && victim != nil && h.movedAt.Before(victim.movedAt)) {
			lowest, victim = r, h
		}
	}
	return victim
}

// chooseRequests returns the requests to evict for missing bytes, so that one can grow by n; nil if it must be refused.
// The caller holds mu.
func (b *Budget[O]) chooseRequests(now time.Time, h *Hold[O], n, missing Bytes, largeOnly bool) []*Hold[O] {
	var candidates []*Hold[O] // without the one that grows, which has just moved and does not yield to itself
	for _, one := range b.holds {
		if one.arriving() && !one.evicted && one.bytes > 0 && (!largeOnly || one.largeBytes() > 0) {
			candidates = append(candidates, one)
		}
	}
	slices.SortFunc(candidates, func(x, y *Hold[O]) int {
		return cmp.Or(x.movedAt.Compare(y.movedAt), cmp.Compare(y.sequence, x.sequence))
	})
	var out []*Hold[O]
	for len(candidates) > 0 && missing > 0 && now.Sub(candidates[0].movedAt) >= stallTime {
		missing -= candidates[0].bytes
		out, candidates = append(out, candidates[0]), candidates[1:]
	}
	slices.SortFunc(candidates, func(x, y *Hold[O]) int { return cmp.Compare(y.sequence, x.sequence) })
	share := shares[O]{h: h, n: n, held: b.heldWithout(out)}
	for missing > 0 {
		i := slices.IndexFunc(candidates, share.yields)
		if i < 0 {
			return nil
		}
		missing -= candidates[i].bytes
		share.held[candidates[i].account] -= candidates[i].bytes
		out = append(out, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
	return out
}

// heldWithout returns what each client account holds without some requests; the caller holds mu.
func (b *Budget[O]) heldWithout(out []*Hold[O]) map[string]Bytes {
	held := make(map[string]Bytes, len(b.byAccount))
	for account, n := range b.byAccount {
		held[account] = n
	}
	for _, one := range out {
		held[one.account] -= one.bytes
	}
	return held
}

// shares compares what client accounts hold with what a request wants.
type shares[O any] struct {
	h    *Hold[O]
	n    Bytes
	held map[string]Bytes
}

// yields reports whether another request is evicted in favour of the one that wants to grow: its account holds more, or
// both are of the same account and it began later.
func (s shares[O]) yields(other *Hold[O]) bool {
	if other.account == s.h.account {
		return other.sequence > s.h.sequence
	}
	return s.held[other.account] > s.held[s.h.account]+s.n
}
