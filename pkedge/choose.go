package pkedge

import (
	"cmp"
	"slices"
	"time"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
)

const (
	// fullShare is the share of an engine's memory for requests that is given
	// away. Engines put off the newest request when memory runs out, and answers
	// are longer than expected as often as shorter.
	fullShare = 0.9
	// hurryTokens is over how many tokens the wait for the first one counts where a caller
	// waits in the middle of an answer: a pause of 100 ms weighs as much as 10 ms a token.
	hurryTokens = 10.0
	// unseenPrompts is how many prompts a second of other entries pass through a pipe that are not
	// known of yet. A token waits for each, and with hubs the word of them is three times as old.
	// Without this charge streams of many entries left data centres that had room at the same
	// moment, and paused in the pipes.
	unseenPrompts = 1.1
	// hopCost is what one more engine on a path costs a token.
	hopCost = 100 * time.Microsecond
	// pauseDefault is the longest pause between events where callers have not said which they accept.
	pauseDefault = 200 * time.Millisecond
)

// choosePath returns the cheapest path with room for a request of some tokens that
// was sent so often before.
func (d *Daemon) choosePath(now time.Time, s *pkconfig.Service, tokens float64, sends int) (route, bool) {
	return d.find(now, s, d.wishOf(s, tokens, sends))
}

// wishOf returns what a whole path is wanted for, of a request that was sent so often before.
func (d *Daemon) wishOf(s *pkconfig.Service, tokens float64, sends int) wish {
	w := wish{span: s.Engine.All(), tokens: tokens, from: d.settings.DataCenter, share: fullShare, most: mostCost(pauseDefault, s.Engine)}
	if sends > 0 {
		w.share, w.most, w.hurry = 1, 0, true
	}
	return w
}

// mostCost returns the most that a token of a new request may cost, whose caller accepts a pause
// between events: beyond it the answer is late as far as is known, and what it takes of full pipes
// and engines makes others late too. The caller is told when to come back instead.
func mostCost(pause time.Duration, m *pklayers.Model) time.Duration {
	return pause / time.Duration(max(m.EventTokens, 1))
}

// wish is what a path is wanted for.
type wish struct {
	span   pkid.Range
	tokens float64
	// from is the data centre that the path is reached from, by an entry or, within a
	// path, by the engine before.
	from   pkid.DataCenter
	within bool
	// without are targets that it must not use.
	without []pkid.TargetID
	// share is how much of an engine's memory may be given away. Requests that
	// were taken before may have all of it.
	share float64
	// most bounds the cost of the path, where it is set.
	most time.Duration
	// hurry says that a caller waits for the next event: how soon all tokens are read counts
	// for more than what each token takes afterwards.
	hurry bool
	// lastResort says that the request is refused otherwise: engines that are passed over for a
	// failure that may not come again are taken too.
	lastResort bool
}

// passes says whether a path may lead over a target at now.
func (w wish) passes(now time.Time, t *pkreplica.Target) bool {
	if slices.Contains(w.without, t.ID) {
		return false
	}
	return !t.Avoided(now) || (w.lastResort && !t.Hopeless(now))
}

// find returns the cheapest path that grants a wish.
func (d *Daemon) find(now time.Time, s *pkconfig.Service, w wish) (route, bool) {
	m := s.Engine
	live := d.engines(now, s.ID, m)
	entries := d.entries(now)
	engines := make([]pklayers.Engine, 0, len(live))
	for _, t := range live {
		cost, ok := layerCost(now, m, t, w, entries, d.crowding)
		if !ok || !w.passes(now, t) {
			continue
		}
		if w.hurry {
			cost += time.Duration(float64(m.ReadTime(t.Kind, 1, w.tokens)) / hurryTokens)
		}
		cost = time.Duration(float64(cost) * float64(d.paces.Factor(now, t.ID, t.Born)))
		engines = append(engines, pklayers.Engine{
			ID: t.ID, DataCenter: t.DataCenter, Kind: t.Kind, Held: t.Held, Cost: cost,
			Enter: enter(t.Held.Len(), cost) + time.Duration(float64(t.Backlog(now, entries))/w.waitOver(m)),
		})
	}
	costs := d.costs(now, m, w)
	p, found := pklayers.Find(w.span, engines, costs, w.from)
	if !found {
		return route{}, false
	}
	out := route{cost: p.Cost}
	for _, part := range p.Parts {
		at, _ := slices.BinarySearchFunc(live, part.ID, func(t *pkreplica.Target, id pkid.TargetID) int { return cmp.Compare(t.ID, id) })
		out.add(live[at], part)
	}
	return out, true
}

// engines returns the live engines of a pool at now; one that is listed with layers that the
// model does not have is none.
func (d *Daemon) engines(now time.Time, s pkid.ServiceID, m *pklayers.Model) []*pkreplica.Target {
	return slices.DeleteFunc(d.roster.Live(now, s), func(t *pkreplica.Target) bool { return !m.Has(t.Held) })
}

// costs returns what it takes to pass between engines at now.
func (d *Daemon) costs(now time.Time, m *pklayers.Model, w wish) pklayers.Costs {
	entries := d.entries(now)
	known := map[[2]pkid.DataCenter]time.Duration{}
	out := pklayers.Costs{Hop: hopCost, Most: w.most, Reach: m.Delay, Crossing: func(a, b pkid.DataCenter) time.Duration {
		pair := [2]pkid.DataCenter{a, b}
		cost, found := known[pair]
		if !found {
			own := d.pipes.Own(now, a, b)
			cost = m.Delay(a, b) + m.PipeCost(own+d.sharing.table.Flow(now, entries, a, b, own))
			unseen := unseenPrompts * d.sharing.toldAfter().Seconds()
			cost += time.Duration(unseen * float64(m.TransferTime(float64(m.PromptTokens))))
			first := m.TransferTime(w.tokens) + d.pipes.Backlog(now, a, b)*time.Duration(entries)
			cost += time.Duration(float64(first) / w.waitOver(m))
			known[pair] = cost
		}
		return cost
	}}
	if w.within {
		out.Reach = nil // the path's engines are reached from one before them
	}
	return out
}

// waitOver returns over how many tokens the wait for the first one counts.
func (w wish) waitOver(m *pklayers.Model) float64 {
	if w.hurry {
		return hurryTokens
	}
	return max(float64(m.AnswerTokens), 1)
}

// enter returns how long a token waits for an engine to take it up: an engine runs
// what has come in passes over its layers, and a token comes in the middle of one.
// Without this, paths changed engines for the sake of one or two layers; each such
// change cost an answer 3 ms an event.
func enter(held int, layer time.Duration) time.Duration {
	return time.Duration(held) * layer / 2
}

// layerCost returns the time that a layer takes at an engine for a token, longer
// the fuller its memory is, and whether it has room for a request.
func layerCost(now time.Time, m *pklayers.Model, t *pkreplica.Target, w wish, entries int, crowding pklayers.Crowding) (time.Duration, bool) {
	held := t.Held.Len()
	if held == 0 {
		return 0, false
	}
	room := m.Room(t.Kind, held) * float64(held)
	used := t.Likely(now, entries) + w.tokens*float64(held)
	full := used / room
	if room <= 0 || full > w.share {
		return 0, false
	}
	return time.Duration(float64(m.StepTime(t.Kind, 1)) * crowding(full)), true
}
