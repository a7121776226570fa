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
	// FollowUps is how often the targets of a doubtful sample that have not answered are probed again.
	FollowUps = 2
	// maxReachedShare is the largest share of a sample that an entry which is cut off may reach. A
	// single spared target is no way through for all requests.
	maxReachedShare = 1.0 / SampleSize
	// maxSilentShare is the share of a sample that may be silent without doubt about the links.
	maxSilentShare = 0.25
	// lossyShare is the share of the probes of running targets from which, once lost, links are lossy, and
	// minLost the number of them.
	lossyShare = 0.25
	minLost    = 2
	// wholeShare is the share down to which it must fall before lossy links are whole again.
	wholeShare = 0.125
	// sampleWeight is the weight of a sample in the next one, and lossMemory how long whole links remember one.
	sampleWeight = 0.5
	lossMemory   = time.Second
	// resultTTL is how long a sample counts.
	resultTTL = 100 * time.Millisecond
	// RecheckInterval is how often an entry whose links are impaired probes a new sample.
	RecheckInterval = 250 * time.Millisecond
)

// Condition is the condition of an entry's links to the targets of a service.
type Condition uint8

// Conditions of links.
const (
	// Whole links reach the targets that run.
	Whole Condition = iota
	// Lossy links reach targets that run at some attempts and not at others.
	Lossy
	// CutOff links reach almost no target.
	CutOff
)

// String returns the condition as given in logs.
func (c Condition) String() string { return [...]string{"whole", "lossy", "cut_off"}[c] }

// Sample is the result of probing some targets of one service at about the same time.
type Sample struct {
	// Reached and Failed count the targets that were and were not reached at the first attempt, Silent those
	// of the failed ones that have not refused either.
	Reached int
	Failed  int
	Silent  int
	// Answered and Lost count the probes, follow-ups included, of targets that were reached at some attempt.
	// What has never answered may be dead and says nothing of the links.
	Answered int
	Lost     int
}

// cutOff reports whether an entry with this sample is cut off. An empty sample, of a service without
// other targets, shows nothing.
func (s Sample) cutOff() bool {
	return s.Failed > 0 && float64(s.Reached) <= maxReachedShare*float64(s.Reached+s.Failed)
}

// Doubtful reports whether so many targets are silent that either they are dead or the links lose packets.
// Follow-ups tell: a dead target does not answer the next probe either.
func (s Sample) Doubtful() bool {
	return !s.cutOff() && float64(s.Silent) > maxSilentShare*float64(s.Reached+s.Failed)
}

// Settled reports whether the results still missing from a sample can show neither that the entry is cut
// off nor a doubt.
func (s Sample) Settled(missing int) bool {
	s.Failed += missing
	s.Silent += missing
	return !s.cutOff() && !s.Doubtful()
}

// Links are an entry's links to the targets of each service. The zero value is ready to use, with
// all links in order.
type Links struct {
	mu        sync.Mutex
	byService map[pkid.ServiceID]*links
}

type links struct {
	condition Condition
	checkedAt time.Time
	// unclear is set if the last sample leaves open whether targets are dead or the links lose packets.
	unclear bool
	// answered and lost are the probes of running targets in the last samples, each with less weight than the
	// next.
	answered, lost float64
}

// record applies a sample at now. An entry that was cut off is so until it reaches most targets again, or the
// service has none.
func (l *links) record(now time.Time, s Sample) {
	if l.condition == Whole && now.Sub(l.checkedAt) > lossMemory {
		l.answered, l.lost = 0, 0
	}
	l.checkedAt = now
	l.answered = sampleWeight*l.answered + float64(s.Answered)
	l.lost = sampleWeight*l.lost + float64(s.Lost)
	lostShare := l.lost / max(l.answered+l.lost, 1)
	switch {
	case s.cutOff(), l.condition == CutOff && s.Failed > 0 && s.Reached <= s.Failed:
		l.condition = CutOff
	case l.lost >= minLost && lostShare >= lossyShare:
		l.condition = Lossy
	case l.condition != Lossy || s.Reached+s.Failed == 0 || lostShare <= wholeShare:
		l.condition = Whole
	}
	l.unclear = l.condition == Whole && s.Doubtful() && s.Lost > 0
}

// Record applies a sample of a service that was complete at now, and returns the condition of the links
// and whether that is new.
func (l *Links) Record(now time.Time, s pkid.ServiceID, sample Sample) (c Condition, changed bool) {
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
	before := one.condition
	one.record(now, sample)
	return one.condition, one.condition != before
}

// Condition returns the condition of the links to the targets of a service.
func (l *Links) Condition(s pkid.ServiceID) Condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	if one := l.byService[s]; one != nil {
		return one.condition
	}
	return Whole
}

// Unclear reports whether the last sample of a service leaves open whether its targets are dead or the links to
// them lose packets.
func (l *Links) Unclear(s pkid.ServiceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.byService[s]
	return one != nil && one.unclear
}

// CutOff reports whether the entry is cut off from the targets of a service.
func (l *Links) CutOff(s pkid.ServiceID) bool { return l.Condition(s) == CutOff }

// Impaired reports whether the links to the targets of a service are not whole.
func (l *Links) Impaired(s pkid.ServiceID) bool { return l.Condition(s) != Whole }

// Checked reports whether a sample of a service that was recorded before now still counts.
func (l *Links) Checked(now time.Time, s pkid.ServiceID) bool {
	return l.CheckedWithin(now, s, resultTTL) && !l.Unclear(s)
}

// CheckedWithin reports whether a sample of a service was recorded within a time before now.
func (l *Links) CheckedWithin(now time.Time, s pkid.ServiceID, within time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.byService[s]
	return one != nil && now.Sub(one.checkedAt) < within
}

// ImpairedServices returns the services whose links are not whole, in order.
func (l *Links) ImpairedServices() []pkid.ServiceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []pkid.ServiceID
	for id, one := range l.byService {
		if one.condition != Whole {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
