package pkcensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against an entry that starts without the store and shares with nobody, though it gets messages.
func TestEntriesThatAreHeardOfShareWithoutTheStore(t *testing.T) {
	var c Census
	assert.Equal(t, c.Sharing(epoch, "self", time.Second), 1)
	c.Hear(epoch, "a", 5)
	c.Hear(epoch, "b", 2)
	c.Hear(epoch, "self", 2)
	assert.Equal(t, c.Noticed(epoch, "self", time.Second), 3)
	assert.Equal(t, c.Report(epoch, "self", time.Second), 0, "it may have missed any number")
	assert.Assert(t, c.IsComplete(epoch, time.Second))
	assert.Assert(t, !c.IsComplete(epoch.Add(time.Second), time.Second))
	assert.Equal(t, c.Sharing(epoch, "self", time.Second), 5, "one of them has noticed more")
	later := epoch.Add(time.Hour)
	assert.Equal(t, c.Sharing(later, "self", time.Second), 5, "nothing shows which of them have left")
	assert.Equal(t, c.Count(later, "self", time.Second), 1)
	c.BeginList(later)
	c.Register("a")
	assert.Equal(t, c.Sharing(later, "self", time.Second), 2)
}

// Guards against an entry that is left out of the shares of the others when its lease lapses, while it sends messages, or
// within the time for which it counts afterwards.
func TestEntriesThatLeaveAreCountedForATime(t *testing.T) {
	var c Census
	c.BeginList(epoch)
	c.Register("self")
	c.Register("a")
	c.Register("b")
	c.Leave(epoch, "a")
	c.Leave(epoch, "b")
	c.Hear(epoch.Add(5*time.Second), "b", 0)
	for _, row := range []struct {
		after time.Duration
		want  int
	}{{9 * time.Second, 3}, {10 * time.Second, 2}, {14 * time.Second, 2}, {15 * time.Second, 1}} {
		now := epoch.Add(row.after)
		c.Current(now)
		assert.Equal(t, c.Sharing(now, "self", 10*time.Second), row.want, row.after)
	}
	assert.Assert(t, c.WasRegistered(epoch.Add(time.Second), "a", 2*time.Second))
	assert.Assert(t, !c.WasRegistered(epoch.Add(2*time.Second), "a", 2*time.Second))
	assert.Assert(t, !c.WasRegistered(epoch, "c", time.Hour))
}

// Guards against an entry that takes those for gone that it no longer hears of while it does not reach the store.
func TestEntriesAreCountedWhileTheStoreIsAway(t *testing.T) {
	var c Census
	c.BeginList(epoch)
	c.Register("a")
	c.Hear(epoch, "b", 0)
	c.Leave(epoch, "a")
	assert.Equal(t, c.Sharing(epoch.Add(time.Hour), "self", 10*time.Second), 3)
	c.Current(epoch.Add(time.Hour))
	assert.Equal(t, c.Sharing(epoch.Add(time.Hour), "self", 10*time.Second), 1)
}

// Guards against a number of entries that hubs reported and that is lost with them.
func TestTheNumberOfAHubStandsUntilTheNextList(t *testing.T) {
	var c Census
	c.HearHub(200)
	assert.Equal(t, c.Sharing(epoch, "self", time.Second), 200)
	c.BeginList(epoch)
	assert.Equal(t, c.Sharing(epoch, "self", time.Second), 1)
}

// Guards against an entry that uses its share right after it was counted again, when the others have spent it.
func TestStandingIsRegainedAfterAWindow(t *testing.T) {
	const window = 10 * time.Second
	var s Standing
	s.Start(epoch, epoch)
	now := epoch
	run := func(until time.Duration, confirm bool) {
		for ; now.Before(epoch.Add(until)); now = now.Add(100 * time.Millisecond) {
			s.Run(now, now, window)
			if confirm {
				s.Confirm(now, now, window)
			}
		}
	}
	const wait = window + 3*time.Second
	run(5*time.Second, false)
	assert.Equal(t, s.SharesSince(now, window), now.Add(wait))
	run(20*time.Second, true)
	assert.Equal(t, s.SharesSince(now, window), epoch.Add(5*time.Second+wait))
	run(22*time.Second, false)
	assert.Equal(t, s.SharesSince(now, window), epoch.Add(5*time.Second+wait), "the others still count it")
	run(23*time.Second, false)
	assert.Equal(t, s.SharesSince(now, window), now.Add(wait))
	run(40*time.Second, true)
	assert.Equal(t, s.SharesSince(epoch.Add(40*time.Second), window), epoch.Add(23*time.Second+wait))
	assert.Equal(t, s.Started(), epoch)
	s.Replace()
	assert.Equal(t, s.SharesSince(now, window), now.Add(wait), "another process of the entry is counted")
}

// Guards against a process that stood still, or whose VM was suspended, and goes on as if no time had passed.
func TestAStandstillCountsAsAStart(t *testing.T) {
	const window = 10 * time.Second
	for name, row := range map[string]struct {
		now, boot time.Duration
		restarted bool
	}{
		"busy":      {time.Second, time.Second, false},
		"stopped":   {2 * time.Second, 2 * time.Second, true},
		"suspended": {0, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			var s Standing
			s.Start(epoch, epoch)
			s.Run(epoch.Add(row.now), epoch.Add(row.boot), window)
			assert.Equal(t, s.Started() != epoch, row.now > 0 && row.restarted)
		})
	}
	var s Standing
	s.Start(epoch, epoch)
	s.Confirm(epoch, epoch, window)
	s.Run(epoch.Add(time.Second), epoch.Add(time.Minute), window)
	now := epoch.Add(time.Second)
	assert.Equal(t, s.Started(), now, "suspended for a minute")
	assert.Assert(t, s.SharesSince(now, window).After(now.Add(window)))
	assert.Assert(t, (&Standing{}).SharesSince(now, window).IsZero())
}
