package pkcensus

import "time"

const (
	// stallShare is the share of a window that a process may stand still before it counts as restarted: requests that
	// have waited in its sockets meanwhile arrive in one window.
	stallShare = 1.0 / 8
	// minStall is how long it may stand still in any window, since a busy VM takes as long to run it again.
	minStall = time.Second
)

// graceOf returns for how long after an entry was last noticed it may use its share of a limit over a window.
func graceOf(window time.Duration) time.Duration { return 3 * window / 10 }

// Standing is since when a process has run without standing still, and since when the other entries have counted it. The
// zero value has done so for long. It must not be used concurrently.
type Standing struct {
	// started is when the process started, or went on after it stood still; zero if that is not bounded.
	started time.Time
	// ranAt and bootAt are when the process was last seen to run, on its own clock and on one that includes suspends.
	ranAt, bootAt time.Time
	// countedUntil is until when the others are certain to notice this entry, countedSince since when they count it
	// without a gap.
	countedUntil, countedSince time.Time
}

// Start records that the process starts at now; boot is the time of a clock that advances while the VM is suspended.
func (s *Standing) Start(now, boot time.Time) {
	*s = Standing{started: now, ranAt: now, bootAt: boot}
}

// Run records that the process runs at now. It must be called several times a second, and before any decision.
func (s *Standing) Run(now, boot time.Time, window time.Duration) {
	if s.started.IsZero() {
		return
	}
	stood := max(now.Sub(s.ranAt), boot.Sub(s.bootAt))
	if stood > max(time.Duration(stallShare*float64(window)), minStall) {
		s.started = now
	}
	if stood >= window {
		s.countedUntil = time.Time{} // the process's own clock may have stopped meanwhile
	}
	if now.After(s.ranAt) {
		s.ranAt = now
	}
	if boot.After(s.bootAt) {
		s.bootAt = boot
	}
}

// Confirm records at now that all other entries notice this one until a time, and count it for the retention of the
// window after that.
func (s *Standing) Confirm(now, until time.Time, window time.Duration) {
	if !s.isCounted(now, window) {
		s.countedSince = now
	}
	if until.After(s.countedUntil) {
		s.countedUntil = until
	}
}

// Replace records that the others count another process of this entry in place of this one.
func (s *Standing) Replace() { s.countedUntil = time.Time{} }

func (s *Standing) isCounted(now time.Time, window time.Duration) bool {
	return !s.countedUntil.IsZero() && now.Sub(s.countedUntil) < graceOf(window)
}

// Started returns when the process started, or went on after it stood still; zero if that is not bounded.
func (s *Standing) Started() time.Time { return s.started }

// SharesSince returns from when on this entry may use its share at now: not before a window and the grace of others have
// passed since the others count it without a gap. It is zero if that is not bounded.
func (s *Standing) SharesSince(now time.Time, window time.Duration) time.Time {
	since := s.countedSince
	switch {
	case s.started.IsZero():
		return time.Time{}
	case !s.isCounted(now, window):
		since = now
	}
	return since.Add(window + graceOf(window))
}
