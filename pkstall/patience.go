package pkstall

import (
	"sync"
	"time"
)

const (
	// fixedFirst and fixedNext are the waits where callers have said nothing.
	fixedFirst = 900 * time.Millisecond
	fixedNext  = 450 * time.Millisecond
	// fixedAsks is how often a stream without a first event is asked about then.
	fixedAsks = 3
	// firstLate is the share of the time within which callers expect the first event after which
	// one that has not come is taken for lost: what is left must do for another attempt.
	firstLate = 0.5
	// usualFirsts multiplies the time that first events take at present: where all are slow,
	// engines are busy, and what is sent again makes them slower still.
	usualFirsts = 3
	// firstWeight is the weight of one first event in their mean: ten make a view.
	firstWeight = 0.1
	// nextLate multiplies the longest pause that callers accept.
	nextLate = 1.8
)

// Patience is how long a stream may stay silent before it is asked about.
type Patience struct {
	// First is the wait for the first event, Next for any later one.
	First time.Duration
	Next  time.Duration
	// Asks is after how many questions a stream without a first event is sent again, where it may
	// be and no engine is known to be dead.
	Asks int
}

// FixedPatience waits alike for all callers.
func FixedPatience() Patience { return Patience{First: fixedFirst, Next: fixedNext, Asks: fixedAsks} }

// PatienceFor waits by what a caller expects: its longest wait for the first event and its longest
// pause, zero where it states none; usual is how long first events take at present, zero where
// that is not known.
//
// It answers answers that are lost on the way while engines are sound: no engine is found dead, and
// a stream that was sent again after three fixed waits began after four times what its caller
// expects.
func PatienceFor(first, pause, usual time.Duration) Patience {
	out := FixedPatience()
	if first > 0 && usual > 0 {
		out.First = max(share(firstLate, first, 0), usualFirsts*usual)
		out.Asks = 1
	}
	if pause > 0 {
		out.Next = share(nextLate, pause, 0)
	}
	return out
}

// Firsts is how long first events take at present; the zero value knows nothing.
type Firsts struct {
	mu   sync.Mutex
	mean time.Duration
}

// Came notes a first event that took so long.
func (f *Firsts) Came(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mean == 0 {
		f.mean = took
	}
	f.mean += time.Duration(firstWeight * float64(took-f.mean))
}

// Usual returns the time that they take; zero before there was one.
func (f *Firsts) Usual() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mean
}
