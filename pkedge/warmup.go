package pkedge

import (
	"hash/fnv"
	"math"
	"time"

	"peridotknot.example/pkreplica"
	"peridotknot.example/pkwarmup"
)

// fleet returns what this entry knows of the others at now while it starts.
func (d *Daemon) fleet(now time.Time) pkwarmup.Fleet {
	uptime := now.Sub(d.started)
	if uptime >= pkwarmup.StartTime {
		return pkwarmup.Fleet{Uptime: uptime}
	}
	return pkwarmup.Fleet{Entries: d.entryCount(now), Reporting: d.gossip.table.ReportingCount(now), Uptime: uptime}
}

// placeAt returns the place of this entry at now, from 0 to 1, in the order in which entries take turns at a
// target. It changes whenever the loads are known anew.
func (d *Daemon) placeAt(now time.Time) float64 {
	turn := now.Sub(d.started) / max(d.gossip.reportDelay(), time.Millisecond)
	_, place := math.Modf(d.place + float64(turn)*math.Phi)
	return place
}

// mayStart reports whether an entry that starts may send a request to a target at now that needs some of the
// room, if senders entries send as much as this one does: neither all that it has sent, as often as there are entries
// that have not reported, nor what it has sent of late, as often as there are entries, exceeds the room.
func (q pathQuery) mayStart(now time.Time, t *pkreplica.Target, senders, room, need float64) bool {
	peers, own, recent := t.PeerLoad().Tokens, t.OwnLoad().Tokens, t.RecentMemory(now)
	if !q.withinPart(t, pkwarmup.Part(room, peers, q.fleet.Unreported()), own, need) {
		return false
	}
	return q.withinPart(t, pkwarmup.Part(room, peers+own, max(q.fleet.Spread(), senders)-1), recent, need)
}

// withinPart reports whether a request fits into a part of a target's room of which some is used. Where the part is
// less than one request, entries take turns.
func (q pathQuery) withinPart(t *pkreplica.Target, part, used, need float64) bool {
	return used+need <= part || (used < need/2 && pkwarmup.MayStart(part, need, q.placeOn(t)))
}

// placeOn returns the place of this entry among those that may send to a target.
func (q pathQuery) placeOn(t *pkreplica.Target) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.ID)) // never fails
	_, place := math.Modf(q.place + float64(h.Sum32())/math.MaxUint32)
	return place
}
