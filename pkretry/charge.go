package pkretry

import "time"

// Charge is a retry that a budget has allowed. It counts until it is settled or canceled, and if it was settled for a window
// after that, since it may arrive long after it was allowed. A nil Charge is of no retry.
type Charge struct {
	budget *Budget
	ended  bool
}

// Charge counts a retry from now on, and returns nil if the budget does not allow it. The charge must be settled or canceled.
func (b *Budget) Charge(now time.Time, l Limits) *Charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, l, 1) {
		return nil
	}
	b.unsettled++
	return &Charge{budget: b}
}

// Settle records at now that the retry has arrived or was given up.
func (c *Charge) Settle(now time.Time, window time.Duration) {
	c.end(func(b *Budget) { b.bucket(now, Limits{Window: window}).retries++ })
}

// Cancel records that nothing was sent.
func (c *Charge) Cancel() { c.end(func(*Budget) {}) }

// end ends the charge, unless that was done before.
func (c *Charge) end(apply func(b *Budget)) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.budget.unsettled--
	apply(c.budget)
}

// Charges are those of one request: of its send in progress and of the next one. The zero value is empty. They must not be
// used concurrently.
type Charges struct {
	current, next *Charge
}

// HasNext reports whether the next send is charged already.
func (c *Charges) HasNext() bool { return c.next != nil }

// SetNext sets the charge of the next send; nil changes nothing.
func (c *Charges) SetNext(charge *Charge) {
	if charge != nil {
		c.next.Cancel()
		c.next = charge
	}
}

// Begin records at now that the next send begins.
func (c *Charges) Begin(now time.Time, window time.Duration) {
	c.End(now, window)
	c.current, c.next = c.next, nil
}

// Revert records that nothing of the send in progress was sent. Its charge is that of the next one.
func (c *Charges) Revert() {
	c.SetNext(c.current)
	c.current = nil
}

// End records at now that the send in progress has arrived or was given up.
func (c *Charges) End(now time.Time, window time.Duration) {
	c.current.Settle(now, window)
	c.current = nil
}

// Close records at now that the request has ended.
func (c *Charges) Close(now time.Time, window time.Duration) {
	c.End(now, window)
	c.next.Cancel()
	c.next = nil
}
