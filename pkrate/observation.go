package pkrate

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// announceTime is how long an observed limit, or its end, is sent to the other entries, so that
	// entries learn of it that have started since.
	announceTime = 30 * time.Second
	// refreshInterval is the least by which an observation must be newer to count as a new one of
	// the same limit.
	refreshInterval = time.Second
	// peerMargin is the least by which an observation of a peer must be newer than one that differs:
	// the age in a message leaves out how long the message takes.
	peerMargin = 500 * time.Millisecond
	// changeFactor is the ratio by which a limit must change to be sent at once.
	changeFactor = 1.25
	// maxObservations bounds what is sent at once; the latest come first.
	maxObservations = 64
)

// IsUrgent reports whether a change of a limit is large enough to be sent to other entries at once.
func IsUrgent(before, after Limit) bool {
	return before.Named != after.Named || after.Rate > changeFactor*before.Rate || before.Rate > changeFactor*after.Rate
}

// Observation is the limit that the latest response of a target names, as entries send it to one
// another. It carries an age in place of a time, since the clocks of entries differ.
type Observation struct {
	Target pkid.TargetID `cbor:"1,keyasint"`
	// Named is set if the target names a limit, which is Rate; otherwise it has ended.
	Named bool             `cbor:"2,keyasint,omitempty"`
	Rate  pkid.RequestRate `cbor:"3,keyasint,omitempty"`
	// AgeMS is the time in milliseconds since the request of that response was sent.
	AgeMS int64 `cbor:"4,keyasint"`
	// Born is the start of the target, if known.
	Born pkid.StartTime `cbor:"5,keyasint,omitempty"`
}

// Limit returns the observed limit.
func (o Observation) Limit() Limit { return Limit{Named: o.Named, Rate: o.Rate} }

// Merge stores an observation of another entry at now. It returns the limit before and whether it
// has changed.
func (t *Table) Merge(now time.Time, o Observation) (before Limit, changed bool) {
	sentAt := now.Add(-time.Duration(max(o.AgeMS, 0)) * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	last, known := t.byTarget[o.Target]
	newer := sentAt.Sub(last.sentAt)
	switch {
	case o.Born < last.born || now.Sub(sentAt) >= announceTime:
		return last.limit, false
	case !known && !o.Named:
		return Limit{}, false
	case !known || o.Born > last.born:
	case o.Limit() == last.limit && newer < refreshInterval, newer < peerMargin:
		return last.limit, false
	}
	t.store(o.Target, last, record{limit: o.Limit(), sentAt: sentAt, born: o.Born, relayed: true})
	return last.limit, o.Limit() != last.limit
}

// Observations returns the limits to send to other entries at now, in order of target: those that
// this entry has observed itself, and with relayed set also those that others have.
func (t *Table) Observations(now time.Time, relayed bool) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Observation
	for id := range t.announced {
		r, known := t.byTarget[id]
		age := now.Sub(r.sentAt)
		switch {
		case !known || age >= announceTime:
			delete(t.announced, id)
		case relayed || !r.relayed:
			out = append(out, Observation{Target: id, Named: r.limit.Named, Rate: r.limit.Rate, AgeMS: age.Milliseconds(), Born: r.born})
		}
	}
	if len(out) > maxObservations {
		slices.SortFunc(out, func(a, b Observation) int {
			return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Target, b.Target))
		})
		out = out[:maxObservations]
	}
	slices.SortFunc(out, func(a, b Observation) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// SameLimits reports whether two lists of observations, each in order of target, name the same
// limits.
func SameLimits(a, b []Observation) bool {
	return slices.EqualFunc(a, b, func(x, y Observation) bool {
		return x.Target == y.Target && x.Born == y.Born && x.Limit() == y.Limit()
	})
}
