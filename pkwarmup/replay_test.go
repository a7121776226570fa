package pkwarmup

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// step is the time between two decisions of an entry in a replay.
	step = time.Millisecond
	// reportInterval and reportDelay are those of loads that pass through hubs.
	reportInterval = 150 * time.Millisecond
	reportDelay    = 450 * time.Millisecond
	// arrivalTime is the time within which the streams of a replay arrive.
	arrivalTime = 2 * time.Second
)

// entry is an entry of a replay.
type entry struct {
	// startsAt is when it starts, since the begin of the replay; negative if it already runs and has the
	// reports of the others.
	startsAt time.Duration
	down     bool
	place    float64
	// arrivals are the times at which its streams arrive; due counts those that have.
	arrivals []time.Duration
	due      int
	// used is the number of its requests at the target.
	used int
	// sent is what used was at each report.
	sent []int
}

// replay is a start of entries that all send their streams to one target.
type replay struct {
	// room is the number of requests that the target has room for.
	room    float64
	entries []*entry
	// mute is set if no loads are ever reported.
	mute bool
}

// outcome is the result of a replay.
type outcome struct {
	// mostBlind is the largest number of requests at the target that were started by entries without
	// reports, mostAtBlind the largest number of all requests at the target when one of them was.
	mostBlind   int
	mostAtBlind int
	// started is the number of requests after each step.
	started []int
}

// usedAfter returns when the target first has at least this many requests, or the end of the replay.
func (o outcome) usedAfter(requests int) time.Duration {
	for i, n := range o.started {
		if n >= requests {
			return time.Duration(i) * step
		}
	}
	return time.Duration(len(o.started)) * step
}

// at returns the number of requests at a time.
func (o outcome) at(t time.Duration) int { return o.started[t/step] }

// newFleet returns entries that start within spread of one another, in random order of their places,
// with one in ten receiving ten times as many streams as the others.
func newFleet(r *rand.Rand, n, streams int, spread time.Duration) []*entry {
	weights, total := make([]float64, n), 0.0
	for i := range weights {
		weights[i] = 1
		if i%10 == 0 {
			weights[i] = 10
		}
		total += weights[i]
	}
	places := r.Perm(n)
	out := make([]*entry, n)
	for i := range out {
		out[i] = &entry{startsAt: time.Duration(r.Float64() * float64(spread)), place: (float64(places[i]) + 0.5) / float64(n)}
	}
	for k := range streams {
		at := r.Float64() * total
		i := 0
		for ; i < n-1 && at >= weights[i]; i++ {
			at -= weights[i]
		}
		out[i].arrivals = append(out[i].arrivals, time.Duration(k)*arrivalTime/time.Duration(streams))
	}
	return out
}

// known returns the load that entry i knows at a time of the others, and of how many of them.
func (p *replay) known(now time.Duration, i int) (reported, reporting int) {
	if p.mute || now < p.entries[i].startsAt+reportDelay {
		return 0, 0
	}
	round := max(int((now-reportDelay)/reportInterval), 0)
	for k, other := range p.entries {
		if k == i || other.down || other.startsAt > time.Duration(round)*reportInterval {
			continue
		}
		reported += other.sent[round]
		reporting++
	}
	return reported, reporting
}

// run replays the start until end.
func (p *replay) run(end time.Duration) outcome {
	var out outcome
	total, blind := 0, 0
	for _, e := range p.entries {
		total += e.used
	}
	for now := time.Duration(0); now < end; now += step {
		if now%reportInterval == 0 {
			for _, e := range p.entries {
				e.sent = append(e.sent, e.used)
			}
		}
		for i, e := range p.entries {
			if e.down || now < e.startsAt {
				continue
			}
			for e.due < len(e.arrivals) && e.arrivals[e.due] <= now {
				e.due++
			}
			if e.due == 0 {
				continue
			}
			reported, reporting := p.known(now, i)
			unreported := Fleet{Entries: len(p.entries), Reporting: reporting, Uptime: now - e.startsAt}.Unreported()
			n := e.start(Part(p.room, float64(reported), unreported))
			total += n
			if reporting == 0 && n > 0 {
				blind += n
				out.mostBlind, out.mostAtBlind = max(out.mostBlind, blind), max(out.mostAtBlind, total)
			}
		}
		out.started = append(out.started, total)
	}
	return out
}

// start starts as many of the waiting requests as a part of the room allows, and returns their number.
func (e *entry) start(part float64) int {
	n := 0
	for ; e.due > 0 && len(e.arrivals) > 0; n++ {
		if float64(e.used+1) > part && (e.used > 0 || !MayStart(part, 1, e.place)) {
			break
		}
		e.used++
		e.due--
		e.arrivals = e.arrivals[1:]
	}
	return n
}

// room is the number of requests that the target of the replays has room for.
const room = 108

// allStart returns a replay in which 69 entries start within 0.4 s and 1,574 streams arrive.
func allStart(seed uint64, room float64) replay {
	return replay{room: room, entries: newFleet(rand.New(rand.NewPCG(seed, 1)), 69, 1574, 400*time.Millisecond)}
}

// Guards against entries that all start at once and each take a target for empty: together they would send
// it many times what it has room for. Once reports come, the room must be used.
func TestStartOfAllEntriesKeepsToTheRoom(t *testing.T) {
	for seed := range uint64(5) {
		p := allStart(seed, room)
		out := p.run(2 * time.Second)
		t.Logf("seed %d: %d without reports, room used after %v", seed, out.mostBlind, out.usedAfter(room))
		assert.Assert(t, out.mostBlind <= room, "seed %d: %d", seed, out.mostBlind)
		assert.Assert(t, out.at(reportDelay) >= 50, "seed %d: %d", seed, out.at(reportDelay))
		assert.Assert(t, out.usedAfter(room) <= 2*reportDelay, "seed %d: %v", seed, out.usedAfter(room))
	}
}

// Guards against targets with room for fewer requests than there are entries: all entries together must
// neither send one each, nor none since the part of each is below one.
func TestStartOfMoreEntriesThanRoom(t *testing.T) {
	for _, small := range []float64{1, 30, 68} {
		for seed := range uint64(5) {
			p := allStart(seed, small)
			out := p.run(2 * time.Second)
			assert.Assert(t, out.mostBlind <= int(small), "room %g, seed %d: %d", small, seed, out.mostBlind)
			assert.Assert(t, out.at(reportDelay+400*time.Millisecond) >= int(small), "room %g, seed %d: %d", small, seed, out.at(reportDelay))
		}
	}
}

// Guards against an entry that starts beside running ones, takes their targets for empty and fills them
// beyond their room, and against one that leaves room unused once it has reports.
func TestStartOfOneEntryBesideRunningOnes(t *testing.T) {
	for _, perEntry := range []int{0, 1} {
		p := replay{room: room, entries: newFleet(rand.New(rand.NewPCG(1, 1)), 69, 0, 0)}
		running := 0
		for i, e := range p.entries[1:] {
			e.startsAt, e.used = -time.Minute, perEntry
			if perEntry > 0 && i < 35 {
				e.used++
			}
			running += e.used
		}
		for k := range 228 {
			p.entries[0].arrivals = append(p.entries[0].arrivals, time.Duration(k)*arrivalTime/228)
		}
		out := p.run(arrivalTime)
		assert.Assert(t, out.mostAtBlind <= room, "%d run: %d", running, out.mostAtBlind)
		assert.Equal(t, out.mostBlind, 1, "%d run", running)
		assert.Equal(t, out.at(arrivalTime-step), room, "%d run", running)
		if running > 0 {
			assert.Assert(t, out.usedAfter(room) <= reportDelay+step, "%v", out.usedAfter(room))
		}
	}
}

// Guards against entries that leave room unused for others which did not come back from a power cut.
func TestStartOfSomeEntries(t *testing.T) {
	for seed := range uint64(5) {
		p := allStart(seed, room)
		for i, e := range p.entries {
			e.down = i >= 20
		}
		out := p.run(2 * time.Second)
		t.Logf("seed %d: %d without reports, %d at 1 s, room used after %v", seed, out.mostBlind, out.at(time.Second), out.usedAfter(room))
		assert.Assert(t, out.mostBlind <= room, "seed %d: %d", seed, out.mostBlind)
		assert.Assert(t, out.usedAfter(room) <= SilentAfter, "seed %d: %v", seed, out.usedAfter(room))
	}
}

// Guards against targets that are sent more than they have room for while nobody reports, since the hub that
// collects the reports is gone, and against entries that wait for reports for longer than SilentAfter. From then
// on nothing here keeps them to the room: they count as alone.
func TestStartWithoutReports(t *testing.T) {
	for seed := range uint64(5) {
		p := allStart(seed, room)
		p.mute = true
		first := p.entries[0].startsAt
		for _, e := range p.entries {
			first = min(first, e.startsAt)
		}
		out := p.run(2 * time.Second)
		before := out.at(first + SilentAfter - step)
		t.Logf("seed %d: %d before silence has lasted, room used after %v, %d at 2 s", seed, before, out.usedAfter(room), out.at(2*time.Second-step))
		assert.Assert(t, before <= room, "seed %d: %d", seed, before)
		assert.Assert(t, out.usedAfter(room) >= SilentAfter && out.usedAfter(room) <= SilentAfter+400*time.Millisecond, "seed %d: %v", seed, out.usedAfter(room))
	}
}
