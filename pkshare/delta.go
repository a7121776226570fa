package pkshare

import (
	"cmp"
	"math"
	"slices"

	"peridotknot.example/pkid"
)

// Threshold returns the change in a target's load above which it is sent, in tokens times layers.
type Threshold func(pkid.TargetID) float64

// sentLoads are the loads last sent to the receivers of one role; the zero value is empty.
//
// A hub sends to a hundred entries several times a second, so small changes are not sent. The loads
// are kept exactly as the receivers have them, and can be sent in full to one that missed an
// update.
type sentLoads struct {
	loads map[pkid.TargetID]Load
}

// update returns the loads that changed by more than the threshold, in order of target, and records
// them as sent. A load of zero tokens removes one.
func (s *sentLoads) update(current []Load, threshold Threshold) []Load {
	if s.loads == nil {
		s.loads = map[pkid.TargetID]Load{}
	}
	var changed []Load
	seen := make(map[pkid.TargetID]bool, len(current))
	for _, l := range current {
		seen[l.Target] = true
		old := s.loads[l.Target]
		change := math.Abs(float64(l.Tokens) - float64(old.Tokens))
		if change > threshold(l.Target) || l.Born != old.Born {
			changed = append(changed, l)
		}
	}
	for id, old := range s.loads {
		if !seen[id] {
			changed = append(changed, Load{Target: id, Born: old.Born})
		}
	}
	slices.SortFunc(changed, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	for _, l := range changed {
		if l.Tokens > 0 {
			s.loads[l.Target] = l
		} else {
			delete(s.loads, l.Target)
		}
	}
	return changed
}

// all returns the loads that the receivers have, in order of target.
func (s *sentLoads) all() []Load {
	out := make([]Load, 0, len(s.loads))
	for _, l := range s.loads {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// merge returns loads with the changed ones replaced; both are in order of target.
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

// SumUpdate is an update of a sum for the receivers of one role: the changes since the last update,
// and the whole sum for a receiver that may have missed one.
type SumUpdate struct {
	Delta Sum
	Full  Sum
}

// NextUpdate returns the next update of a sum for the receivers of a role. Loads that changed by
// more than the threshold count as sent.
func (t *Table) NextUpdate(role Role, s Sum, threshold Threshold) SumUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := &t.sentSums[role]
	out := SumUpdate{Delta: s, Full: s}
	out.Delta.Partial, out.Delta.Changed, out.Delta.Loads = true, sent.update(s.Loads, threshold), nil
	out.Full.Loads = sent.all()
	return out
}

// RepeatUpdate returns an update without further changes, for messages between two sums.
func (t *Table) RepeatUpdate(role Role, s Sum) SumUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := SumUpdate{Delta: s, Full: s}
	out.Delta.Partial, out.Delta.Changed, out.Delta.Loads = true, nil, nil
	out.Full.Loads = t.sentSums[role].all()
	return out
}
