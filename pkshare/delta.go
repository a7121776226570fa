package pkshare

import (
	"cmp"
	"math"
	"slices"

	"peridotknot.example/pkid"
)

// Grain returns by how many tokens times layers the load of a target must change to be told.
type Grain func(pkid.TargetID) float64

// told is what all receivers of one role were told of loads; the zero value is nothing.
//
// A hub of a fleet of hundreds tells a hundred entries three times a second. Told of all loads each
// time, it sent four megabytes a second; most loads change by a request or two, which decides
// nothing. What was told is kept exactly as the receivers have it, so that a receiver which missed
// something can be told all of it anew.
type told struct {
	loads map[pkid.TargetID]Load
}

// update takes what holds now and returns what the receivers must be told of it, in a fixed order.
// A load of no tokens ends one.
func (t *told) update(now []Load, grain Grain) []Load {
	if t.loads == nil {
		t.loads = map[pkid.TargetID]Load{}
	}
	var changed []Load
	seen := make(map[pkid.TargetID]bool, len(now))
	for _, l := range now {
		seen[l.Target] = true
		old := t.loads[l.Target]
		moved := math.Abs(float64(l.Tokens) - float64(old.Tokens))
		if moved > grain(l.Target) || l.Born != old.Born {
			changed = append(changed, l)
		}
	}
	for id, old := range t.loads {
		if !seen[id] {
			changed = append(changed, Load{Target: id, Born: old.Born})
		}
	}
	slices.SortFunc(changed, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	for _, l := range changed {
		if l.Tokens > 0 {
			t.loads[l.Target] = l
		} else {
			delete(t.loads, l.Target)
		}
	}
	return changed
}

// all returns what the receivers have, in a fixed order.
func (t *told) all() []Load {
	out := make([]Load, 0, len(t.loads))
	for _, l := range t.loads {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// merge returns loads with those that changed in their place; both are in order of the targets.
func merge(loads, changed []Load) []Load {
	out := make([]Load, 0, len(loads)+len(changed))
	for len(loads) > 0 || len(changed) > 0 {
		if len(changed) == 0 || (len(loads) > 0 && loads[0].Target < changed[0].Target) {
			out = append(out, loads[0])
			loads = loads[1:]
			continue
		}
		if len(loads) > 0 && loads[0].Target == changed[0].Target {
			loads = loads[1:]
		}
		if changed[0].Tokens > 0 {
			out = append(out, changed[0])
		}
		changed = changed[1:]
	}
	return out
}

// SumFor is a sum for the receivers of one role: by what changed since the last one, and whole for
// a receiver that may lack some of that.
type SumFor struct {
	Changes Sum
	Whole   Sum
}

// Tell returns what the receivers of a role are told of a sum, whose loads count as told from now
// on where they changed by more than the grain.
func (t *Table) Tell(role Role, s Sum, grain Grain) SumFor {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := &t.toldSums[role]
	out := SumFor{Changes: s, Whole: s}
	out.Changes.Partial, out.Changes.Changed, out.Changes.Loads = true, told.update(s.Loads, grain), nil
	out.Whole.Loads = told.all()
	return out
}

// Again returns what the receivers of a role were told last, for one that hears between two sums.
func (t *Table) Again(role Role, s Sum) SumFor {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := SumFor{Changes: s, Whole: s}
	out.Changes.Partial, out.Changes.Changed, out.Changes.Loads = true, nil, nil
	out.Whole.Loads = t.toldSums[role].all()
	return out
}
