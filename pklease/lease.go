package pklease

import (
	"time"

	"peridotknot.example/pkid"
)

// Terms are the durations of a lease.
type Terms struct {
	TTL time.Duration
	// Margin is how long before the end the owner stops acting. It covers the time that an order
	// takes once sent.
	Margin time.Duration
}

// DefaultTerms returns terms that outlast a short outage of the store.
func DefaultTerms() Terms { return Terms{TTL: 10 * time.Second, Margin: 2 * time.Second} }

// Lease is the lease of an owner; the zero value is not held.
type Lease struct {
	Terms       Terms
	fence       pkid.FencingToken
	until       time.Time
	grantedFrom time.Time
}

// Granted records that the store granted the lease in reply to a request sent at sentAt. The
// fencing token is the store revision of the owner's key.
func (l *Lease) Granted(sentAt time.Time, fence pkid.FencingToken) {
	l.fence = fence
	l.grantedFrom = sentAt
	l.until = sentAt.Add(l.Terms.TTL - l.Terms.Margin)
}

// Renewed records a renewal whose request was sent at sentAt.
func (l *Lease) Renewed(sentAt time.Time) {
	if l.fence == 0 {
		return
	}
	// Replies may arrive out of order; an older one must not shorten the lease.
	if until := sentAt.Add(l.Terms.TTL - l.Terms.Margin); until.After(l.until) {
		l.until = until
	}
}

// Lost records that the lease has ended.
func (l *Lease) Lost() { l.fence = 0 }

// Fence returns the fencing token; zero is none.
func (l *Lease) Fence() pkid.FencingToken { return l.fence }

// MayAct reports whether the owner may act at now.
func (l *Lease) MayAct(now time.Time) bool { return l.fence != 0 && now.Before(l.until) }

// MayOrder reports whether the owner may send orders at now; enforced is set if targets check the
// fencing token. Where they do not, orders of the previous owner may be in flight for as long as
// its margin, and the owner must wait for them so that its own orders arrive last.
func (l *Lease) MayOrder(now time.Time, enforced bool) bool {
	if !l.MayAct(now) {
		return false
	}
	return enforced || now.Sub(l.grantedFrom) >= l.Terms.Margin
}

// Remaining returns the time for which the owner may still act.
func (l *Lease) Remaining(now time.Time) time.Duration { return max(l.until.Sub(now), 0) }

// RenewAt returns when to renew the lease: after a third of it, so that two renewals may fail.
func (l *Lease) RenewAt() time.Time {
	return l.until.Add(-(l.Terms.TTL - l.Terms.Margin) * 2 / 3)
}
