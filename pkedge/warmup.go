package pkedge

import (
	"time"

	"peridotknot.example/pkwarmup"
)

// unreported returns the number of other entries whose loads are not known at now while this entry starts.
func (d *Daemon) unreported(now time.Time) float64 {
	uptime := now.Sub(d.started)
	if uptime >= pkwarmup.SilentAfter {
		return 0
	}
	return pkwarmup.Fleet{Entries: d.entryCount(now), Reporting: d.gossip.table.ReportingCount(now), Uptime: uptime}.Unreported()
}
