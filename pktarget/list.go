package pktarget

import "peridotknot.example/pkid"

// ListedTarget is an entry of the platform's VM list.
type ListedTarget struct {
	Info
	Leaving bool `json:"leaving,omitempty"`
}

// Change summarizes what applying a VM list did to the table.
type Change struct {
	Added   int
	Dropped int
	// Kept counts targets that stay although the list no longer has them, because most of their
	// pool went missing at once and calls to them do not fail.
	Kept int
}

// Apply updates the table from a VM list.
//
// A platform fault can make the list empty or short, and dropping the missing targets would
// refuse every caller although all targets are alive. If more than half of a pool goes missing at
// once, a target is dropped only if it is leaving or calls to it fail as well; the others stay
// until a later list has them or they fail.
func (t *Table) Apply(list []ListedTarget) Change {
	var c Change
	present := make(map[pkid.TargetID]bool, len(list))
	for _, l := range list {
		present[l.ID] = true
		if known, found := t.Find(l.ID); !found || known.Info != l.Info {
			c.Added++
		}
		t.upsert(l.Info).SetLeaving(SourceVMList, l.Leaving)
	}
	all := t.All()
	sizes := map[pkid.PoolID]int{}
	missing := map[pkid.PoolID]int{}
	for _, target := range all {
		sizes[target.Info.Pool]++
		if !present[target.Info.ID] {
			missing[target.Info.Pool]++
		}
	}
	for _, target := range all {
		if present[target.Info.ID] {
			continue
		}
		pool := target.Info.Pool
		suspicious := 2*missing[pool] > sizes[pool]
		if suspicious && !target.Failing() && !target.Leaving() {
			c.Kept++
			continue
		}
		t.remove(target.Info.ID)
		c.Dropped++
	}
	return c
}
