package pkreach

import (
	"slices"
	"sync"
	"time"

	"peridotknot.example/pkid"
)

const (
	// SampleSize is the number of targets of a service that are probed at once.
	SampleSize = 8
	// maxReachedShare is the largest share of a sample that an entry which is cut off may reach. A
	// single spared target is no way through for all requests.
	maxReachedShare = 1.0 / SampleSize
	// resultTTL is how long a sample counts.
	resultTTL = 100 * time.Millisecond
	// RecheckInterval is how often an entry that is cut off probes a new sample.
	RecheckInterval = 250 * time.Millisecond
)

// Sample is the result of probing some targets of one service at about the same time.
type Sample struct {
	Reached int
	Failed  int
}

// cutOff reports whether an entry with this sample is cut off. An empty sample, of a service without
// other targets, shows nothing.
func (s Sample) cutOff() bool {
	return s.Failed > 0 && float64(s.Reached) <= maxReachedShare*float64(s.Reached+s.Failed)
}

// Settled reports whether the results still missing from a sample cannot show that the entry is cut
// off.
func (s Sample) Settled(missing int) bool {
	s.Failed += missing
	return !s.cutOff()
}

// Links are an entry's links to the targets of each service. The zero value is ready to use, with
// all links in order.
type Links struct {
	mu        sync.Mutex
	byService map[pkid.ServiceID]*links
}

type links struct {
	cutOff    bool
	checkedAt time.Time
}

// Record applies a sample of a service that was complete at now, and reports whether the entry is
// cut off and whether that is new. An entry that was cut off is so until it reaches most targets
// again, or the service has none.
func (l *Links) Record(now time.Time, s pkid.ServiceID, sample Sample) (cutOff, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byService == nil {
		l.byService = map[pkid.ServiceID]*links{}
	}
	one := l.byService[s]
	if one == nil {
		one = &links{}
		l.byService[s] = one
	}
	before := one.cutOff
	one.cutOff = sample.cutOff() || (before && sample.Failed > 0 && sample.Reached <= sample.Failed)
	one.checkedAt = now
	return one.cutOff, one.cutOff != before
}

// CutOff reports whether the entry is cut off from the targets of a service.
func (l *Links) CutOff(s pkid.ServiceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.byService[s]
	return one != nil && one.cutOff
}

// Checked reports whether a sample of a service that was recorded before now still counts.
func (l *Links) Checked(now time.Time, s pkid.ServiceID) bool {
	return l.CheckedWithin(now, s, resultTTL)
}

// CheckedWithin reports whether a sample of a service was recorded within a time before now.
func (l *Links) CheckedWithin(now time.Time, s pkid.ServiceID, within time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.byService[s]
	return one != nil && now.Sub(one.checkedAt) < within
}

// CutOffServices returns the services whose targets the entry is cut off from, in order.
func (l *Links) CutOffServices() []pkid.ServiceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []pkid.ServiceID
	for id, one := range l.byService {
		if one.cutOff {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
