package pkedge

import (
	"hash/fnv"
	"math"
	"time"

	"peridotknot.example/pkreplica"
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

// placeAt returns the place of this entry at now, from 0 to 1, in the order in which entries take turns at a
// target. It changes whenever the loads are known anew.
func (d *Daemon) placeAt(now time.Time) float64 {
	turn := now.Sub(d.started) / max(d.gossip.reportDelay(), time.Millisecond)
	_, place := math.Modf(d.place + float64(turn)*math.Phi)
	return place
}

// mayStart reports whether an entry that starts may send a request to a target at now that needs some of the
// room, if senders entries send as much as this one does.
func (q pathQuery) mayStart(now time.Time, t *pkreplica.Target, senders, room, need float64) bool {
	recent := t.RecentMemory(now)
	settled := t.OwnLoad().Tokens - recent
	part := pkwarmup.Part(room, t.PeerLoad().Tokens+settled, max(q.unreported, senders-1))
	if recent > 0 {
		return recent+need <= part
	}
	return pkwarmup.MayStart(part, need, q.placeOn(t))
}

// placeOn returns the place of this entry among those that may send to a target.
func (q pathQuery) placeOn(t *pkreplica.Target) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.ID)) // never fails
	_, place := math.Modf(q.place + float64(h.Sum32())/math.MaxUint32)
	return place
}
