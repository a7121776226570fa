package pkquarantine

import (
	"slices"
	"time"

	"peridotknot.example/pkrate"
)

// probationInterval is how often all entries together send a request with a part on probation.
const probationInterval = time.Second

// IsOnProbation reports whether any of the given traits is on probation at now.
func (t *Table) IsOnProbation(now time.Time, traits Traits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantinedSet(now)
	return len(t.blame.tied) > 0 && slices.ContainsFunc(traits.all(), func(d Digest) bool { return t.blame.tied[d] })
}

// TryProbation reports whether a request with the given traits may be sent at now by one of the entries that share
// the turns. Traits that are as suspect as a quarantined part are on probation: requests with them are sent one
// after the other, so that the next crash or success tells which one is at fault, and costs one replica.
func (t *Table) TryProbation(now time.Time, traits Traits, share pkrate.Share) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantinedSet(now)
	interval := probationInterval * time.Duration(max(share.Entries, 1))
	first := now.Add(time.Duration(share.Place * float64(interval)))
	for _, d := range traits.all() {
		if t.blame.tied[d] && now.Before(t.probationTurn(d, first)) {
			return false
		}
	}
	for _, d := range traits.all() {
		if t.blame.tied[d] {
			t.turns[d] = now.Add(interval)
		}
	}
	return true
}

// probationTurn returns when this entry may next send a request with a trait on probation: at first at the given time. The
// first turns of the entries are spread over the interval between two.
func (t *Table) probationTurn(d Digest, first time.Time) time.Time {
	turn, known := t.turns[d]
	if known {
		return turn
	}
	if t.turns == nil || len(t.turns) >= maxCases {
		t.turns = map[Digest]time.Time{}
	}
	t.turns[d] = first
	return first
}
