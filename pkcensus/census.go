package pkcensus

import (
	"maps"
	"math"
	"time"

	"peridotknot.example/pkid"
)

// Retention returns how long an entry that has left is counted for a limit over a window: it may use its share for some
// time after it was last noticed, and what it used then counts for a window.
func Retention(window time.Duration) time.Duration { return window + 3*graceOf(window)/2 }

// endless is a retention that does not end.
const endless = time.Duration(math.MaxInt64)

// Census is what an entry knows of the entries of its fleet, itself among them; the zero value knows only itself. It must
// not be used concurrently.
type Census struct {
	// leftAt holds when each registered entry has left; zero while it is registered.
	leftAt map[pkid.EntryID]time.Time
	// heard are the messages of other entries.
	heard map[pkid.EntryID]message
	// listed is set once the registered entries were read, currentAt is when they were last known to be current.
	listed    bool
	currentAt time.Time
	// hubCount is the number of entries that a hub last reported, zero once the registered ones were read again.
	hubCount int
}

// message is when an entry was last heard from, and the number of entries that it had noticed then; zero if it had not read
// the registered ones.
type message struct {
	at      time.Time
	entries int
}

// Register records that an entry is registered.
func (c *Census) Register(id pkid.EntryID) { c.setLeft(id, time.Time{}) }

// Leave records at now that an entry is no longer registered.
func (c *Census) Leave(now time.Time, id pkid.EntryID) { c.setLeft(id, now) }

func (c *Census) setLeft(id pkid.EntryID, at time.Time) {
	if c.leftAt == nil {
		c.leftAt = map[pkid.EntryID]time.Time{}
	}
	c.leftAt[id] = at
}

// BeginList records that the registered entries were read at now; Register follows for each of them.
func (c *Census) BeginList(now time.Time) {
	c.listed, c.hubCount = true, 0
	c.Current(now)
	for id, gone := range c.leftAt {
		if gone.IsZero() {
			c.leftAt[id] = now
		}
	}
}

// Current records that the registered entries are known as of now.
func (c *Census) Current(now time.Time) {
	if now.After(c.currentAt) {
		c.currentAt = now
	}
}

// WasRegistered reports whether an entry is registered at now or was within a time before.
func (c *Census) WasRegistered(now time.Time, id pkid.EntryID, within time.Duration) bool {
	left, found := c.leftAt[id]
	return found && (left.IsZero() || now.Sub(left) < within)
}

// Hear records a message of another entry at now, and what Report returned there.
func (c *Census) Hear(now time.Time, id pkid.EntryID, entries int) {
	if c.heard == nil {
		c.heard = map[pkid.EntryID]message{}
	}
	c.heard[id] = message{at: now, entries: entries}
}

// HearHub records the number of entries that a hub reports.
func (c *Census) HearHub(entries int) { c.hubCount = entries }

// Noticed returns the number of entries that this one, self, has noticed itself within a time before now, or has heard
// of from a hub.
func (c *Census) Noticed(now time.Time, self pkid.EntryID, within time.Duration) int {
	n := 1
	for id := range c.leftAt {
		if id != self && c.WasRegistered(now, id, within) {
			n++
		}
	}
	for id, m := range c.heard {
		if id != self && now.Sub(m.at) < within && !c.WasRegistered(now, id, within) {
			n++
		}
	}
	return max(n, c.hubCount)
}

// Report returns what this entry, self, tells others: the number of entries that it has noticed within a time before now,
// or zero if it has not read the registered ones and so may have missed any number.
func (c *Census) Report(now time.Time, self pkid.EntryID, within time.Duration) int {
	if !c.listed {
		return 0
	}
	return c.Noticed(c.knownAt(now), self, within)
}

// knownAt returns the time as of which it is known at now which entries have left: when the registered ones were last
// known to be current.
func (c *Census) knownAt(now time.Time) time.Time {
	if c.currentAt.Before(now) {
		return c.currentAt
	}
	return now
}

// IsComplete reports whether this entry, or one that it has heard from within a time before now, has read the registered
// entries.
func (c *Census) IsComplete(now time.Time, within time.Duration) bool {
	if c.listed {
		return true
	}
	for _, m := range c.heard {
		if m.entries > 0 && now.Sub(m.at) < within {
			return true
		}
	}
	return false
}

// Count returns the number of entries that this one, self, or one of those that it has heard from, has noticed within
// a time before now.
func (c *Census) Count(now time.Time, self pkid.EntryID, within time.Duration) int {
	n := c.Noticed(now, self, within)
	for _, m := range c.heard {
		if now.Sub(m.at) < within {
			n = max(n, m.entries)
		}
	}
	return n
}

// Sharing returns the number of entries that share a limit at now, with those noticed within a time before. Entries that
// are noticed no more are counted for as long as the registered ones are not read: nothing shows that they have left.
func (c *Census) Sharing(now time.Time, self pkid.EntryID, within time.Duration) int {
	if !c.listed {
		return c.Count(now, self, endless)
	}
	now = c.knownAt(now)
	c.forget(now, max(within, forgetAfter))
	return c.Count(now, self, within)
}

// forgetAfter is how long entries are kept that are noticed no more.
const forgetAfter = time.Minute

func (c *Census) forget(now time.Time, after time.Duration) {
	maps.DeleteFunc(c.heard, func(_ pkid.EntryID, m message) bool { return now.Sub(m.at) >= after })
	maps.DeleteFunc(c.leftAt, func(_ pkid.EntryID, left time.Time) bool { return !left.IsZero() && now.Sub(left) >= after })
}
