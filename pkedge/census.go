package pkedge

import (
	"time"

	"peridotknot.example/pkcensus"
	"peridotknot.example/pkid"
	"peridotknot.example/pkrate"
	"peridotknot.example/pkretry"
	"peridotknot.example/pkshare"
	"peridotknot.example/pktimer"
)

// entryCount returns the number of daemons that may serve requests at now.
func (d *Daemon) entryCount(now time.Time) int {
	return d.countEntriesBy(now, func(c *pkcensus.Census) int { return c.Count(now, d.settings.Entry, pkshare.EntryRetention) })
}

// sharingCount returns the number of daemons that share a limit of the whole fleet at now, with those that have left
// within a time before.
func (d *Daemon) sharingCount(now time.Time, within time.Duration) int {
	return d.countEntriesBy(now, func(c *pkcensus.Census) int { return c.Sharing(now, d.settings.Entry, within) })
}

// noticedEntries returns the number of daemons that this one tells others at now, without what they tell.
func (d *Daemon) noticedEntries(now time.Time) int {
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.census.Report(now, d.settings.Entry, pkshare.EntryRetention), m.savedEntries())
}

// count returns the number of daemons that the one with the given ID has noticed itself by now.
func (m *members) count(now time.Time, self pkid.EntryID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.census.Noticed(now, self, pkshare.EntryRetention), m.savedEntries())
}

// countEntriesBy returns the number of daemons that a hub reports at now, or else the larger of the saved number and
// that of the census. A count that is too high only makes each share smaller and so keeps the limit.
func (d *Daemon) countEntriesBy(now time.Time, count func(*pkcensus.Census) int) int {
	reported := d.gossip.table.HubMemberCount(now)
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if reported > 0 {
		m.census.HearHub(reported)
		return reported
	}
	return max(count(&m.census), m.savedEntries())
}

// savedEntries returns the number of entries that hubs have saved; the caller holds mu.
func (m *members) savedEntries() int {
	saved := 0
	for _, one := range m.sizes {
		saved += one.entries
	}
	return saved
}

// share returns this entry's part at now in what all entries share.
func (d *Daemon) share(now time.Time) pkrate.Share {
	return pkrate.Share{Entries: d.sharingCount(now, pkshare.EntryRetention), Place: d.place}
}

// turns returns this entry's part at now in the turns that all entries take.
func (d *Daemon) turns(now time.Time) pkrate.Share {
	share := d.share(now)
	var named []pkid.EntryID
	for _, one := range d.members.list() {
		named = append(named, one.ID)
	}
	share.Place = pkcensus.Place(d.settings.Entry, named, share.Entries, d.place)
	return share
}

// retryWindow returns the window of the retry budgets.
func (d *Daemon) retryWindow() time.Duration { return seconds(d.retry.Load().WindowS) }

// retryLimits returns the limits of the retry budgets at now.
func (d *Daemon) retryLimits(now time.Time) pkretry.Limits {
	settings := d.retry.Load()
	window := seconds(settings.WindowS)
	share := pkrate.Share{Entries: d.sharingCount(now, pkcensus.Retention(window)), Place: d.place}
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	m.standing.Run(now, pktimer.BootClock(), window)
	return pkretry.Limits{
		Ratio: settings.Ratio, Slack: settings.Slack, Window: window, Share: share,
		Started: m.standing.Started(), SharesSince: m.standing.SharesSince(now, window),
	}
}

// updateStanding records at now that this daemon runs, and whether all others are certain to count it: a hub does so for
// them, or all that this one counts exchange messages with it.
func (d *Daemon) updateStanding(now time.Time) {
	window := d.retryWindow()
	served := d.gossip.table.ServedByHub(now)
	seesAll := d.gossip.table.LivePeerCount(now)+1 >= d.sharingCount(now, pkcensus.Retention(window))
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	m.standing.Run(now, pktimer.BootClock(), window)
	if served {
		m.census.Current(now)
	}
	if m.ownKey.IsReplaced() {
		return
	}
	if served || (seesAll && m.census.IsComplete(now, pkcensus.Retention(window))) {
		m.standing.Confirm(now, now, window)
	}
}

// confirmRegistered records at now that this daemon is registered until a time, unless another process of this entry is: all
// others see it in the store, or are told by one that does.
func (d *Daemon) confirmRegistered(now, until time.Time) {
	window := d.retryWindow()
	m := &d.members
	m.mu.Lock()
	defer m.mu.Unlock()
	m.standing.Run(now, pktimer.BootClock(), window)
	if !m.ownKey.IsReplaced() {
		m.standing.Confirm(now, until, window)
	}
	m.census.Current(now)
}
