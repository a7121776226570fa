package pkstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktrace"
)

// Speed is how fast a kind of accelerator is.
type Speed struct {
	// Base is the time of a step, PerSeq what each sequence of the batch adds,
	// both for one layer; Prefill is the time of one prompt token and layer.
	Base    time.Duration `yaml:"base"`
	PerSeq  time.Duration `yaml:"per_seq"`
	Prefill time.Duration `yaml:"prefill"`
	// Batch is how many sequences fit.
	Batch int `yaml:"batch"`
}

// Engine is one stand-in for a model engine that holds a range of layers.
type Engine struct {
	info  pktarget.Info
	speed Speed
	world *World
	srv   *server

	mu       sync.Mutex
	holds    pkengine.Order
	wanted   pkengine.Order
	fence    pkid.Fence
	enforces bool
	boot     int
	runs     map[runKey]pkid.Index
	stops    map[runKey]chan struct{}
	loading  bool

	active  atomic.Int64
	dead    atomic.Bool
	leaving atomic.Bool
	slow    atomic.Int64
}

// runKey names one attempt of a stream.
type runKey struct {
	stream  pkid.RequestID
	attempt pkid.Attempt
}

// ServeHTTP answers one call of the engine contract.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == pkengine.PathStreams:
		e.open(w, r)
	case r.Method == http.MethodDelete:
		e.cancel(r)
	case r.URL.Path == pkengine.PathLoad:
		_ = json.NewEncoder(w).Encode(e.load()) // a caller that is gone is no fault
	case r.URL.Path == pkengine.PathOrders:
		e.order(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) layers() pkid.Range {
	e.mu.Lock()
	defer e.mu.Unlock()
	return pkid.Range{First: e.holds.First, End: e.holds.End}
}

func (e *Engine) load() pkengine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := time.Duration(e.holds.End - e.holds.First)
	active := int(e.active.Load())
	return pkengine.Load{
		Target:    e.info.ID,
		Model:     e.holds.Model,
		Version:   e.holds.Version,
		Adapters:  e.holds.Adapters,
		Role:      e.holds.Role,
		First:     e.holds.First,
		End:       e.holds.End,
		Active:    min(active, e.speed.Batch),
		Queued:    max(active-e.speed.Batch, 0),
		MaxBatch:  e.speed.Batch,
		StepUS:    (n * (e.speed.Base + time.Duration(active)*e.speed.PerSeq)).Microseconds(),
		PerSeqUS:  (n * e.speed.PerSeq).Microseconds(),
		PrefillUS: (n * e.speed.Prefill).Microseconds(),
		Leaving:   e.leaving.Load(),
		Loading:   e.loading,
		Fence:     e.fence,
		Boot:      strconv.Itoa(e.boot),
	}
}

// step is the time of one token through this engine. Beyond a full batch the
// sequences share the steps.
func (e *Engine) step() time.Duration {
	active := int(e.active.Load())
	n := time.Duration(e.layers().Len())
	t := n * (e.speed.Base + time.Duration(min(active, e.speed.Batch))*e.speed.PerSeq)
	if active > e.speed.Batch {
		t = t * time.Duration(active) / time.Duration(e.speed.Batch)
	}
	return t + time.Duration(e.slow.Load())
}

func (e *Engine) open(w http.ResponseWriter, r *http.Request) {
	var o pkengine.Open
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stages, err := e.world.stages(o)
	if err != nil {
		w.Header().Set(pkengine.HeaderNotStarted, "true")
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	key := runKey{stream: o.Stream, attempt: o.Attempt}
	stop := e.begin(key)
	defer e.end(key)
	for _, s := range stages {
		s.active.Add(1)
		defer s.active.Add(-1)
	}
	// An order may have come since the route was checked; from here on the
	// engines wait for this stream.
	if _, err := e.world.stages(o); err != nil {
		w.Header().Set(pkengine.HeaderNotStarted, "true")
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	g := &generation{world: e.world, open: o, stages: stages, w: w, control: control, stop: stop, gone: r.Context().Done()}
	g.run()
}

func (e *Engine) begin(key runKey) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	stop := make(chan struct{})
	e.stops[key] = stop
	return stop
}

func (e *Engine) end(key runKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.stops, key)
}

func (e *Engine) cancel(r *http.Request) {
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		return
	}
	key := runKey{stream: pkid.RequestID(r.URL.Path[len(pkengine.PathStreams)+1:]), attempt: pkid.Attempt(attempt)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop, found := e.stops[key]; found {
		close(stop)
		delete(e.stops, key)
	}
}

// pass runs the engine's layers for a token and checks that they run once and
// in order: from must be where the engine's range begins.
func (e *Engine) pass(key runKey, index pkid.Index, from pkid.Layer) (pkid.Layer, bool) {
	if e.dead.Load() {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if from != e.holds.First {
		e.world.violation("%s: token %d of %s came with layer %d, this engine begins at %d", e.info.ID, index, key.stream, from, e.holds.First)
	}
	if next, found := e.runs[key]; found && index != next {
		e.world.violation("%s: token %d of %s came, %d was next", e.info.ID, index, key.stream, next)
	}
	e.runs[key] = index + 1
	return e.holds.End, true
}

func (e *Engine) forget(key runKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, key)
}

// order takes an order; loading takes time, and a newer order replaces it.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o pkengine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.enforces && o.Fence < e.fence {
		e.mu.Unlock()
		http.Error(w, "an order with a higher fencing number came before", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.world.ordered(e.info.ID, o)
	if e.loading {
		e.wanted = o
		e.mu.Unlock()
		return
	}
	if o.Met(pkengine.Load{Model: e.holds.Model, Version: e.holds.Version, Adapters: e.holds.Adapters, Role: e.holds.Role, First: e.holds.First, End: e.holds.End}) {
		e.mu.Unlock()
		return
	}
	e.loading = true
	e.wanted = o
	boot := e.boot
	e.mu.Unlock()
	e.drain(boot)
}

const drainPoll = 20 * time.Millisecond

// drain waits until what is in progress has ended, and then loads.
func (e *Engine) drain(boot int) {
	e.world.later(drainPoll, func() {
		if e.active.Load() > 0 {
			e.drain(boot)
			return
		}
		e.mu.Lock()
		e.holds = pkengine.Order{}
		e.mu.Unlock()
		e.world.later(e.world.settings.LoadTime, func() { e.loaded(boot) })
	})
}

func (e *Engine) loaded(boot int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.holds = e.wanted
		e.loading = false
	}
}

// generation is one attempt of a stream as its first engine runs it.
type generation struct {
	world   *World
	open    pkengine.Open
	stages  []*Engine
	w       http.ResponseWriter
	control *http.ResponseController
	stop    <-chan struct{}
	gone    <-chan struct{}
	line    []byte
}

func (g *generation) run() {
	key := runKey{stream: g.open.Stream, attempt: g.open.Attempt}
	defer func() {
		for _, s := range g.stages {
			s.forget(key)
		}
	}()
	g.w.WriteHeader(http.StatusOK)
	if g.control.Flush() != nil {
		return
	}
	var prefill time.Duration
	for _, s := range g.stages {
		prefill += time.Duration(s.layers().Len()) * s.speed.Prefill * time.Duration(g.open.PromptTokens+pkid.Tokens(g.open.Next))
	}
	if !g.wait(prefill) {
		return
	}
	mark := pktrace.Mark(g.open.Prompt)
	end := pkid.Index(g.open.MaxTokens)
	for i := g.open.Next; i < end; i++ {
		if !g.wait(g.tokenTime()) {
			return
		}
		if lost := g.token(key, i); lost != "" {
			g.send(pkengine.Event{Index: i, Lost: lost})
			return
		}
		g.line = append(g.line[:0], `{"i":`...)
		g.line = strconv.AppendInt(g.line, int64(i), 10)
		g.line = append(g.line, `,"t":"`...)
		g.line = append(g.line, mark...)
		g.line = append(g.line, '.')
		g.line = strconv.AppendInt(g.line, int64(i), 10)
		g.line = append(g.line, " \"}\n"...)
		if !g.write(g.line) {
			return
		}
	}
	g.send(pkengine.Event{Index: end, End: "stop", Total: end})
}

func (g *generation) tokenTime() time.Duration {
	var t time.Duration
	for i, s := range g.stages {
		t += s.step()
		if i > 0 && g.stages[i-1].info.DataCenter != s.info.DataCenter {
			t += g.world.settings.Link
		}
	}
	return t
}

// token takes one token through all stages and returns a stage that was lost.
func (g *generation) token(key runKey, index pkid.Index) pkid.TargetID {
	var at pkid.Layer
	for _, s := range g.stages {
		next, alive := s.pass(key, index, at)
		if !alive {
			return s.info.ID
		}
		at = next
	}
	if at != g.world.layers(g.open.Model) {
		g.world.violation("token %d of %s ended after layer %d", index, key.stream, at)
	}
	return ""
}

// wait waits for d and sends beats; it says false if the stream is over.
func (g *generation) wait(d time.Duration) bool {
	for d > 0 {
		part := min(d, pkengine.BeatEvery)
		timer := time.NewTimer(part)
		select {
		case <-timer.C:
		case <-g.stop:
			timer.Stop()
			return false
		case <-g.gone:
			timer.Stop()
			return false
		}
		d -= part
		if g.stages[0].dead.Load() {
			panic(http.ErrAbortHandler)
		}
		if d > 0 && !g.send(pkengine.Event{Beat: true}) {
			return false
		}
	}
	return true
}

func (g *generation) send(ev pkengine.Event) bool {
	raw, err := json.Marshal(ev)
	return err == nil && g.write(append(raw, '\n'))
}

func (g *generation) write(line []byte) bool {
	if _, err := g.w.Write(line); err != nil {
		return false
	}
	return g.control.Flush() == nil
}

// stages returns the engines of a route, if each holds what the route says.
func (w *World) stages(o pkengine.Open) ([]*Engine, error) {
	var out []*Engine
	for _, hop := range o.Route {
		e, found := w.engines[hop.Target]
		if !found {
			return nil, fmt.Errorf("there is no engine %s", hop.Target)
		}
		e.mu.Lock()
		holds, loading := e.holds, e.loading
		e.mu.Unlock()
		if loading {
			return nil, fmt.Errorf("engine %s is about to load something else", hop.Target)
		}
		if holds.Model != o.Model || holds.Version != o.Version || holds.First != hop.First || holds.End != hop.End {
			return nil, fmt.Errorf("engine %s does not hold layers %d to %d of %s %s", hop.Target, hop.First, hop.End, o.Model, o.Version)
		}
		out = append(out, e)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("the route is empty")
	}
	return out, nil
}
