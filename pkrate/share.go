package pkrate

import (
	"hash/fnv"
	"math"
	"time"

	"peridotknot.example/pkid"
)

const (
	// utilization is the share of a limit that the entries use. The remainder covers entries that
	// are not counted yet, and those whose turns meet by chance.
	utilization = 0.85
	// minRate is the rate in requests per second at which the entries together try a target that
	// takes less, since only a response shows that its limit has ended.
	minRate pkid.RequestRate = 0.1
	// permitTTL is how long a permit stays valid. It bounds what entries without requests save up,
	// all of which may be used at once.
	permitTTL = time.Second
	// maxInterval bounds the time between two permits of an entry.
	maxInterval = 24 * time.Hour
)

// Share is one entry's part in what all entries share.
type Share struct {
	// Entries is the number of entries; 0 counts as 1.
	Entries int
	// Place is this entry's place, from 0 to 1, in the order in which entries take turns.
	Place float64
}

// Of returns this entry's even part of a total.
func (s Share) Of(total float64) float64 { return total / float64(max(s.Entries, 1)) }

// interval returns the time between two permits of this entry for requests at a rate that all
// entries share.
func (s Share) interval(r pkid.RequestRate) time.Duration {
	interval := float64(time.Second) / s.Of(utilization*float64(max(r, minRate)))
	return time.Duration(min(max(interval, 1), float64(maxInterval)))
}

// fleetInterval returns the mean time between two permits of all entries together.
func fleetInterval(r pkid.RequestRate) time.Duration { return Share{Entries: 1}.interval(r) }

// placeOf returns the place for the permits of one target. The permits of one entry for several
// targets are spread, since a request needs only one.
func (s Share) placeOf(id pkid.TargetID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	_, place := math.Modf(s.Place + float64(h.Sum32())/(1<<32))
	return place
}

// permits are one entry's permits to send requests to one target; the zero value has issued none.
//
// Entries know nothing of one another's requests of the last moments, so each issues itself permits
// at an even share of the rate, at regular times that start at its place. A permit that is not used
// expires: entries without requests must not save up what all of them could then use at once.
type permits struct {
	// next is when the oldest valid permit was issued or, if later than now, will be.
	next     time.Time
	interval time.Duration
}

// advance drops expired permits at now and adopts a new interval.
func (p *permits) advance(now time.Time, interval time.Duration, place float64) {
	wait := p.next.Sub(now)
	switch {
	case p.next.IsZero():
		p.next = now.Add(time.Duration(place * float64(interval)))
	case wait > 0 && interval != p.interval:
		p.next = now.Add(time.Duration(float64(wait) / float64(p.interval) * float64(interval)))
	case -wait > permitTTL:
		missed := (-wait - permitTTL + interval - 1) / interval
		p.next = p.next.Add(missed * interval)
	}
	p.interval = interval
}

// take uses the oldest valid permit and reports whether there is one.
func (p *permits) take(now time.Time) bool {
	if p.next.After(now) {
		return false
	}
	p.next = p.next.Add(p.interval)
	return true
}
