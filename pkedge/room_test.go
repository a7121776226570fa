package pkedge

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkqueue"
	"peridotknot.example/pkreach"
	"peridotknot.example/pkshare"
	"peridotknot.example/pkstore"
	"peridotknot.example/pkverdict"
)

// rankedConfig has routes of three priorities to one pool.
func rankedConfig() pkconfig.Config {
	route := func(name string, priority int) pkconfig.Route {
		return pkconfig.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: pkconfig.Stream, Priority: priority, MaxAttempts: 2, Resumable: true,
			LatencyObjective: 500 * time.Millisecond, GapObjective: 250 * time.Millisecond, Timeout: 20 * time.Second,
			Services: []pkconfig.WeightedService{{Service: "models", Weight: 1}},
		}
	}
	return pkconfig.Config{
		Version: 1, Routes: []pkconfig.Route{route("urgent", 0), route("usual", 1), route("overnight", 2)},
		Services: []pkconfig.Service{{ID: "models"}},
	}
}

// queuedPool is a daemon with a queue for room, and a pool whose only engine has room for one request.
type queuedPool struct {
	*Daemon
	service *pkconfig.Service
	table   *pkconfig.Table
	engine  pkid.TargetID
	full    float64
}

func newQueuedPool(t *testing.T) *queuedPool {
	t.Helper()
	d, s := poolDaemon(engine("a", "home", 0, 80))
	d.settings.DataCenter = "home"
	s.Engine.Kinds["l4"] = pklayers.Accelerator{MemoryMB: 180_000, StepFactor: 16, PrefillFactor: 8.2}
	d.metrics = newMetrics(d)
	d.rooms.wake = make(chan struct{}, 1)
	setRetryBudget(d, 9)
	return &queuedPool{
		Daemon: d, service: s, table: pkconfig.NewTable(rankedConfig(), pkstore.Item{}), engine: "a",
		full: s.Engine.KVCapacity("l4", 80) * 80,
	}
}

// fill takes the share of the engine's room until the function that it returns is called.
func (p *queuedPool) fill(t *testing.T, share float64) (free func()) {
	t.Helper()
	target := p.target(t, p.engine)
	target.Begin(time.Now().Add(-time.Minute), share*p.full, 0, time.Millisecond)
	return func() {
		target.Done(share * p.full)
		p.roomFreed()
	}
}

// call returns a request on a route that takes half of the engine's room.
func (p *queuedPool) call(name string) *call {
	route, _ := p.table.Route("h", "/"+name+"/")
	c := &call{
		Daemon: p.Daemon, r: httptest.NewRequest(http.MethodPost, "/", nil), table: p.table, route: route, service: p.service.ID,
		began: time.Now(), deadline: time.Now().Add(20 * time.Second),
	}
	c.req.Meta.ID, c.req.Meta.PromptTokens = pkid.RequestID(name), pkid.Tokens(0.5*p.full/80)
	return c
}

// wait has requests wait for a path in the background, and sends the name and the result of each.
func (p *queuedPool) wait(ctx context.Context, out chan<- waitResult, c *call) {
	go func() {
		path, err := c.waitForPath(ctx, p.service)
		out <- waitResult{c.route.Name, path, err, time.Since(c.began)}
	}()
	synctest.Wait()
}

type waitResult struct {
	name string
	path targetPath
	err  error
	took time.Duration
}

// Guards against giving freed room to whoever asks first: a burst of requests of low priority would keep urgent
// ones waiting.
func TestUrgentRequestGoesBeforeOthersThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		free := p.fill(t, 0.85)
		out := make(chan waitResult, 3)
		for _, name := range []string{"overnight", "usual", "urgent"} {
			p.wait(ctx, out, p.call(name))
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, p.rooms.waiting.Load(), int64(3))
		time.Sleep(40 * time.Millisecond)
		free()
		synctest.Wait()
		first := <-out
		assert.NilError(t, first.err)
		assert.Equal(t, first.name, "urgent")
		assert.Equal(t, first.took, 41*time.Millisecond, "started as soon as there is room")
		for _, name := range []string{"usual", "overnight"} {
			first.path.release(p.call(first.name).estimatedTokens(p.service.Engine))
			p.roomFreed()
			synctest.Wait()
			first = <-out
			assert.NilError(t, first.err)
			assert.Equal(t, first.name, name)
		}
		assert.Equal(t, p.rooms.waiting.Load(), int64(0))
	})
}

// refuse records that an engine has refused the request.
func (c *call) refuse() {
	c.sends++
	c.failed.Record(&pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused})
}

// Guards against refusing a request that an engine has refused, and against letting it hold up others, while
// the retry budget is spent for a moment.
func TestRequestHeldByTheRetryBudgetKeepsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		p.retry.Store(&Retry{WindowS: 1, Slack: 1.5 / 0.85})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		out := make(chan waitResult, 2)
		refused := p.call("urgent")
		refused.refuse()
		assert.Assert(t, refused.chargeRetry(), "the last one in the window")
		refused.charges.End(time.Now(), refused.retryWindow())
		p.wait(ctx, out, refused)
		p.wait(ctx, out, p.call("overnight"))
		next := <-out
		assert.NilError(t, next.err)
		assert.Equal(t, next.name, "overnight")
		next.path.release(p.call("overnight").estimatedTokens(p.service.Engine))
		p.roomFreed()
		next = <-out
		assert.NilError(t, next.err)
		assert.Equal(t, next.name, "urgent")
		assert.Assert(t, next.took > 900*time.Millisecond && next.took < 1200*time.Millisecond, "%v", next.took)
	})
}

// Guards against holding requests that cannot be served before their callers leave, and against sending all of
// them away for the same time.
func TestRequestWithoutRoomInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		p.fill(t, 0.9)
		p.room("models").recordStream(3*time.Second, 40*time.Millisecond)
		out := make(chan waitResult, 2)
		p.wait(ctx, out, p.call("urgent"))
		p.wait(ctx, out, p.call("urgent"))
		p.wait(ctx, out, p.call("usual"))
		got := <-out
		var refused *queueRefusal
		assert.Assert(t, errors.As(got.err, &refused))
		assert.Equal(t, got.took, time.Duration(0))
		assert.Equal(t, refused.cause, causeLate)
		assert.Assert(t, refused.retryAfter >= refused.wait && refused.retryAfter <= refused.wait*3/2, "%v, wait %v", refused.retryAfter, refused.wait)
		got = <-out
		assert.Assert(t, errors.As(got.err, &refused))
		assert.Equal(t, refused.cause, causeExpired)
		assert.Assert(t, got.took >= 1900*time.Millisecond && got.took <= 2*time.Second, "%v", got.took)
	})
}

// Guards against room that stays reserved for a caller that has left while its path was chosen, and against
// requests in the queue whose callers have left.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		free := p.fill(t, 0.9)
		out := make(chan waitResult, 1)
		leaving, leave := context.WithCancel(ctx)
		p.wait(leaving, out, p.call("urgent"))
		leave()
		got := <-out
		assert.Assert(t, errors.Is(got.err, context.Canceled))
		assert.Equal(t, p.rooms.waiting.Load(), int64(0))
		free()
		p.wait(ctx, out, p.call("usual"))
		got = <-out
		assert.NilError(t, got.err)
		assert.Equal(t, p.target(t, p.engine).OwnLoad().Requests, 1)
	})
}

// Guards against a queue for pools that do not call for one, which are served as before.
func TestQueueIsUsedWhereRoutesDiffer(t *testing.T) {
	p := newQueuedPool(t)
	same := rankedConfig()
	for i := range same.Routes {
		same.Routes[i].Priority = 1
	}
	equal := pkconfig.NewTable(same, pkstore.Item{})
	for _, row := range []struct {
		mode  QueueMode
		table *pkconfig.Table
		want  bool
	}{
		{"", p.table, true},
		{QueueAuto, p.table, true},
		{QueueNever, p.table, false},
		{"", equal, false},
		{QueueAlways, equal, true},
		{QueueAlways, nil, false},
	} {
		p.settings.Queue.Mode = row.mode
		assert.Equal(t, p.queues(row.table, p.service), row.want, "%+v", row.mode)
	}
}

// Guards against taking room at one entry for requests of low priority while urgent ones wait at another.
func TestRequestLeavesRoomForMoreUrgentOnesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		p.fill(t, 0.3)
		p.receiveMessage(time.Now(), pkshare.Message{From: "other", Addr: "other", Sequence: 1, Demands: []pkshare.Demand{
			{Service: "models", Priority: 0, Requests: 20, Tokens: float32(0.25 * p.full / 80)},
		}})
		late := pkqueue.Item{Objective: time.Now()}
		assert.Assert(t, p.reservedShare(time.Now(), p.service, late) > 0, "those in time elsewhere go before it")
		out := make(chan waitResult, 2)
		p.wait(ctx, out, p.call("overnight"))
		assert.Equal(t, p.rooms.waiting.Load(), int64(1))
		p.wait(ctx, out, p.call("urgent"))
		got := <-out
		assert.NilError(t, got.err)
		assert.Equal(t, got.name, "urgent")
		got.path.release(p.call("urgent").estimatedTokens(p.service.Engine))
		got = <-out // the other entry has fallen silent
		assert.NilError(t, got.err)
		assert.Assert(t, got.took >= 1400*time.Millisecond && got.took <= 1600*time.Millisecond, "%v", got.took)
	})
}

// Guards against searching a path for each waiting request whenever room may be free: an entry on a small VM
// would spend all its processor time on that.
func TestRequestsThatAskForMoreAreNotSearchedFor(t *testing.T) {
	p := newQueuedPool(t)
	p.fill(t, 0.9)
	r := p.room("models")
	now := time.Now()
	for i := range 100 {
		c := p.call([]string{"urgent", "usual", "overnight"}[i%3])
		r.push(now, &waiter{c: c, service: p.service, item: c.queueItem(now, p.service, r), since: now, result: make(chan admission, 1)})
	}
	r.dispatch(now)
	assert.Equal(t, len(r.failed), 1, "one search shows that all have to wait")
}

// Guards against refusing all requests of a pool for good once its first events took longer than callers wait:
// no stream would be started that could correct the mean.
func TestQueueStartsRequestsAfterSlowFirstEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		p.room("models").recordStream(5*time.Second, 2500*time.Millisecond)
		out := make(chan waitResult, 2)
		p.wait(ctx, out, p.call("urgent"))
		resumed := p.call("usual")
		resumed.headSent = true
		p.wait(ctx, out, resumed)
		got := <-out
		assert.NilError(t, got.err)
		assert.Equal(t, got.took, time.Duration(0))
		got.path.release(p.call("urgent").estimatedTokens(p.service.Engine))
		p.roomFreed()
		got = <-out
		assert.NilError(t, got.err)
	})
}

// Guards against holding a request that is larger than the engines, which no freed room helps, and against
// letting it hold up those that go after it.
func TestQueueRefusesRequestsLargerThanTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		out := make(chan waitResult, 2)
		large := p.call("urgent")
		large.req.Meta.PromptTokens = pkid.Tokens(0.95 * p.full / 80)
		p.wait(ctx, out, large)
		p.wait(ctx, out, p.call("urgent"))
		got := <-out
		var refused *queueRefusal
		assert.Assert(t, errors.As(got.err, &refused))
		assert.Equal(t, got.took, time.Duration(0))
		got = <-out
		assert.NilError(t, got.err)
		assert.Equal(t, got.took, time.Duration(0))
	})
}

// Guards against holding requests while all engines have asked for rest for longer than callers wait, and against
// a Retry-After that does not follow what they asked for.
func TestQueueRefusesRequestsWhileThePoolRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		const rest = 10 * time.Second
		p.started = time.Now()
		p.target(t, p.engine).Rest(p.started.Add(rest))
		p.lastRestEnd.Store(int64(rest))
		out := make(chan waitResult, 1)
		p.wait(ctx, out, p.call("urgent"))
		got := <-out
		var busy *busyError
		assert.Assert(t, errors.As(got.err, &busy), "%v", got.err)
		assert.Equal(t, got.took, time.Duration(0))
		assert.Equal(t, busy.reason, reasonResting)
		assert.Equal(t, busy.retryAfter, rest)
	})
}

// Guards against charging a retry twice, once before the request is queued and once when its turn comes, while
// the links of the entry are impaired and no other entry can take the request.
func TestQueueChargesARetryOnceWithImpairedLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newQueuedPool(t)
		setRetryBudget(p.Daemon, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.dispatchRooms(ctx)
		p.links.Record(time.Now(), "models", pkreach.Sample{Reached: 4, Failed: 4, Silent: 4, Answered: 8, Lost: 6})
		assert.Assert(t, p.links.Impaired("models"))
		c := p.call("urgent")
		c.refuse()
		assert.Assert(t, c.maySendStream(ctx, true, pkverdict.NotRun))
		out := make(chan waitResult, 1)
		p.wait(ctx, out, c)
		got := <-out
		assert.NilError(t, got.err)
		usage := p.budgets.of("models").Usage(time.Now(), p.retryLimits(time.Now()))
		assert.Equal(t, usage.Retries, 1.0)
	})
}

// Guards against passing a queued request on beyond the retry budget: it does not wait for its turn then.
func TestQueueChargesARetryThatIsPassedOn(t *testing.T) {
	p := newQueuedPool(t)
	setRetryBudget(p.Daemon, 0)
	p.links.Record(time.Now(), "models", pkreach.Sample{Reached: 4, Failed: 4, Silent: 4, Answered: 8, Lost: 6})
	p.receiveMessage(time.Now(), pkshare.Message{From: "other", Addr: "other", Sequence: 1, Relays: true})
	assert.Equal(t, len(p.relayCandidates(time.Now(), "models")), 1)
	c := p.call("urgent")
	c.refuse()
	result := c.sendStream(t.Context(), p.service, pkverdict.NotRun, &streamState{})
	assert.Assert(t, result.last && result.err == nil, "%+v", result)
	assert.Equal(t, c.relays.Count(), 0)
}

// Guards against holding requests of routes without an objective beyond the 2 s that their callers wait: the
// objective that orders them is not what their callers know.
func TestQueueHoldsRequestsWithoutAnObjectiveForAsLongAsCallersWait(t *testing.T) {
	p := newQueuedPool(t)
	c := p.call("urgent")
	route := *c.route
	route.LatencyObjective, route.GapObjective = 0, 0
	c.route = &route
	it := c.queueItem(c.began, p.service, p.room("models"))
	assert.Equal(t, it.Objective.Sub(c.began), defaultLatencyObjective)
	assert.Equal(t, it.Latest.Sub(c.began), minPatience)
}
