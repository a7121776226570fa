package pkquarantine

import "time"

// probationInterval is how often all entries together send a request with a part on probation.
const probationInterval = time.Second

// TryProbation reports whether a request with the given traits may be sent at now, one of a number of
// entries. Traits that are as suspect as a quarantined part are on probation: requests with them are sent one
// after the other, so that the next crash or success tells which one is at fault, and costs one replica.
func (t *Table) TryProbation(now time.Time, traits Traits, entries int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quarantinedSet(now)
	if len(t.blame.tied) == 0 {
		return true
	}
	interval := probationInterval * time.Duration(max(entries, 1))
	for _, d := range traits.all() {
		if t.blame.tied[d] && now.Before(t.probationTurn(now, d, interval)) {
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

// probationTurn returns when this entry may next send a request with a trait on probation. The first turns of
// the entries are spread over the interval.
func (t *Table) probationTurn(now time.Time, d Digest, interval time.Duration) time.Time {
	turn, known := t.turns[d]
	if known {
		return turn
	}
	if t.turns == nil || len(t.turns) >= maxCases {
		t.turns = map[Digest]time.Time{}
	}
	turn = now.Add(time.Duration(t.Phase * float64(interval)))
	t.turns[d] = turn
	return turn
}
