package pkretry

import (
	"time"

	"peridotknot.example/pkid"
)

// stalledShare is the share of a window for which a target may be silent to a new process before it counts as standing
// still.
const stalledShare = 0.2

// inherited is what a new process finds out about sends of an earlier process of its entry: targets that stand still since
// before the start may have received some that have yet to arrive there. It is of interest for pendingWindows after the
// start.
type inherited struct {
	// answered are the targets that have answered this process, awaited since when the others have been silent to it.
	answered map[pkid.TargetID]bool
	awaited  map[pkid.TargetID]time.Time
	// arrivedAt is when a target that stood still last went on.
	arrivedAt time.Time
	// ended is set once nothing more can arrive.
	ended bool
}

// Await records that a target has been sent something at now, or is silent to others: it stands still if it answers
// nothing for long.
func (b *Budget) Await(now time.Time, target pkid.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := &b.inherited
	if _, found := one.awaited[target]; found || one.ended || one.answered[target] {
		return
	}
	if one.awaited == nil {
		one.awaited = map[pkid.TargetID]time.Time{}
	}
	one.awaited[target] = now
}

// StopAwaiting records that something other than their standing still explains why targets have not answered, such as a
// connection that was reset or a link that is cut. Without targets it is so for all.
func (b *Budget) StopAwaiting(targets ...pkid.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(targets) == 0 {
		clear(b.inherited.awaited)
	}
	for _, t := range targets {
		delete(b.inherited.awaited, t)
	}
}

// confirm records that a target has answered at now.
func (i *inherited) confirm(now time.Time, window time.Duration, target pkid.TargetID) {
	if i.ended {
		return
	}
	if since, found := i.awaited[target]; found && isStalled(now, since, window) {
		i.arrivedAt = now
	}
	if i.answered == nil {
		i.answered = map[pkid.TargetID]bool{}
	}
	i.answered[target] = true
	delete(i.awaited, target)
}

// drop records that a target has ended.
func (i *inherited) drop(target pkid.TargetID) { delete(i.awaited, target) }

// expire forgets all targets once nothing more can arrive.
func (i *inherited) expire(now time.Time, l Limits) {
	if !i.ended && (l.Started.IsZero() || now.Sub(l.Started) >= pendingWindows*l.Window) {
		*i = inherited{arrivedAt: i.arrivedAt, ended: true}
	}
}

// mayArrive reports whether sends of an earlier process may arrive at now, or have in the window before.
func (i *inherited) mayArrive(now time.Time, l Limits) bool {
	if now.Sub(i.arrivedAt) < l.Window+l.Window/bucketCount {
		return true
	}
	if i.ended || l.Started.IsZero() || now.Sub(l.Started) >= pendingWindows*l.Window {
		return false
	}
	for _, since := range i.awaited {
		if isStalled(now, since, l.Window) {
			return true
		}
	}
	return false
}

func isStalled(now, since time.Time, window time.Duration) bool {
	return now.Sub(since) >= time.Duration(stalledShare*float64(window))
}
