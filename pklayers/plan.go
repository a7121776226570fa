package pklayers

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// fastWithin says how much slower than the fastest accelerators others may be
	// to share a row with them: a token passes a row as fast as the sum of its
	// parts, so one slow part takes away what the fast ones bring.
	fastWithin = 4
	// rowMemory is the memory of a row against that of the layers alone. What is
	// beyond the layers holds requests: at 1.3 a row keeps 71,000 tokens, three
	// seconds of a third of the usual load.
	rowMemory = 1.3
	// crossShare is the share of a pool's requests that pipes between data centres must
	// be able to carry for rows that span them.
	crossShare = 0.5
	// fillShare is the share of its memory that an engine which joins later gives
	// to layers: what rowMemory leaves in rows of mixed accelerators.
	fillShare = 0.7
	// coldShare is the share of engines that hold layers below which a pool is
	// taken as new and is planned as a whole.
	coldShare = 0.25
	// weakShare is the share of the mean room below which a layer is widened by
	// engines that hold its neighbors.
	weakShare = 0.5
	// moveShare is the share of the mean room below which an engine is moved to the
	// layers with the least. The pool takes no more than these do: after five of 39
	// engines had left, it refused a quarter of all requests while the mean engine
	// stood half empty.
	moveShare = 0.7
	// steadyTime is how long none must have come or gone before engines are moved:
	// one that crashed is back within five seconds, and moving others meanwhile cost
	// more than it brought.
	steadyTime = 5 * time.Second
	// urgentShare is the share of the mean room below which a layer does not wait for
	// that: two engines that left at one moment took two of three copies of some layers
	// with them, and the pool refused a third of all requests for ten seconds.
	urgentShare = 0.5
	// urgentTime is how long none must have come or gone even then, so that those that
	// leave together are seen together.
	urgentTime = time.Second
	// moveGain is by how much a move must raise the least room to be worth a load.
	moveGain = 1.08
	// wholeShare is the share of the mean room that each layer of a whole pool has: one
	// of four rows may be without an engine.
	wholeShare = 0.75
	// leastRoom is how many tokens an engine that takes more layers must keep for
	// requests: fifty of usual size.
	leastRoom = 45_000
)

// Card is one engine as the plan sees it.
type Card struct {
	ID         pkid.TargetID
	DataCenter pkid.DataCenter
	Kind       pkid.Kind
	// Held is what it holds, or was ordered to hold and is loading.
	Held pkid.Range
	// Fresh says that it came so lately that what it replaces may not have left yet.
	Fresh bool
}

// Plan returns the layers that engines should hold where that differs from what
// they hold. Engines that are leaving must not be among the cards.
//
// A pool that holds next to nothing is laid out as a whole, in rows that each run
// every layer. Later plans move nothing that is right: they give empty engines
// the layers with the least room, widen engines only beside layers that have lost
// half of the usual room, since each load takes an engine's time for seconds. A pool
// that has been quiet, in which none came or went for some time, moves one engine at a
// time where that raises the least room.
func Plan(m *Model, cards []Card, quiet time.Duration) map[pkid.TargetID]pkid.Range {
	live := slices.Clone(cards)
	live = slices.DeleteFunc(live, func(c Card) bool { return m.Most(c.Kind) == 0 })
	slices.SortFunc(live, func(a, b Card) int { return cmp.Compare(a.ID, b.ID) })
	if len(live) == 0 || m.Layers == 0 {
		return nil
	}
	held := 0
	for i := range live {
		if live[i].Held.Len() > 0 {
			held++
		}
	}
	if float64(held) < coldShare*float64(len(live)) {
		return layOut(m, live)
	}
	out := fillEmpty(m, live)
	widen(m, live, out)
	if len(out) == 0 {
		rebalance(m, live, out, quiet)
	}
	return out
}

// layOut plans a new pool: rows of the fastest engines, then rows inside each
// data centre, then rows of what is left; engines that fit no row join the
// layers with the least room.
func layOut(m *Model, live []Card) map[pkid.TargetID]pkid.Range {
	out := map[pkid.TargetID]pkid.Range{}
	fast, slow := split(m, live)
	if !mayCross(m, live) || takeRows(m, fast, out) != nil {
		slow = live
	}
	for _, group := range byDataCenter(slow) {
		takeRows(m, group, out)
	}
	rest := takeRows(m, keepLeft(live, out), out)
	if len(out) == 0 {
		return out
	}
	for i := range live {
		live[i].Held = out[live[i].ID]
	}
	if len(rest) > 0 {
		for id, r := range fillEmpty(m, live) {
			out[id] = r
		}
	}
	return out
}

// mayCross says whether the pipes between data centres carry enough of what the pool
// can hold for rows that span them. A row of the fastest engines turns over faster than
// others, so it takes about half of all requests, and each crosses once or twice.
func mayCross(m *Model, live []Card) bool {
	memory, centers := 0.0, map[pkid.DataCenter]bool{}
	slowest := time.Duration(0)
	for _, c := range live {
		memory += m.Kinds[c.Kind].MemoryMB
		centers[c.DataCenter] = true
		slowest = max(slowest, m.StepTime(c.Kind, m.Layers))
	}
	pairs := len(centers) * (len(centers) - 1) / 2
	transfer := m.TransferTime(1)
	if pairs == 0 || transfer == 0 {
		return true
	}
	const bytesPerMB = 1e6
	held := memory * (1 - 1/rowMemory) * bytesPerMB / m.TokenBytes
	turnover := float64(slowest) * float64(m.AnswerTokens)
	return float64(pairs)/float64(transfer) >= crossShare*held/turnover
}

func keepLeft(cards []Card, placed map[pkid.TargetID]pkid.Range) []Card {
	return slices.DeleteFunc(slices.Clone(cards), func(c Card) bool { return placed[c.ID].Len() > 0 })
}

func split(m *Model, cards []Card) (fast, slow []Card) {
	least := 0.0
	for i := range cards {
		if f := m.Kinds[cards[i].Kind].StepFactor; least == 0 || f < least {
			least = f
		}
	}
	for i := range cards {
		if m.Kinds[cards[i].Kind].StepFactor <= fastWithin*least {
			fast = append(fast, cards[i])
		} else {
			slow = append(slow, cards[i])
		}
	}
	return fast, slow
}

func byDataCenter(cards []Card) [][]Card {
	var out [][]Card
	at := map[pkid.DataCenter]int{}
	for _, c := range cards {
		i, found := at[c.DataCenter]
		if !found {
			i = len(out)
			at[c.DataCenter] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], c)
	}
	return out
}

// takeRows lays as many rows over a group as its memory allows and returns the
// group if it allows none.
func takeRows(m *Model, group []Card, out map[pkid.TargetID]pkid.Range) []Card {
	memory := 0.0
	for i := range group {
		memory += m.Kinds[group[i].Kind].MemoryMB
	}
	n := int(memory / (rowMemory * m.LayerMB * float64(m.Layers)))
	if n == 0 {
		return group
	}
	rows := deal(m, group, n)
	for _, row := range rows {
		layRow(m, row, out)
	}
	return nil
}

// deal shares engines out over n rows of like memory, the fastest to the first. A token
// passes a row as fast as the sum of its parts, and holds memory for as long: a row of
// fast engines serves three times the requests of a slow one, and rows with one fast
// engine each little more than slow ones.
func deal(m *Model, group []Card, n int) [][]Card {
	sorted := slices.Clone(group)
	slices.SortStableFunc(sorted, func(a, b Card) int {
		x, y := m.Kinds[a.Kind], m.Kinds[b.Kind]
		return cmp.Or(cmp.Compare(x.StepFactor, y.StepFactor), cmp.Compare(y.MemoryMB, x.MemoryMB))
	})
	left := 0.0
	for _, c := range sorted {
		left += m.Kinds[c.Kind].MemoryMB
	}
	rows := make([][]Card, n)
	at, memory := 0, 0.0
	for _, c := range sorted {
		mb := m.Kinds[c.Kind].MemoryMB
		if at < n-1 && memory+mb/2 > left/float64(n-at) {
			left -= memory
			at, memory = at+1, 0
		}
		rows[at] = append(rows[at], c)
		memory += mb
	}
	return rows
}

// layRow gives each engine of a row layers by its memory, so that all of them run
// out of room for requests at the same count of tokens.
func layRow(m *Model, row []Card, out map[pkid.TargetID]pkid.Range) {
	slices.SortStableFunc(row, func(a, b Card) int {
		return cmp.Or(cmp.Compare(a.DataCenter, b.DataCenter), cmp.Compare(m.Kinds[a.Kind].StepFactor, m.Kinds[b.Kind].StepFactor))
	})
	left := 0.0
	for _, c := range row {
		left += m.Kinds[c.Kind].MemoryMB
	}
	first := 0
	for i, c := range row {
		mb := m.Kinds[c.Kind].MemoryMB
		n := int(float64(m.Layers-first)*mb/left + 0.5)
		if i == len(row)-1 {
			n = m.Layers - first
		}
		n = min(max(n, 1), m.Most(c.Kind), m.Layers-first)
		if n <= 0 {
			return
		}
		out[c.ID] = pkid.Range{First: pkid.Layer(first), End: pkid.Layer(first + n)}
		first += n
		left -= mb
	}
}

// fillEmpty gives each empty engine the layers that have the least room.
func fillEmpty(m *Model, live []Card) map[pkid.TargetID]pkid.Range {
	out := map[pkid.TargetID]pkid.Range{}
	for i := range live {
		if live[i].Held.Len() > 0 || (live[i].Fresh && whole(m, live)) {
			continue
		}
		n := min(max(int(fillShare*m.Kinds[live[i].Kind].MemoryMB/m.LayerMB+0.5), 1), m.Most(live[i].Kind))
		r := weakest(m, live, live[i].DataCenter, m.Kinds[live[i].Kind].StepFactor, n)
		live[i].Held = r
		out[live[i].ID] = r
	}
	return out
}

// whole says whether no layer has much less room than the others.
func whole(m *Model, live []Card) bool {
	room := roomByLayer(m, live, "", 0)
	return slices.Min(room) >= wholeShare*mean(room)
}

// weakest returns the n layers in a row that have the least room for an engine, where
// room in its data centre counts double, which saves a crossing, and so does room of
// engines as fast as it: a fast engine that comes after another was lost would else
// stand beside the slow ones with the least room, and the row of fast engines would keep
// its hole for good. With that, and with engines that wait for what they replace, days
// with trouble are worth 0.70 against 0.66 (20 days).
func weakest(m *Model, live []Card, dc pkid.DataCenter, speed float64, n int) pkid.Range {
	room := roomByLayer(m, live, dc, speed)
	need := make([]float64, m.Layers)
	for l := range need {
		need[l] = 1 / (room[l] + 1)
	}
	sum := 0.0
	for l := range n {
		sum += need[l]
	}
	best, first := sum, 0
	for l := n; l < m.Layers; l++ {
		sum += need[l] - need[l-n]
		if sum > best*(1+1e-9) {
			best, first = sum, l-n+1
		}
	}
	return pkid.Range{First: pkid.Layer(first), End: pkid.Layer(first + n)}
}

// roomByLayer returns the room for tokens of each layer as an engine of a data centre
// and a speed sees it; without these, all engines count alike.
func roomByLayer(m *Model, live []Card, dc pkid.DataCenter, speed float64) []float64 {
	const atHome, alike = 2, 2
	room := make([]float64, m.Layers)
	for i := range live {
		c := &live[i]
		tokens := max(m.Room(c.Kind, c.Held.Len()), 0)
		if c.DataCenter == dc {
			tokens *= atHome
		}
		if f := m.Kinds[c.Kind].StepFactor; speed > 0 && f <= fastWithin*speed && speed <= fastWithin*f {
			tokens *= alike
		}
		for l := c.Held.First; l < c.Held.End && int(l) < m.Layers; l++ {
			room[l] += tokens
		}
	}
	return room
}

// widen lets the engines beside a weak run of layers take a part of it each, if
// they keep room for requests.
func widen(m *Model, live []Card, out map[pkid.TargetID]pkid.Range) {
	room := roomByLayer(m, live, "", 0)
	weak := weakShare * mean(room)
	for first := 0; first < len(room); {
		if room[first] >= weak {
			first++
			continue
		}
		end := first
		for end < len(room) && room[end] < weak {
			end++
		}
		cover(m, live, out, pkid.Range{First: pkid.Layer(first), End: pkid.Layer(end)})
		first = end
	}
}

// cover widens the engine below and the engine above a run so that they meet; an
// engine that cannot take its half leaves more to the other.
func cover(m *Model, live []Card, out map[pkid.TargetID]pkid.Range, run pkid.Range) {
	below, spareBelow := roomiest(m, live, out, func(c Card) bool { return c.Held.End == run.First })
	above, spareAbove := roomiest(m, live, out, func(c Card) bool { return c.Held.First == run.End })
	if spareBelow+spareAbove < run.Len() {
		return
	}
	fromBelow := min(max(run.Len()-spareAbove, run.Len()/2), spareBelow)
	if fromBelow > 0 {
		r := live[below].Held
		r.End += pkid.Layer(fromBelow)
		live[below].Held, out[live[below].ID] = r, r
	}
	if fromAbove := run.Len() - fromBelow; fromAbove > 0 {
		r := live[above].Held
		r.First -= pkid.Layer(fromAbove)
		live[above].Held, out[live[above].ID] = r, r
	}
}

// roomiest returns the engine among those that fit which can take the most layers.
func roomiest(m *Model, live []Card, out map[pkid.TargetID]pkid.Range, fits func(Card) bool) (index, spare int) {
	for i, c := range live {
		if _, changed := out[c.ID]; changed || c.Held.Len() == 0 || !fits(c) {
			continue
		}
		n := 0
		for c.Held.Len()+n+1 <= m.Most(c.Kind) && m.Room(c.Kind, c.Held.Len()+n+1) >= leastRoom {
			n++
		}
		if n > spare {
			index, spare = i, n
		}
	}
	return index, spare
}

// rebalance moves the engine whose layers can best do without it to the layers with
// the least room, if none has come or gone for long enough.
func rebalance(m *Model, live []Card, out map[pkid.TargetID]pkid.Range, quiet time.Duration) {
	room := roomByLayer(m, live, "", 0)
	least := slices.Min(room)
	usual := mean(room)
	urgent := least < urgentShare*usual && quiet >= urgentTime
	if least >= moveShare*usual || (quiet < steadyTime && !urgent) {
		return
	}
	best, donor := least*moveGain, -1
	var to pkid.Range
	for i := range live {
		held := live[i].Held
		live[i].Held = pkid.Range{}
		r := weakest(m, live, "", 0, held.Len())
		live[i].Held = r
		if after := slices.Min(roomByLayer(m, live, "", 0)); after > best {
			best, donor, to = after, i, r
		}
		live[i].Held = held
	}
	if donor >= 0 {
		live[donor].Held, out[live[donor].ID] = to, to
	}
}

func mean(room []float64) float64 {
	sum := 0.0
	for _, tokens := range room {
		sum += tokens
	}
	return sum / float64(len(room))
}
