package pkedge

import (
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkshare"
)

// broadcast leaves a message for all links where it says something new, and what
// single entries miss beside it. What a hub tells is always new where one is due.
func (d *Daemon) broadcast(now time.Time, m pkshare.Message, due, news bool) {
	s := &d.sharing
	sums := d.sums(now, m, due)
	if news {
		s.table.Told(m)
	}
	ids := map[string]pkid.EntryID{}
	for _, one := range s.table.Members(now) {
		ids[one.Addr] = one.ID
	}
	encoded := map[toldAs][]byte{}
	for addr, l := range s.links {
		connected := l.connected.Swap(false)
		if connected {
			s.table.Reconnected(ids[addr])
		}
		as := toldAs{role: l.role, whole: connected || l.lacks}
		tell := sums.message(m, as)
		helps := d.help(now, &tell, ids[addr], l.role)
		switch {
		case helps:
			l.put(d.encode(tell))
		case news || connected || (due && l.role != pkshare.Peer):
			if encoded[as] == nil {
				encoded[as] = d.encode(tell)
			}
			l.put(encoded[as])
		}
	}
}

// toldAs is a form in which a message is told: for a role, and whole or by what changed.
type toldAs struct {
	role  pkshare.Role
	whole bool
}

// hubSums is what a hub tells in place of its own loads, by role; empty where there are no hubs.
type hubSums map[pkshare.Role]pkshare.SumFor

// loadGrain is the share of a target's memory for requests by which its load must change to be
// told by hubs: a few usual requests, less than what is unknown of their lengths.
const loadGrain = 0.04

// sums returns what hubs tell at now: new sums where one is due, else what was told last.
func (d *Daemon) sums(now time.Time, m pkshare.Message, due bool) hubSums {
	s := &d.sharing
	if !s.withHubs.Load() || !s.tellsSums() {
		return nil
	}
	near, all := s.table.Sums(now, m)
	out := hubSums{}
	for role, sum := range map[pkshare.Role]pkshare.Sum{pkshare.OfHub: all, pkshare.FarHub: near} {
		if due {
			out[role] = s.table.Tell(role, sum, d.grain)
		} else {
			out[role] = s.table.Again(role, sum)
		}
	}
	return out
}

// tellsSums says whether some link leads to an entry that is told a sum.
func (s *sharing) tellsSums() bool {
	for _, l := range s.links {
		if l.role != pkshare.Peer {
			return true
		}
	}
	return false
}

// message returns a message in a form.
func (h hubSums) message(m pkshare.Message, as toldAs) pkshare.Message {
	sum, tells := h[as.role]
	if !tells {
		return m
	}
	m.Loads, m.Flows, m.Sum = nil, nil, &sum.Changes
	if as.whole {
		m.Sum = &sum.Whole
	}
	return m
}

// grain returns by how much a target's load must change to be told by hubs.
func (d *Daemon) grain(id pkid.TargetID) float64 {
	t, found := d.roster.Target(id)
	table := d.book.Table()
	if !found || table == nil {
		return 0
	}
	s, found := table.Service(t.Service)
	if !found || s.Engine == nil {
		return 0
	}
	held := t.Held.Len()
	return max(loadGrain*s.Engine.Room(t.Kind, held)*float64(held), 0)
}

// encode returns a message as it is sent; what cannot be written is not sent.
func (d *Daemon) encode(m pkshare.Message) []byte {
	raw, err := pkpeer.Encode(m)
	if err != nil {
		d.log.Error("a message to peers was not written", "error", err)
		return nil
	}
	return raw
}
