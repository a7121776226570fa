package pkedge

import (
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkshare"
)

// broadcast enqueues a message at all peer links if it has changed, or if a message between hubs is
// due. State that a single receiver lacks is added to its message.
func (d *Daemon) broadcast(now time.Time, m pkshare.Message, due, changed bool) {
	s := &d.gossip
	sums := d.sums(now, m, due)
	if changed {
		s.table.RecordSent(m)
	}
	ids := map[string]pkid.EntryID{}
	for _, one := range s.table.Members(now) {
		ids[one.Addr] = one.ID
	}
	encoded := map[messageForm][]byte{}
	for addr, l := range s.peerLinks {
		newConn := l.newConn.Swap(false)
		if newConn {
			s.table.Reconnected(ids[addr])
		}
		form := messageForm{role: l.role, full: newConn || l.incomplete}
		out := sums.message(m, form)
		extended := d.addCatchUp(now, &out, ids[addr], l.role)
		switch {
		case extended:
			l.enqueue(d.encode(out))
		case changed || newConn || (due && l.role != pkshare.Peer):
			if encoded[form] == nil {
				encoded[form] = d.encode(out)
			}
			l.enqueue(encoded[form])
		}
	}
}

// messageForm selects the variant of a message for a peer link: by the peer's role, and with full
// sums or only their changes.
type messageForm struct {
	role pkshare.Role
	full bool
}

// hubSums are the sums of loads, by role, that are sent in place of an entry's own loads; empty
// without hubs.
type hubSums map[pkshare.Role]pkshare.SumUpdate

// loadThresholdShare is the share of a target's KV-cache capacity by which its load must change to
// be sent by hubs.
const loadThresholdShare = 0.04

// sums returns the sums to send at now: new ones if they are due, or else the previous ones.
func (d *Daemon) sums(now time.Time, m pkshare.Message, due bool) hubSums {
	s := &d.gossip
	if !s.withHubs.Load() || !s.sendsSums() {
		return nil
	}
	local, global := s.table.Sums(now, m)
	out := hubSums{}
	for role, sum := range map[pkshare.Role]pkshare.Sum{pkshare.Spoke: global, pkshare.RemoteHub: local} {
		if due {
			out[role] = s.table.NextUpdate(role, sum, d.loadThreshold)
		} else {
			out[role] = s.table.RepeatUpdate(role, sum)
		}
	}
	return out
}

// sendsSums reports whether there is a peer link with a role that receives sums.
func (s *gossip) sendsSums() bool {
	for _, l := range s.peerLinks {
		if l.role != pkshare.Peer {
			return true
		}
	}
	return false
}

// message returns a message in the given form.
func (h hubSums) message(m pkshare.Message, form messageForm) pkshare.Message {
	sum, found := h[form.role]
	if !found {
		return m
	}
	m.Loads, m.Flows, m.Sum = nil, nil, &sum.Delta
	if form.full {
		m.Sum = &sum.Full
	}
	return m
}

// loadThreshold returns the change of a target's load from which on hubs send it.
func (d *Daemon) loadThreshold(id pkid.TargetID) float64 {
	t, found := d.roster.Target(id)
	table := d.configs.Table()
	if !found || table == nil {
		return 0
	}
	s, found := table.Service(t.Service)
	if !found || s.Engine == nil {
		return 0
	}
	held := t.Held.Len()
	return max(loadThresholdShare*s.Engine.KVCapacity(t.Kind, held)*float64(held), 0)
}

// encode returns an encoded message, or nil if that fails.
func (d *Daemon) encode(m pkshare.Message) []byte {
	raw, err := pkpeer.Encode(m)
	if err != nil {
		d.log.Error("message to peers was not encoded", "error", err)
		return nil
	}
	return raw
}
