package pkbudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// owner is an owner of a hold in a schedule.
type owner struct {
	hold *Hold[*owner]
	// held is what the owner was granted and has not released.
	held    Bytes
	waits   []*Wait[*owner]
	aborted bool
}

// schedule drives a budget with random arrivals, pauses, ends and limits.
type schedule struct {
	t      *testing.T
	r      *rand.Rand
	b      Budget[*owner]
	limits Limits
	now    time.Time
	owners []*owner
	// lowered is set once the limits were lowered, until nothing is held beyond them.
	lowered bool
}

func (s *schedule) setLimits() {
	next := Limits{Connections: 1 + s.r.IntN(12), Descriptors: 1 + s.r.IntN(16), Requests: SmallBytes * Bytes(2+s.r.IntN(12))}
	next.Large = next.Requests * 3 / 4
	s.lowered = s.lowered || next.Requests < s.limits.Requests || next.Large < s.limits.Large || next.Connections < s.limits.Connections || next.Descriptors < s.limits.Descriptors
	s.limits = next
	s.b.SetLimits(next)
}

func (s *schedule) abort(evicted []*owner) {
	for _, o := range evicted {
		assert.Assert(s.t, !o.aborted || o.hold.connection, "evicted twice")
		o.aborted = true
	}
}

func (s *schedule) connect() {
	o := &owner{}
	if s.r.IntN(3) == 0 {
		o.hold = s.b.Request(s.now, o)
	} else {
		decision := s.b.Connect(s.now, o)
		s.abort(decision.Evicted)
		if decision.Hold == nil {
			return
		}
		o.hold = decision.Hold
	}
	s.owners = append(s.owners, o)
}

func (s *schedule) grow(o *owner) {
	n := Bytes(1 + s.r.Int64N(int64(SmallBytes)))
	grant := o.hold.Grow(s.now, n)
	s.abort(grant.Evicted)
	switch {
	case grant.Granted:
		o.held += n
	case grant.Wait != nil:
		o.waits = append(o.waits, grant.Wait)
	}
	s.settle()
}

// settle takes the grants of those that have waited; the end of a wait may grant others.
func (s *schedule) settle() {
	for ended := true; ended; {
		ended = false
		for _, o := range s.owners {
			o.waits = slices.DeleteFunc(o.waits, func(w *Wait[*owner]) bool {
				select {
				case <-w.Ready():
					s.end(o, w)
					ended = true
					return true
				default:
					return false
				}
			})
		}
	}
}

// end ends a wait and takes what was granted.
func (s *schedule) end(o *owner, w *Wait[*owner]) {
	if w.End() {
		o.held += w.bytes
	}
	assert.Assert(s.t, !w.End() || w.granted)
}

func (s *schedule) close(i int) {
	o := s.owners[i]
	o.hold.Close()
	o.hold.Close()
	s.owners = append(s.owners[:i], s.owners[i+1:]...)
	s.settle()
}

func (s *schedule) act(i int) {
	o := s.owners[i]
	switch s.r.IntN(11) {
	case 0:
		o.hold.Begin(s.now)
		if s.r.IntN(2) == 0 {
			o.hold.Arrive()
		}
	case 1, 2, 3:
		s.grow(o)
	case 4:
		n := min(o.held, Bytes(s.r.Int64N(int64(SmallBytes))))
		o.hold.Shrink(n)
		o.held -= n
	case 5:
		assert.Equal(s.t, o.hold.Keep(), !o.hold.evicted)
	case 6:
		o.hold.SetAccount(fmt.Sprint(s.r.IntN(3)))
	case 7:
		if len(o.waits) == 0 {
			o.hold.End(s.now)
			o.held, o.aborted = 0, o.hold.closing
		}
	case 8:
		for _, w := range o.waits {
			s.end(o, w)
		}
		o.waits = nil
	case 9:
		evicted, admitted := o.hold.Admit(s.now)
		s.abort(evicted)
		assert.Equal(s.t, admitted, o.hold.admitted && !o.hold.evicted)
	default:
		s.close(i)
	}
}

// check checks that all sums are what the owners hold, and within the limits.
func (s *schedule) check() {
	s.settle()
	var used, large Bytes
	connections, admitted := 0, 0
	for _, o := range s.owners {
		if o.hold.admitted {
			admitted++
		}
		assert.Equal(s.t, o.hold.bytes, o.held)
		used += o.held
		large += largePart(o.held)
		if o.hold.connection && !o.hold.closing {
			connections++
		}
	}
	u := s.b.Usage()
	assert.Equal(s.t, u.Bytes, used)
	assert.Equal(s.t, u.LargeBytes, large)
	assert.Equal(s.t, u.Connections, connections)
	assert.Equal(s.t, u.Admitted, admitted)
	within := used <= s.limits.Requests && large <= s.limits.Large && connections <= s.limits.Connections && connections+admitted <= s.limits.Descriptors
	s.lowered = s.lowered && !within
	assert.Assert(s.t, within || s.lowered, "%d bytes, %d of large requests, %d connections, %d admitted of %+v", used, large, connections, admitted, s.limits)
}

// Guards against callers that hold more than their budget, and against bytes that are not given back.
func TestSumStaysWithinTheBudget(t *testing.T) {
	const schedules, steps = 10_000, 60
	for seed := range uint64(schedules) {
		s := &schedule{t: t, r: rand.New(rand.NewPCG(seed, 0)), now: start}
		s.setLimits()
		for range steps {
			s.now = s.now.Add(time.Duration(s.r.IntN(300)) * time.Millisecond)
			switch k := s.r.IntN(20); {
			case k == 0:
				s.setLimits()
			case k < 5 || len(s.owners) == 0:
				s.connect()
			default:
				i := s.r.IntN(len(s.owners))
				if s.owners[i].aborted && s.r.IntN(2) == 0 {
					s.close(i)
				} else {
					s.act(i)
				}
			}
			s.check()
		}
		for len(s.owners) > 0 {
			s.close(0)
			s.check()
		}
		assert.Equal(t, len(s.b.byAccount), 0)
		assert.Equal(t, s.b.freeing, Bytes(0))
		assert.Equal(t, s.b.freeingLarge, Bytes(0))
		assert.Equal(t, s.b.Usage().Waiting, 0)
		assert.Equal(t, s.b.Usage().Admitted, 0)
	}
}

// newBudget returns a budget for requests of whole, of which large ones may use three quarters.
func newBudget(whole Bytes) *Budget[string] {
	b := &Budget[string]{}
	b.SetLimits(Limits{Connections: 4, Requests: whole, Large: whole * 3 / 4})
	return b
}

func request(t *testing.T, b *Budget[string], now time.Time, name string, n Bytes) *Hold[string] {
	t.Helper()
	h := b.Request(now, name)
	assert.Assert(t, h.Grow(now, n).Granted)
	return h
}

const mb Bytes = 1 << 20

// Guards against small requests that are refused since large ones hold all there is.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	b := newBudget(4 * mb)
	request(t, b, start, "large", 3*mb)
	assert.Assert(t, b.Request(start, "small").Grow(start, SmallBytes).Granted)
	assert.Assert(t, !b.Request(start, "second").Grow(start, mb).Granted)
}

// Guards against requests that stall and keep others out, and against bytes that are granted before they are released.
func TestStalledRequestsAreEvictedFirst(t *testing.T) {
	b := newBudget(4 * mb)
	moving, stalled := request(t, b, start, "moving", mb), request(t, b, start, "stalled", 2*mb)
	now := start.Add(stallTime)
	assert.Assert(t, moving.Move(now))
	h := b.Request(now, "next")
	grant := h.Grow(now, mb)
	assert.DeepEqual(t, grant.Evicted, []string{"stalled"})
	assert.Assert(t, !grant.Granted)
	select {
	case <-grant.Wait.Ready():
		t.Fatal("granted before they are released")
	default:
	}
	assert.Assert(t, !stalled.Move(now))
	stalled.Close()
	<-grant.Wait.Ready()
	assert.Assert(t, grant.Wait.End())
	assert.Assert(t, h.Move(now))
	assert.Equal(t, b.Usage().Bytes, 2*mb)
}

// Guards against a burst of large requests of which none is served, since each takes the room of another.
func TestOlderRequestsComeFirst(t *testing.T) {
	b := newBudget(4 * mb)
	first := request(t, b, start, "first", mb)
	second := request(t, b, start, "second", mb+mb/2)
	assert.Assert(t, second.Grow(start, mb).Evicted == nil)
	assert.DeepEqual(t, first.Grow(start, mb).Evicted, []string{"second"})
}

// Guards against one client account that keeps the others out, and against requests that have arrived whole and are
// evicted.
func TestAccountsThatHoldMostYield(t *testing.T) {
	b := newBudget(4 * mb)
	whole := request(t, b, start, "whole", mb)
	whole.SetAccount("busy")
	assert.Assert(t, whole.Keep())
	for _, name := range []string{"one", "two"} {
		request(t, b, start, name, mb).SetAccount("busy")
	}
	h := b.Request(start, "other")
	h.SetAccount("calm")
	assert.DeepEqual(t, h.Grow(start, mb).Evicted, []string{"two"})
	assert.Assert(t, whole.Move(start))
}

// Guards against bytes that are granted to requests that must release theirs.
func TestEvictedRequestsGetNothing(t *testing.T) {
	b := newBudget(4 * mb)
	stalled := request(t, b, start, "stalled", mb/2)
	now := start.Add(stallTime)
	first, second := request(t, b, now, "first", mb), request(t, b, now, "second", mb+mb/2)
	grant := second.Grow(now, mb/2)
	assert.DeepEqual(t, grant.Evicted, []string{"stalled"})
	assert.DeepEqual(t, first.Grow(now, mb).Evicted, []string{"second"})
	<-grant.Wait.Ready()
	stalled.Close()
	assert.Assert(t, !grant.Wait.End())
	refused := second.Grow(now, 1)
	assert.Assert(t, !refused.Granted && refused.Wait == nil)
	second.End(now)
	assert.Assert(t, second.Grow(now, 1).Granted, "its connection has another request")
}

// Guards against requests that have arrived whole, and may run, and are evicted.
func TestWholeRequestsAreKept(t *testing.T) {
	b := newBudget(4 * mb)
	whole := request(t, b, start, "whole", 3*mb)
	whole.SetAccount("busy")
	assert.Assert(t, whole.Keep())
	grant := b.Request(start.Add(time.Minute), "other").Grow(start.Add(time.Minute), mb)
	assert.Assert(t, !grant.Granted && grant.Evicted == nil && grant.Wait == nil)
}

// Guards against more requests that are evicted than others need, and against two that count on the same bytes.
func TestEvictedBytesAreGrantedOnce(t *testing.T) {
	b := newBudget(8 * mb)
	request(t, b, start, "first", 2*mb)
	request(t, b, start.Add(time.Millisecond), "second", 4*mb)
	now := start.Add(time.Minute)
	grow := func(n Bytes) []string { return b.Request(now, "next").Grow(now, n).Evicted }
	assert.DeepEqual(t, grow(mb), []string{"first"})
	assert.Assert(t, grow(mb) == nil)
	assert.DeepEqual(t, grow(mb), []string{"second"})

	b = newBudget(4 * SmallBytes)
	for i, name := range []string{"first", "second", "third", "fourth"} {
		request(t, b, start.Add(time.Duration(i)*time.Millisecond), name, SmallBytes)
	}
	assert.DeepEqual(t, grow(SmallBytes/2), []string{"first"})
	assert.Assert(t, grow(SmallBytes/2) == nil)
	assert.DeepEqual(t, grow(SmallBytes/2), []string{"second"})
}

// Guards against callers without a whole header that keep new connections out.
func TestSilentConnectionsYield(t *testing.T) {
	b := newBudget(mb)
	for _, name := range []string{"silent", "idle", "active", "refused"} {
		h := b.Connect(start, name).Hold
		if name == "silent" {
			continue
		}
		h.Begin(start)
		h.Arrive()
		switch name {
		case "idle":
			h.End(start)
		case "active":
			assert.Assert(t, h.Keep())
		case "refused":
			h.Refuse(start)
		}
	}
	now := start.Add(stallTime)
	for i, want := range []string{"refused", "silent", "idle", "new 0"} {
		now = now.Add(time.Millisecond)
		decision := b.Connect(now, fmt.Sprint("new ", i))
		assert.DeepEqual(t, decision.Evicted, []string{want})
		decision.Hold.Begin(now)
	}
}

// Guards against requests in progress that are cut in favour of new connections.
func TestConnectionsAreRefusedBesideRequests(t *testing.T) {
	b := newBudget(mb)
	for range 4 {
		h := b.Connect(start, "active").Hold
		h.Begin(start)
		h.Arrive()
		assert.Assert(t, h.Keep())
	}
	assert.Assert(t, b.Connect(start, "new").Hold == nil)
	assert.Equal(t, b.Usage().Counts.RefusedConnections, int64(1))
}

// Guards against requests that are admitted without a descriptor for the connection to their target.
func TestAdmittedRequestsTakeDescriptors(t *testing.T) {
	var b Budget[string]
	b.SetLimits(Limits{Descriptors: 4})
	idle := b.Connect(start, "idle").Hold
	first := b.Connect(start, "first").Hold
	second := b.Connect(start, "second").Hold
	for _, h := range []*Hold[string]{first, second} {
		h.Begin(start)
		h.Arrive()
	}
	evicted, admitted := first.Admit(start)
	assert.Assert(t, admitted && len(evicted) == 0)
	evicted, admitted = second.Admit(start)
	assert.Assert(t, admitted)
	assert.DeepEqual(t, evicted, []string{"idle"})
	idle.Close()

	decision := b.Connect(start, "third")
	assert.Assert(t, decision.Hold == nil, "a connection beyond the descriptors of requests in progress")
	h := b.Request(start, "relayed")
	_, admitted = h.Admit(start)
	assert.Assert(t, !admitted)
	second.End(start)
	_, admitted = h.Admit(start)
	assert.Assert(t, admitted)
	for _, one := range []*Hold[string]{first, second, h} {
		one.Close()
	}
	assert.Equal(t, b.Usage().Admitted, 0)
}

// Guards against limits that refuse a single request of the largest legal size.
func TestLimitsHaveRoomForTheLargestRequest(t *testing.T) {
	for _, m := range []Machine{
		{Memory: 38 * mb, Descriptors: 4100, LargestRequest: mb},
		{Memory: 38 * mb, Descriptors: 4100, LargestRequest: 20 * mb},
		{Memory: 82 * mb, Descriptors: 2870, LargestRequest: 11 * mb},
		{Memory: 170 * mb, Descriptors: 4100, LargestRequest: 11 * mb},
	} {
		l, fits := m.Limits()
		assert.Assert(t, fits)
		assert.Assert(t, l.Large >= m.LargestRequest && l.Requests > l.Large, "%+v", l)
		assert.Assert(t, l.Requests+Bytes(l.Connections)*ConnectionBytes <= m.Memory, "%+v", l)
		assert.Assert(t, l.Connections > 0 && l.Connections < m.Descriptors, "%+v", l)
		received := Bytes(l.Connections)*ReceiveBytes + Bytes(l.Pending)*l.PendingBytes
		assert.Assert(t, l.Pending > 0 && received+programBytes <= m.Memory*2/3, "%+v", l) // what is left of the machine
	}
	_, fits := Machine{Memory: 38 * mb, LargestRequest: 64 * mb}.Limits()
	assert.Assert(t, !fits)
}

// Guards against a log that repeats a shortage, or does not say that it has ended.
func TestAShortageIsReportedTwice(t *testing.T) {
	b := newBudget(mb)
	_, changed := b.Report(start)
	assert.Assert(t, !changed)
	for range 3 {
		assert.Assert(t, !b.Request(start, "large").Grow(start, mb).Granted)
	}
	r, changed := b.Report(start)
	assert.Assert(t, changed && r.Short)
	assert.Equal(t, r.Counts.RefusedRequests, int64(3))
	_, changed = b.Report(start)
	assert.Assert(t, !changed)
	r, changed = b.Report(start.Add(shortageTime))
	assert.Assert(t, changed && !r.Short)
	_, changed = b.Report(start.Add(2 * shortageTime))
	assert.Assert(t, !changed)
}

// BenchmarkRequest is what a request with a small body costs beside 2,000 other connections.
func BenchmarkRequest(b *testing.B) {
	var budget Budget[int]
	budget.SetLimits(Limits{Connections: 3000, Requests: 64 * mb, Large: 48 * mb})
	var h *Hold[int]
	for i := range 2000 {
		h = budget.Connect(start, i).Hold
	}
	for b.Loop() {
		h.Begin(start)
		h.Arrive()
		h.SetAccount("one")
		h.Grow(start, RequestBytes)
		h.Grow(start, 4<<10)
		h.Move(start)
		h.Keep()
		h.End(start)
	}
}

// BenchmarkConnectBesideACrowd is what a new connection costs while 3,000 silent ones take all places.
func BenchmarkConnectBesideACrowd(b *testing.B) {
	var crowd Budget[int]
	crowd.SetLimits(Limits{Connections: 3000})
	holds := make([]*Hold[int], 0, 3000)
	for i := range 3000 {
		holds = append(holds, crowd.Connect(start.Add(time.Duration(i)), i).Hold)
	}
	for now := start.Add(time.Second); b.Loop(); now = now.Add(1) {
		hold := holds[0] // the oldest
		decision := crowd.Connect(now, 0)
		hold.Close()
		holds = append(holds[1:], decision.Hold)
	}
}
