package pkqueue

import (
	"slices"
	"time"
)

// timeline is a heap of entries by a time, the earliest first and those of the same time by ticket.
//
// Entries that have left the queue stay until they are the first or too many: taking one out of the
// middle would touch the memory of an entry on each level, which took most of the time of a decision
// with 10,000 waiting.
type timeline[T any] struct {
	// inTime is set if only requests that are in time belong here.
	inTime bool
	events []event[T]
}

type event[T any] struct {
	at     time.Duration
	ticket Ticket
	entry  *entry[T]
}

func (e *event[T]) before(other *event[T]) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.ticket < other.ticket
}

func (l *timeline[T]) holds(e *entry[T]) bool {
	return e.flow != nil && (!l.inTime || e.flow.class.phase() == phaseInTime)
}

// first returns the first entry that belongs here and its time, or nil.
func (l *timeline[T]) first() (time.Duration, *entry[T]) {
	for len(l.events) > 0 {
		if first := &l.events[0]; l.holds(first.entry) {
			return first.at, first.entry
		}
		end := len(l.events) - 1
		l.events[0] = l.events[end]
		l.events[end] = event[T]{}
		l.events = l.events[:end]
		if end > 0 {
			l.down(0)
		}
	}
	return 0, nil
}

// insert adds an entry; waiting is the number of entries in the queue.
func (l *timeline[T]) insert(at time.Duration, e *entry[T], waiting int) {
	const slack = 64
	if len(l.events) >= 2*waiting+slack {
		l.events = slices.DeleteFunc(l.events, func(ev event[T]) bool { return !l.holds(ev.entry) })
		for i := len(l.events)/2 - 1; i >= 0; i-- {
			l.down(i)
		}
	}
	l.events = append(l.events, event[T]{at: at, ticket: e.Ticket, entry: e})
	i := len(l.events) - 1
	ev := l.events[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !ev.before(&l.events[parent]) {
			break
		}
		l.events[i] = l.events[parent]
		i = parent
	}
	l.events[i] = ev
}

func (l *timeline[T]) down(i int) {
	ev := l.events[i]
	for {
		child := 2*i + 1
		if child >= len(l.events) {
			break
		}
		if right := child + 1; right < len(l.events) && l.events[right].before(&l.events[child]) {
			child = right
		}
		if !l.events[child].before(&ev) {
			break
		}
		l.events[i] = l.events[child]
		i = child
	}
	l.events[i] = ev
}
