package pktarget

import "peridotknot.example/pkid"

// Listed is one VM of the platform's list.
type Listed struct {
	Info
	Leaving bool `json:"leaving,omitempty"`
}

// Change is what applying a VM list did.
type Change struct {
	Added   int
	Dropped int
	// Kept counts targets that the list no longer has and that stay, because
	// too many of their pool went at once and nothing else speaks against
	// them.
	Kept int
}

// Apply takes over a VM list.
//
// A platform fault can make the list empty or short, and dropping what is
// missing would refuse every caller although all targets are alive. If more
// than half of a pool goes missing at once, a target goes only if calls to it
// fail too; the others stay until a later list has them or they fail.
func (t *Table) Apply(list []Listed) Change {
	var c Change
	present := make(map[pkid.TargetID]bool, len(list))
	for _, l := range list {
		present[l.ID] = true
		if old, found := t.Find(l.ID); !found || old.Info != l.Info {
			c.Added++
		}
		t.put(l.Info).Leave(WitnessList, l.Leaving)
	}
	all := t.All()
	sizes := map[pkid.PoolID]int{}
	missing := map[pkid.PoolID]int{}
	for _, one := range all {
		sizes[one.Info.Pool]++
		if !present[one.Info.ID] {
			missing[one.Info.Pool]++
		}
	}
	for _, one := range all {
		if present[one.Info.ID] {
			continue
		}
		pool := one.Info.Pool
		suspicious := 2*missing[pool] > sizes[pool]
		if suspicious && !one.Silent() && !one.Leaving() {
			c.Kept++
			continue
		}
		t.drop(one.Info.ID)
		c.Dropped++
	}
	return c
}
