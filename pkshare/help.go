package pkshare

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// helpTTL is how long a report of helpers counts.
	helpTTL = 2500 * time.Millisecond
	// maxHelpers is the largest number of helpers in a message. Receivers know those of the messages before as well.
	maxHelpers = 6
	// scarceShare is the share of its entries in order below which a data centre needs the help of others.
	scarceShare = 0.5
)

// Helper is an entry that accepts relayed requests, as another entry knows it.
type Helper struct {
	ID         pkid.EntryID    `cbor:"1,keyasint"`
	Addr       string          `cbor:"2,keyasint"`
	DataCenter pkid.DataCenter `cbor:"3,keyasint,omitempty"`
	// Impaired are the services whose targets the helper cannot reach, or not reliably.
	Impaired []pkid.ServiceID `cbor:"4,keyasint,omitempty"`
}

// Help is what a hub reports for entries whose links to the targets are impaired. Entries of a large fleet hear from
// their hubs only, which may be impaired as well.
type Help struct {
	// Wanted is set if too few entries of the sender's data centre are in order for the others.
	Wanted bool `cbor:"1,keyasint,omitempty"`
	// Helpers are some of the entries in order.
	Helpers []Helper `cbor:"2,keyasint,omitempty"`
}

// RelayMember is an entry to which requests may be passed on.
type RelayMember struct {
	ID   pkid.EntryID
	Addr string
	// Near is set if it is in the data centre of this entry, or stands in for those that are impaired there.
	Near bool
	// Confirmed is set if it, or a hub, has reported that it is in order.
	Confirmed bool
}

// reportedHelper is a helper as a hub reported it at a time.
type reportedHelper struct {
	Helper
	at time.Time
}

// counts reports whether the report still counts at now.
func (h reportedHelper) counts(now time.Time) bool { return now.Sub(h.at) < helpTTL }

// applyHelp records at now what a peer, a hub, reports of helpers.
func (t *Table) applyHelp(now time.Time, from *peer, help *Help) {
	if help == nil {
		return
	}
	if help.Wanted {
		from.wantedHelpAt = now
	}
	t.helpReportedAt = now
	for id, one := range t.helpers {
		if !one.counts(now) {
			delete(t.helpers, id)
		}
	}
	if t.helpers == nil {
		t.helpers = map[pkid.EntryID]reportedHelper{}
	}
	for _, one := range help.Helpers {
		t.helpers[one.ID] = reportedHelper{Helper: one, at: now}
	}
}

// HelpReported reports whether a hub has reported, within a short time before now and after a given time, who helps entries
// whose links are impaired.
func (t *Table) HelpReported(now, after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.helpReportedAt) < helpTTL && t.helpReportedAt.After(after)
}

// ImpairedAt returns when another entry last became impaired; zero if none has.
func (t *Table) ImpairedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.impairedAt
}

// HelperCount returns the number of helpers that hubs have reported shortly before now.
func (t *Table) HelperCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, one := range t.helpers {
		if one.counts(now) {
			n++
		}
	}
	return n
}

// WantsHelp reports whether a message shows that its sender, or its data centre, needs help at now, which the messages
// before did not show.
func (t *Table) WantsHelp(now time.Time, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.From]
	if p == nil || p.run != m.Run {
		p = &peer{}
	}
	return (len(m.Impaired) > 0 && len(p.impaired) == 0) || (m.Help != nil && m.Help.Wanted && !p.wantsHelp(now))
}

// wantsHelp reports whether the peer has said shortly before now that its data centre needs help.
func (p *peer) wantsHelp(now time.Time) bool { return now.Sub(p.wantedHelpAt) < helpTTL }

// ImpairedPeers returns the live entries at now with impaired links to the targets of any service.
func (t *Table) ImpairedPeers(now time.Time) map[pkid.EntryID]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[pkid.EntryID]bool{}
	if !t.anyImpaired {
		return out
	}
	for id, p := range t.peers {
		if now.Sub(p.lastReceivedAt) < staleAfter && len(p.impaired) > 0 {
			out[id] = true
		}
	}
	return out
}

// Help returns what this entry, a hub, reports of helpers at now to a peer with a role; own is its own state. It is nil
// if there is nothing to report.
func (t *Table) Help(now time.Time, own Message, role Role) *Help {
	t.mu.Lock()
	defer t.mu.Unlock()
	local, scarce := t.localHelpers(now, own)
	switch role {
	case Spoke:
		if scarce {
			local = append(local, t.remoteHelpers(now, own.DataCenter)...)
		}
		return &Help{Helpers: sampleHelpers(local)}
	case RemoteHub:
		wanted := t.isAskedForHelp(now)
		if !scarce && !wanted {
			return nil
		}
		out := &Help{Wanted: scarce}
		if wanted {
			out.Helpers = sampleHelpers(local)
		}
		return out
	default:
		return nil
	}
}

// localHelpers returns the entries of this one's data centre that accept relayed requests at now, and whether too few
// entries there are in order.
func (t *Table) localHelpers(now time.Time, own Message) (helpers []Helper, scarce bool) {
	inOrder, all := 0, 0
	add := func(one Helper, relays bool) {
		all++
		if len(one.Impaired) == 0 {
			inOrder++
		}
		if relays && one.Addr != "" {
			helpers = append(helpers, one)
		}
	}
	add(Helper{ID: own.From, Addr: own.Addr, DataCenter: own.DataCenter, Impaired: own.Impaired}, own.Relays)
	for id, p := range t.peers {
		if p.dataCenter == own.DataCenter && now.Sub(p.lastReceivedAt) < staleAfter {
			add(p.helper(id), p.relays)
		}
	}
	return helpers, float64(inOrder) < scarceShare*float64(all)
}

// remoteHelpers returns the entries of other data centres than dc that are known at now to accept relayed requests.
func (t *Table) remoteHelpers(now time.Time, dc pkid.DataCenter) []Helper {
	var out []Helper
	for id, one := range t.helpers {
		if one.DataCenter != dc && one.counts(now) && !t.hears(now, id) {
			out = append(out, one.Helper)
		}
	}
	for id, p := range t.peers {
		if p.dataCenter != dc && p.relays && p.addr != "" && now.Sub(p.lastReceivedAt) < staleAfter {
			out = append(out, p.helper(id))
		}
	}
	return out
}

// isAskedForHelp reports whether the hub of another data centre asks for helpers at now.
func (t *Table) isAskedForHelp(now time.Time) bool {
	for _, p := range t.peers {
		if p.wantsHelp(now) {
			return true
		}
	}
	return false
}

func (p *peer) helper(id pkid.EntryID) Helper {
	return Helper{ID: id, Addr: p.addr, DataCenter: p.dataCenter, Impaired: p.impaired}
}

// sampleHelpers returns some of the helpers, those in order first. Which ones is left to chance, so that their work is
// spread over all by several messages.
func sampleHelpers(all []Helper) []Helper {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b Helper) int { return cmp.Compare(len(a.Impaired), len(b.Impaired)) })
	return all[:min(len(all), maxHelpers)]
}

// RelayMembers returns the entries that accept relayed requests at now and are not known to have impaired links to the
// targets of a service: the live ones, those that a hub reports, and members of which nothing is known.
func (t *Table) RelayMembers(now time.Time, self Member, s pkid.ServiceID, members []Member) []RelayMember {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []RelayMember
	near, nearInOrder := 0, 0
	for id, p := range t.peers {
		if now.Sub(p.lastReceivedAt) >= staleAfter {
			continue
		}
		inOrder, isNear := !slices.Contains(p.impaired, s), p.dataCenter == self.DataCenter
		if isNear {
			near++
		}
		if isNear && inOrder {
			nearInOrder++
		}
		if inOrder && p.relays && p.addr != "" {
			out = append(out, RelayMember{ID: id, Addr: p.addr, Near: isNear, Confirmed: true})
		}
	}
	// This entry is one of the impaired ones.
	scarce := float64(nearInOrder) < scarceShare*float64(near+1)
	for i := range out {
		out[i].Near = out[i].Near || scarce
	}
	return append(append(out, t.reportedMembers(now, s)...), t.silentMembers(now, self, members)...)
}

// reportedMembers returns the helpers for a service of which this entry hears from hubs only.
func (t *Table) reportedMembers(now time.Time, s pkid.ServiceID) []RelayMember {
	var out []RelayMember
	for id, one := range t.helpers {
		if one.counts(now) && !t.hears(now, id) && !slices.Contains(one.Impaired, s) {
			out = append(out, RelayMember{ID: id, Addr: one.Addr, Near: true, Confirmed: true})
		}
	}
	return out
}

// silentMembers returns the members that send this entry nothing and that no hub reports.
func (t *Table) silentMembers(now time.Time, self Member, members []Member) []RelayMember {
	var out []RelayMember
	for _, m := range members {
		p, reported := t.peers[m.ID], t.helpers[m.ID]
		silent := p == nil || now.Sub(p.lastReceivedAt) >= EntryRetention
		if m.Relays && m.Addr != "" && silent && !reported.counts(now) {
			out = append(out, RelayMember{ID: m.ID, Addr: m.Addr, Near: m.DataCenter == self.DataCenter})
		}
	}
	return out
}
