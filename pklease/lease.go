package pklease

import (
	"time"

	"peridotknot.example/pkid"
)

// Terms says how long a lease lasts and how its owner keeps it.
type Terms struct {
	TTL time.Duration
	// Margin is how long before the end the owner stops acting. It covers what
	// an order takes once it was sent.
	Margin time.Duration
}

// DefaultTerms returns terms that outlast a short pause of the store.
func DefaultTerms() Terms { return Terms{TTL: 10 * time.Second, Margin: 2 * time.Second} }

// Lease is what an owner holds; the zero value holds nothing.
type Lease struct {
	Terms Terms
	fence pkid.Fence
	until time.Time
	began time.Time
}

// Began records that the store granted the lease in answer to a request that
// was sent at sent. The fence is the store's revision of the owner's key.
func (l *Lease) Began(sent time.Time, fence pkid.Fence) {
	l.fence = fence
	l.began = sent
	l.until = sent.Add(l.Terms.TTL - l.Terms.Margin)
}

// Renewed records a renewal whose request was sent at sent.
func (l *Lease) Renewed(sent time.Time) {
	if l.fence == 0 {
		return
	}
	// Answers can overtake each other; time is never given back.
	if until := sent.Add(l.Terms.TTL - l.Terms.Margin); until.After(l.until) {
		l.until = until
	}
}

// Lost records that the lease is gone.
func (l *Lease) Lost() { l.fence = 0 }

// Fence returns the fencing number; zero is none.
func (l *Lease) Fence() pkid.Fence { return l.fence }

// MayAct says whether the owner may act at now.
func (l *Lease) MayAct(now time.Time) bool { return l.fence != 0 && now.Before(l.until) }

// MayOrder says whether the owner may send orders at now. Where targets ignore
// fencing numbers, orders of the former owner may still be on their way for as
// long as its margin lasted; ordering before they are through would let an old
// order come last.
func (l *Lease) MayOrder(now time.Time, enforced bool) bool {
	if !l.MayAct(now) {
		return false
	}
	return enforced || now.Sub(l.began) >= l.Terms.Margin
}

// Left returns how long the owner may still act.
func (l *Lease) Left(now time.Time) time.Duration { return max(l.until.Sub(now), 0) }

// RenewAt returns when the lease should be renewed: with a third of it gone, so
// that two renewals may fail.
func (l *Lease) RenewAt() time.Time {
	return l.until.Add(-(l.Terms.TTL - l.Terms.Margin) * 2 / 3)
}
