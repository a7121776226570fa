package pkshare

import (
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// registeredPerDataCenter is the number of entries of a data centre that are registered in the
	// store; hubs are chosen among them. Where more entries exist, each one finds at
	// least hubThreshold others and uses hubs.
	registeredPerDataCenter = hubThreshold + 1
	// registerDelay is how long after its start an entry with a whole processor registers, and
	// maxRegisterDelay bounds the delay of those with a share of one, before their jitter: large
	// VMs come first, and the small ones find them.
	registerDelay    = 250 * time.Millisecond
	maxRegisterDelay = 2 * time.Second
	// unservedDelay is how long an entry that is not needed waits for a hub before it registers,
	// and unservedSpread the time over which such entries spread.
	unservedDelay  = 3 * time.Second
	unservedSpread = 2 * time.Second
	// dismissedDelay is how long a hub must not have appointed an entry before its lease is dropped.
	dismissedDelay = 5 * time.Second
	// StartTimeout is how long a starting entry waits for the members to be read.
	StartTimeout = time.Second
	// hubWait is how long a starting entry that has found hubs waits for them.
	hubWait = 1500 * time.Millisecond
	// settleTime is how long after its registration an entry without hubs waits for others.
	settleTime = 500 * time.Millisecond
)

// Registration decides whether an entry registers in the store with a lease and a key.
//
// Each registered entry costs the store calls for its start, its renewals and its changes, so in a
// fleet of a thousand that starts at once only a few of each data centre register. The others are
// served by these as hubs, and register only where no hub serves them.
type Registration struct {
	Self    Member
	Started time.Time
	// Bootstrap is set if all entries start for the first time, so that the first ones that are known
	// say nothing of the size of the fleet.
	Bootstrap bool
	// Jitter is this entry's place, from 0 to 1, within the times over which entries spread.
	Jitter float64

	unservedSince  time.Time
	dismissedSince time.Time
}

// View is what an entry knows of its data centre and its hubs.
type View struct {
	// MembersRead is set once the members were read.
	MembersRead bool
	// Registered are the other registered entries of the data centre.
	Registered []Member
	// Listed is set if the store has a key of an earlier run of this entry, Holds if it has a lease.
	Listed bool
	Holds  bool
	// Owner is set if this entry owns the pools.
	Owner bool
	// Served is set if a hub serves this entry, Appointed if the hub expects it to be registered.
	Served    bool
	Appointed bool
}

// Wanted reports whether this entry is to be registered at now.
func (r *Registration) Wanted(now time.Time, v View) bool {
	if v.Served {
		r.unservedSince = time.Time{}
	} else if r.unservedSince.IsZero() {
		r.unservedSince = now
	}
	dismissed := sustained(now, &r.dismissedSince, v.Served && !v.Appointed && !v.Owner, dismissedDelay)
	switch {
	case v.Holds:
		return !dismissed
	case v.Served:
		return v.Appointed
	case !v.MembersRead && now.Sub(r.Started) < StartTimeout:
		return false
	case r.needed(v):
		return now.Sub(r.Started) >= r.delay(v)
	default:
		return now.Sub(r.unservedSince) >= unservedDelay+time.Duration(r.Jitter*float64(unservedSpread))
	}
}

// needed reports whether too few entries are registered that are as large as this one.
func (r *Registration) needed(v View) bool {
	n := 0
	for _, m := range v.Registered {
		if m.share() >= r.Self.share() {
			n++
		}
	}
	return n < registeredPerDataCenter
}

// delay returns how long after its start this entry registers if it is needed. One that was
// registered before, or whose processor share is unknown, does not wait.
func (r *Registration) delay(v View) time.Duration {
	if v.Listed || r.Self.ProcessorShare <= 0 {
		return 0
	}
	delay := min(float64(registerDelay)/r.Self.ProcessorShare, float64(maxRegisterDelay))
	return time.Duration((1 + r.Jitter/2) * delay)
}

// StartView is what a starting entry knows of the fleet.
type StartView struct {
	View
	// KnowsOthers is set if any other entry is known.
	KnowsOthers bool
	// UsesHubs is set if the fleet is known to use hubs, HubsSeenAt is since when.
	UsesHubs   bool
	HubsSeenAt time.Time
	// Designated is set if this entry is a hub.
	Designated bool
}

// AwaitsHub reports whether a starting entry waits at now for a hub, which will send it what it
// would otherwise read from the store: a fleet that starts at once would read all lists a thousand
// times.
func (r *Registration) AwaitsHub(now time.Time, v StartView) bool {
	age := now.Sub(r.Started)
	switch {
	case !v.MembersRead:
		return age < StartTimeout
	case v.UsesHubs:
		return !v.Designated && now.Sub(v.HubsSeenAt) < hubWait
	case (v.KnowsOthers && !r.Bootstrap) || v.Listed || r.Self.ProcessorShare <= 0:
		return false
	default:
		return age < r.delay(v.View)+settleTime
	}
}

// firstPreferred returns up to n of the preferred members, in order.
func firstPreferred(members []Member, n int) []Member {
	slices.SortFunc(members, comparePreference)
	return members[:min(n, len(members))]
}

// ContainsEntry reports whether an entry is among members.
func ContainsEntry(members []Member, id pkid.EntryID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}
