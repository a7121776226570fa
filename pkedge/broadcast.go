package pkedge

import (
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpack"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
)

// broadcast enqueues a message at all peer links if it has changed, or if a message between hubs is
// due. State that a receiver lacks is added to its message.
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
	candidates := d.candidates(now)
	impaired, impairedAt := s.table.ImpairedPeers(now), s.table.ImpairedAt()
	encoded := map[messageForm]outgoing{}
	for addr, l := range s.peerLinks {
		newConn := l.newConn.Swap(false)
		if newConn {
			s.table.Reconnected(ids[addr])
		}
		form := messageForm{role: l.role, full: newConn || l.incomplete, catchUp: d.catchUpFor(now, &m, ids[addr], l.role)}
		form.candidates = l.candidatesDue(due, form.full, candidates)
		form.helpSample = l.nextHelpSample(now, impairedAt, due, form.full, impaired[ids[addr]])
		sumDue := due && l.role != pkshare.Peer
		if !changed && !newConn && !sumDue && !form.isUrgent() {
			continue
		}
		if _, found := encoded[form]; !found {
			encoded[form] = d.encodeForm(now, sums.message(m, form), form, candidates)
		}
		l.enqueue(encoded[form])
		if form.candidates {
			l.candidates = candidates
		}
	}
}

// encodeForm returns an encoded message with what its form needs.
func (d *Daemon) encodeForm(now time.Time, m pkshare.Message, form messageForm, candidates []pkshare.Member) outgoing {
	if form.candidates {
		m.Candidates = candidates
	}
	if form.helpSample > 0 {
		m.Help = d.gossip.table.Help(now, m, form.role)
	}
	d.fillCatchUp(now, &m, form.catchUp, form.role)
	return outgoing{raw: d.encode(m), catchUp: form.isCatchUp()}
}

// candidates returns the entries of this data centre that are to be registered, if this entry is a
// hub.
func (d *Daemon) candidates(now time.Time) []pkshare.Member {
	if !d.gossip.sendsSums() {
		return nil
	}
	return d.gossip.table.Candidates(now, d.selfAt(now), d.members.list())
}

// messageForm selects the variant of a message for a peer link: by the peer's role, with full sums
// or only their changes, with or without candidates and helpers, and with what the peer lacks, which is the same for
// entries that start together.
type messageForm struct {
	role       pkshare.Role
	full       bool
	candidates bool
	// helpSample is which sample of the helpers the message reports; none if zero.
	helpSample int
	catchUp    pkshare.CatchUp
}

func (f messageForm) isCatchUp() bool { return f.catchUp != pkshare.CatchUp{} }

// isUrgent reports whether the message is sent even if none is due.
func (f messageForm) isUrgent() bool { return f.helpSample > 0 || f.isCatchUp() }

// addConfig adds a configuration to a message. Hubs send it compressed, since each change goes to a
// hundred entries; entries of earlier releases follow it themselves.
func (d *Daemon) addConfig(m *pkshare.Message, item pkstore.Item, role pkshare.Role) {
	s := &d.gossip
	if role == pkshare.Peer {
		m.NewConfig = &item
		return
	}
	if s.packed.Revision != item.Revision {
		packed, err := pkpack.Pack(item.Value)
		if err != nil {
			d.log.Error("configuration was not compressed", "revision", item.Revision.String(), "error", err)
			return
		}
		s.packed = pkstore.Item{Key: item.Key, Value: packed, Revision: item.Revision}
	}
	one := s.packed
	m.PackedConfig = &one
}

// hubSums are the sums of loads, by role, that are sent in place of an entry's own loads; empty
// without hubs.
type hubSums map[pkshare.Role]pkshare.SumUpdate

// loadThresholdShare is the share of a target's KV-cache capacity by which its load must change to
// be sent by hubs. That is a few typical requests, and less than the uncertainty of their lengths.
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
	m.Loads, m.Flows, m.Demands, m.Sum = nil, nil, nil, &sum.Delta
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
