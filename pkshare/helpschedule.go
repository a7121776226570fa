package pkshare

import "time"

const (
	// HelpInterval is the interval at which a hub reports helpers to an entry.
	HelpInterval = time.Second
	// minHelpInterval is the interval before the first report that follows a change; it doubles with each.
	minHelpInterval = 50 * time.Millisecond
)

// HelpSchedule decides when a hub reports helpers to one peer. The zero value has reported none.
type HelpSchedule struct {
	reportedAt time.Time
	// interval is the shortest time until the next report after a change.
	interval time.Duration
}

// Reset forgets what was reported: the peer needs no helpers.
func (s *HelpSchedule) Reset() { *s = HelpSchedule{} }

// IsNew reports whether nothing was reported yet.
func (s *HelpSchedule) IsNew() bool { return s.reportedAt.IsZero() }

// Begin records at now a report that does not wait.
func (s *HelpSchedule) Begin(now time.Time) { s.reportedAt, s.interval = now, minHelpInterval }

// Next reports whether another report is to be sent at now, and records it as sent: each HelpInterval if a message is due,
// and sooner after a change, since entries that are cut off together find it one after the other and are reported as in
// order until then.
func (s *HelpSchedule) Next(now, changedAt time.Time, due bool) bool {
	passed, changed := now.Sub(s.reportedAt), changedAt.After(s.reportedAt)
	switch {
	case changed && passed >= s.interval:
		s.reportedAt, s.interval = now, min(2*s.interval, HelpInterval)
	case !changed && due && passed >= HelpInterval:
		s.Begin(now)
	default:
		return false
	}
	return true
}
