package pkretry

import "time"

// Charge is a retry that a budget has allowed. It counts until it is settled and for a window after that, since it may
// arrive long after it was allowed. A nil Charge is of no retry.
type Charge struct {
	budget  *Budget
	settled bool
}

// Charge counts a retry from now on, and returns nil if the budget does not allow it. The charge must be settled.
func (b *Budget) Charge(now time.Time, l Limits) *Charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, l, 1) {
		return nil
	}
	b.unsettled++
	return &Charge{budget: b}
}

// Settle records at now that the retry has arrived, was given up, or will not be sent. Only the first call counts.
func (c *Charge) Settle(now time.Time, window time.Duration) {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.settled {
		return
	}
	c.settled = true
	b.unsettled--
	b.bucket(now, Limits{Window: window}).retries++
}

// Charges are those of one request: of its send in progress and of the next one. The zero value is empty. They must not be
// used concurrently.
type Charges struct {
	current, next *Charge
}

// HasNext reports whether the next send is charged already.
func (c *Charges) HasNext() bool { return c.next != nil }

// SetNext sets the charge of the next send; nil changes nothing.
func (c *Charges) SetNext(now time.Time, window time.Duration, charge *Charge) {
	if charge == nil {
		return
	}
	c.next.Settle(now, window)
	c.next = charge
}

// Begin records at now that the next send begins.
func (c *Charges) Begin(now time.Time, window time.Duration) {
	c.current.Settle(now, window)
	c.current, c.next = c.next, nil
}

// Revert records that the send that has begun is not made yet; its charge is that of the next one again.
func (c *Charges) Revert() {
	if c.current != nil {
		c.current, c.next = nil, c.current
	}
}

// End records at now that the send in progress has arrived or was given up.
func (c *Charges) End(now time.Time, window time.Duration) {
	c.current.Settle(now, window)
	c.current = nil
}

// Settle settles all charges at now.
func (c *Charges) Settle(now time.Time, window time.Duration) {
	c.End(now, window)
	c.next.Settle(now, window)
	c.next = nil
}
