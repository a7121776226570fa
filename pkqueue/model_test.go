package pkqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

// modelItem is a waiting request of the model.
type modelItem struct {
	Waiting[int]
	tag float64
}

// model is a queue as a plain list that is sorted for each decision.
type model struct {
	bound    int
	items    []modelItem
	admitted map[pkid.AccountID][]admission
	notAged  int
}

type admission struct {
	at   time.Time
	cost float64
}

func (m *model) usage(now time.Time, id pkid.AccountID) float64 {
	sum := 0.0
	for _, a := range m.admitted[id] {
		sum += a.cost * math.Exp(-float64(now.Sub(a.at))/float64(usageDecay))
	}
	return sum
}

func expired(now time.Time, it Item) bool { return !it.Latest.IsZero() && now.After(it.Latest) }

// classOf returns what requests are compared by before their accounts, and the time they are
// compared by last.
func classOf(now time.Time, it Item) ([4]int, time.Time) {
	switch {
	case expired(now, it) && !it.Started:
		return [4]int{3}, it.Arrived
	case it.Started:
		return [4]int{0, it.Priority, it.Rank}, it.Arrived
	case now.Before(it.Objective):
		return [4]int{1, it.Priority, it.Rank}, it.Objective
	}
	return [4]int{2, it.Priority, it.Rank}, it.Arrived
}

func compareClass(now time.Time, a, b Item) int {
	x, _ := classOf(now, a)
	y, _ := classOf(now, b)
	return slices.Compare(x[:], y[:])
}

func compareKey(now time.Time, a, b modelItem) int {
	_, x := classOf(now, a.Item)
	_, y := classOf(now, b.Item)
	return cmp.Or(x.Compare(y), cmp.Compare(a.Ticket, b.Ticket))
}

// order sorts the requests and computes their tags.
func (m *model) order(now time.Time) []modelItem {
	all := slices.Clone(m.items)
	slices.SortFunc(all, func(a, b modelItem) int {
		return cmp.Or(compareClass(now, a.Item, b.Item), compareKey(now, a, b))
	})
	type flowID struct {
		class   [4]int
		account pkid.AccountID
	}
	tags := map[flowID]float64{}
	for i, w := range all {
		class, _ := classOf(now, w.Item)
		id := flowID{class, w.Item.Account}
		if _, ok := tags[id]; !ok {
			tags[id] = m.usage(now, w.Item.Account)
		}
		all[i].tag = tags[id]
		tags[id] += max(w.Item.Tokens, minCost)
	}
	slices.SortFunc(all, func(a, b modelItem) int {
		return cmp.Or(compareClass(now, a.Item, b.Item), cmp.Compare(a.tag, b.tag), compareKey(now, a, b))
	})
	return all
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*(1+math.Abs(a)) }

// same reports whether got may stand in the place of want: tags that differ by rounding only have
// no order, unless both are exactly zero.
func same(now time.Time, all []modelItem, got Waiting[int], want modelItem) bool {
	if got.Ticket == want.Ticket {
		return true
	}
	i := slices.IndexFunc(all, func(w modelItem) bool { return w.Ticket == got.Ticket })
	return i >= 0 && compareClass(now, got.Item, want.Item) == 0 &&
		near(all[i].tag, want.tag) && (all[i].tag != 0 || want.tag != 0)
}

func (m *model) take(ticket Ticket) (Item, bool) {
	for i, w := range m.items {
		if w.Ticket == ticket {
			m.items = slices.Delete(m.items, i, i+1)
			return w.Item, true
		}
	}
	return Item{}, false
}

// oldest returns the request that has waited longest of those that are not past Latest.
func (m *model) oldest(now time.Time) (Ticket, bool) {
	var found *modelItem
	for i := range m.items {
		w := &m.items[i]
		if expired(now, w.Item) {
			continue
		}
		if found == nil || cmp.Or(w.Item.Arrived.Compare(found.Item.Arrived), cmp.Compare(w.Ticket, found.Ticket)) < 0 {
			found = w
		}
	}
	if found == nil {
		return 0, false
	}
	return found.Ticket, true
}
