package pkretry

import (
	"time"

	"peridotknot.example/pkid"
)

// pendingWindows is the number of windows after which a send that its target has not confirmed is taken for lost.
const pendingWindows = 6

// pending are sends of retried requests that a target has not confirmed, by the number of the bucket in which they were
// given up.
type pending map[pkid.TargetID]map[int64]float64

// Suspend records at now that a send of a retried request was given up without a sign that the target has received it. A
// target that stands still receives it when it goes on. It counts until then, and for a window after that.
func (b *Budget) Suspend(now time.Time, window time.Duration, target pkid.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil {
		b.pending = pending{}
	}
	if b.pending[target] == nil {
		b.pending[target] = map[int64]float64{}
	}
	b.pending[target][b.bucket(now, Limits{Window: window}).number]++
}

// Confirm records at now that a target goes on, and has received all that was sent to it before.
func (b *Budget) Confirm(now time.Time, window time.Duration, target pkid.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inherited.confirm(now, window, target)
	if len(b.pending[target]) == 0 {
		return
	}
	current := b.bucket(now, Limits{Window: window})
	for number, n := range b.pending[target] {
		age := current.number - number
		if age < keptBuckets { // it counts already, and from now on later
			charged := &b.buckets[number%storedBuckets]
			charged.retries = max(charged.retries-n, 0)
		}
		if age < pendingWindows*bucketCount {
			current.retries += n
		}
	}
	delete(b.pending, target)
}

// Drop records that a target has ended, and receives nothing that was sent to it.
func (b *Budget) Drop(target pkid.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, target)
	b.inherited.drop(target)
}

// unconfirmed returns the number of pending sends at a bucket, without those whose retries still count in the window
// that ends with it.
func (b *Budget) unconfirmed(current int64) float64 {
	total := 0.0
	for target, sends := range b.pending {
		for number, n := range sends {
			switch age := current - number; {
			case age >= pendingWindows*bucketCount:
				delete(sends, number)
			case age >= keptBuckets:
				total += n
			}
		}
		if len(sends) == 0 {
			delete(b.pending, target)
		}
	}
	return total
}
