package pkrelay

import "time"

const (
	// helperTimeout is how long a request waits for hubs to report an entry in order, helperPollInterval how often
	// it looks for one. A hub reports within two messages who is cut off as well.
	helperTimeout      = 400 * time.Millisecond
	helperPollInterval = 5 * time.Millisecond
	// linkTimeout is how long a request that cannot be refused waits for the end of a cut, since sends that are refused
	// would use up those that it has, and linkPollInterval how often it looks for it.
	linkTimeout      = 1500 * time.Millisecond
	linkPollInterval = 25 * time.Millisecond
)

// Search decides how long a request of an entry with impaired links looks for another one to take it. The zero value has
// not begun.
type Search struct {
	since time.Time
}

// Prospects are what a search may wait for.
type Prospects struct {
	// CutOff is set while almost no target is reached, so that sends are in vain.
	CutOff bool
	// HubMayReport is set if a hub has yet to report entries in order.
	HubMayReport bool
	// Refusable is set if the request can still be answered as not run.
	Refusable bool
}

// Begin begins the search at now, unless it has begun.
func (s *Search) Begin(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
}

// Pause returns how long to wait from now until the next look for an entry; zero if there is nothing to wait for.
func (s *Search) Pause(now time.Time, p Prospects) time.Duration {
	waited := now.Sub(s.since)
	switch {
	case !p.CutOff:
		return 0
	case p.HubMayReport && waited < helperTimeout:
		return helperPollInterval
	case !p.Refusable && waited < linkTimeout:
		return linkPollInterval
	default:
		return 0
	}
}
