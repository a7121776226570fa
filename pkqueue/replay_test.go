package pkqueue

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotknot.example/pkid"
)

// caller is a request of a replayed load and what became of it.
type caller struct {
	at        time.Duration
	priority  int
	account   pkid.AccountID
	tokens    float64
	duration  time.Duration
	objective time.Duration
	patience  time.Duration // after which it disconnects
	impatient bool          // disconnects after half of its objective
	retries   bool          // sends again at once when refused
	fails     bool          // an engine refuses it when it is first admitted

	sent     time.Duration // its last attempt
	ticket   Ticket        // zero if it does not wait
	wait     time.Duration
	started  bool
	left     bool
	outdated bool
	refused  int
}

const (
	replayTick     = 10 * time.Millisecond // of the dispatcher
	replayDeadline = 20 * time.Second
	refusalTime    = 50 * time.Millisecond // until an engine that lacks memory answers
	burstStart     = 5 * time.Second
)

// stream is a request that holds capacity.
type stream struct {
	until  time.Duration
	caller *caller
	fails  bool
}

// replay is a pool with one queue, where a stream holds its tokens of the capacity for its duration.
type replay struct {
	capacity func(at time.Duration) float64
	callers  []*caller
	// fillsGaps has a candidate that the capacity suffices for started although it does not suffice
	// for a better one.
	fillsGaps bool

	q       Queue[*caller]
	at      time.Duration
	used    float64
	streams []stream
	waiting []*caller
	again   []*caller
}

// run replays the callers until all of them have an outcome, and checks that each has exactly one.
func (r *replay) run(t *testing.T) {
	t.Helper()
	slices.SortStableFunc(r.callers, func(a, b *caller) int { return cmp.Compare(a.at, b.at) })
	next := 0
	for next < len(r.callers) || len(r.again) > 0 || r.q.Len() > 0 || len(r.streams) > 0 {
		r.end()
		r.disconnect()
		again := r.again
		r.again = nil
		for _, c := range again {
			r.send(c, r.at)
		}
		for ; next < len(r.callers) && r.callers[next].at <= r.at; next++ {
			r.send(r.callers[next], r.callers[next].at)
		}
		for _, w := range r.q.Expire(r.now(r.at)) {
			w.Value.ticket, w.Value.outdated = 0, true
		}
		for r.admit() {
			if r.used > r.capacity(r.at) {
				t.Fatalf("%v tokens used of %v", r.used, r.capacity(r.at))
			}
		}
		if r.at += replayTick; r.at > 5*time.Minute {
			t.Fatalf("%d requests are never served, refused or given up", r.q.Len())
		}
	}
	for _, c := range r.callers {
		outcomes := 0
		for _, is := range []bool{c.started, c.left, c.outdated, c.refused > 0 && !c.retries} {
			if is {
				outcomes++
			}
		}
		if outcomes != 1 || c.ticket != 0 {
			t.Fatalf("not exactly one outcome: %+v", *c)
		}
	}
}

func (r *replay) now(at time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(at) }

// end frees the capacity of streams that end or that an engine refuses; the latter wait again.
func (r *replay) end() {
	ended := r.streams
	r.streams = nil
	for _, s := range ended {
		if s.until > r.at {
			r.streams = append(r.streams, s)
			continue
		}
		r.used -= s.caller.tokens
		if s.fails {
			s.caller.started = false
			r.push(s.caller)
		}
	}
}

func (r *replay) disconnect() {
	r.waiting = slices.DeleteFunc(r.waiting, func(c *caller) bool {
		if c.ticket != 0 && r.at-c.at >= c.patience {
			r.q.Remove(c.ticket)
			c.ticket, c.left = 0, true
		}
		return c.ticket == 0
	})
}

func (r *replay) send(c *caller, at time.Duration) {
	c.sent = at
	if r.at-c.at >= c.patience {
		c.left = true
		return
	}
	r.push(c)
}

func (r *replay) push(c *caller) {
	t, dropped := r.q.Push(r.now(r.at), Item{
		Priority: c.priority, Rank: c.priority, Account: c.account, Tokens: c.tokens, Arrived: r.now(c.sent),
		Objective: r.now(c.sent + c.objective), Latest: r.now(c.at + replayDeadline),
	}, c)
	c.ticket = t
	r.waiting = append(r.waiting, c)
	for _, d := range dropped {
		d.Value.ticket = 0
		if d.Value.refused++; d.Value.retries {
			r.again = append(r.again, d.Value)
		}
	}
}

// admit starts the first candidate, or the first that the pool has capacity for.
func (r *replay) admit() bool {
	for _, w := range r.q.Heads(r.now(r.at)) {
		c := w.Value
		if r.used+c.tokens > r.capacity(r.at) {
			if r.fillsGaps {
				continue
			}
			return false
		}
		r.q.Admit(r.now(r.at), w.Ticket)
		c.ticket, c.started, c.wait = 0, true, r.at-c.at
		s := stream{until: r.at + c.duration, caller: c}
		if c.fails {
			c.fails = false
			s = stream{until: r.at + refusalTime, caller: c, fails: true}
		}
		r.used += c.tokens
		r.streams = append(r.streams, s)
		return true
	}
	return false
}

// share is how many of some requests were served.
type share struct{ all, started, inTime int }

func (s share) served() float64 { return float64(s.started) / float64(max(s.all, 1)) }

func (s share) timely() float64 { return float64(s.inTime) / float64(max(s.all, 1)) }

func (s share) String() string {
	return fmt.Sprintf("%d requests, %.3f served, %.3f in time", s.all, s.served(), s.timely())
}

func (r *replay) share(of func(*caller) bool) share {
	var s share
	for _, c := range r.callers {
		if !of(c) {
			continue
		}
		s.all++
		if c.started {
			s.started++
			if c.wait < c.objective {
				s.inTime++
			}
		}
	}
	return s
}

// load is a usual load of requests with a burst.
type load struct {
	rate       float64 // usual requests/s
	burst      float64 // times the usual rate, from burstStart
	duration   time.Duration
	priorities [3]float64 // share of requests
	accounts   int
	impatient  float64 // share that disconnects after half of the objective
	retrying   float64 // share of the others that sends again at once
	failing    float64 // share that an engine refuses first
	seed       uint64
}

func (l load) inBurst(c *caller) bool {
	return c.at >= burstStart && c.at < burstStart+l.duration
}

func (l load) callers() []*caller {
	r := rand.New(rand.NewPCG(l.seed, 7))
	var out []*caller
	end := burstStart + l.duration
	for at := time.Duration(0); at < end+5*time.Second; {
		rate := l.rate
		if at >= burstStart && at < end {
			rate *= l.burst
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		out = append(out, l.caller(r, at))
	}
	return out
}

func (l load) caller(r *rand.Rand, at time.Duration) *caller {
	c := &caller{
		at: at, tokens: 200 + 1600*r.Float64(), account: pkid.AccountID(fmt.Sprint(r.IntN(l.accounts))),
		duration:  time.Duration((0.5 + 1.5*r.Float64()) * float64(time.Second)),
		objective: time.Second, patience: 4 * time.Second,
	}
	u := r.Float64()
	for c.priority < 2 && u >= l.priorities[c.priority] {
		u -= l.priorities[c.priority]
		c.priority++
	}
	if c.priority == 0 {
		c.objective, c.patience = 500*time.Millisecond, 2*time.Second
	}
	if c.impatient = r.Float64() < l.impatient; c.impatient {
		c.patience = c.objective / 2
	}
	c.retries = r.Float64() < l.retrying && !c.impatient
	c.fails = r.Float64() < l.failing
	return c
}

// capacity is that of a pool of which the usual load uses the given part, and which loses a tenth
// of it during the burst.
func (l load) capacity(use float64) func(time.Duration) float64 {
	full := l.rate * 1000 * 1.25 / use // mean tokens and seconds of a stream
	return func(at time.Duration) float64 {
		if at >= burstStart && at < burstStart+l.duration {
			return 0.9 * full
		}
		return full
	}
}

// notStarved fails if a priority is served less than a quarter as often as all requests.
func notStarved(t *testing.T, l load, r *replay) {
	t.Helper()
	all := r.share(l.inBurst)
	for p := range 3 {
		s := r.share(func(c *caller) bool { return l.inBurst(c) && c.priority == p })
		if s.served() < all.served()/4 {
			t.Errorf("priority %d: %v; all: %v", p, s, all)
		}
	}
}
