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

// Speed describes the speed and the batch size of a kind of accelerator.
type Speed struct {
	// Base is the time of a decode step and PerSeq the additional time for each sequence of the
	// batch, both per layer. Prefill is the time per prompt token and layer.
	Base    time.Duration `yaml:"base"`
	PerSeq  time.Duration `yaml:"per_seq"`
	Prefill time.Duration `yaml:"prefill"`
	// Batch is the maximum number of sequences in a batch.
	Batch int `yaml:"batch"`
}

// Engine is a stand-in for a model engine that serves a range of layers.
type Engine struct {
	info  pktarget.Info
	speed Speed
	env   *Environment
	srv   *server

	mu              sync.Mutex
	current         pkengine.Order
	pending         pkengine.Order
	fencingToken    pkid.FencingToken
	enforcesFencing bool
	boot            int
	nextIndex       map[attemptKey]pkid.TokenIndex
	cancels         map[attemptKey]chan struct{}
	loading         bool

	active     atomic.Int64
	dead       atomic.Bool
	leaving    atomic.Bool
	extraDelay atomic.Int64
}

// attemptKey identifies an attempt of a stream.
type attemptKey struct {
	stream  pkid.RequestID
	attempt pkid.Attempt
}

// ServeHTTP handles the requests of the engine contract.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == pkengine.PathStreams:
		e.open(w, r)
	case r.Method == http.MethodDelete:
		e.cancel(r)
	case r.URL.Path == pkengine.PathLoad:
		_ = json.NewEncoder(w).Encode(e.load()) // the client may have disconnected
	case r.URL.Path == pkengine.PathOrders:
		e.order(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) layers() pkid.Range {
	e.mu.Lock()
	defer e.mu.Unlock()
	return pkid.Range{First: e.current.First, End: e.current.End}
}

func (e *Engine) load() pkengine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := time.Duration(e.current.End - e.current.First)
	active := int(e.active.Load())
	return pkengine.Load{
		Target:    e.info.ID,
		Model:     e.current.Model,
		Version:   e.current.Version,
		Adapters:  e.current.Adapters,
		Role:      e.current.Role,
		First:     e.current.First,
		End:       e.current.End,
		Active:    min(active, e.speed.Batch),
		Queued:    max(active-e.speed.Batch, 0),
		MaxBatch:  e.speed.Batch,
		StepUS:    (n * (e.speed.Base + time.Duration(active)*e.speed.PerSeq)).Microseconds(),
		PerSeqUS:  (n * e.speed.PerSeq).Microseconds(),
		PrefillUS: (n * e.speed.Prefill).Microseconds(),
		Leaving:   e.leaving.Load(),
		Loading:   e.loading,
		Fence:     e.fencingToken,
		Boot:      strconv.Itoa(e.boot),
	}
}

// step returns the time of one token in this engine. With more sequences than the batch holds, the
// sequences take turns and the time grows in proportion.
func (e *Engine) step() time.Duration {
	active := int(e.active.Load())
	n := time.Duration(e.layers().Len())
	t := n * (e.speed.Base + time.Duration(min(active, e.speed.Batch))*e.speed.PerSeq)
	if active > e.speed.Batch {
		t = t * time.Duration(active) / time.Duration(e.speed.Batch)
	}
	return t + time.Duration(e.extraDelay.Load())
}

func (e *Engine) open(w http.ResponseWriter, r *http.Request) {
	var o pkengine.OpenRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stages, err := e.env.stages(o)
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
	key := attemptKey{stream: o.Stream, attempt: o.Attempt}
	stop := e.register(key)
	defer e.unregister(key)
	for _, s := range stages {
		s.active.Add(1)
		defer s.active.Add(-1)
	}
	// An order may have arrived since the route was checked. Now that the stream counts as active, the
	// engines drain it before they load.
	if _, err := e.env.stages(o); err != nil {
		w.Header().Set(pkengine.HeaderNotStarted, "true")
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	g := &generation{env: e.env, open: o, stages: stages, w: w, control: control, stop: stop, disconnected: r.Context().Done()}
	g.run()
}

func (e *Engine) register(key attemptKey) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	stop := make(chan struct{})
	e.cancels[key] = stop
	return stop
}

func (e *Engine) unregister(key attemptKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, key)
}

func (e *Engine) cancel(r *http.Request) {
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		return
	}
	key := attemptKey{stream: pkid.RequestID(r.URL.Path[len(pkengine.PathStreams)+1:]), attempt: pkid.Attempt(attempt)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop, found := e.cancels[key]; found {
		close(stop)
		delete(e.cancels, key)
	}
}

// processToken runs the engine's layers for a token. It records a violation if from is not the first
// layer of the engine or index is not the next token of the attempt. It returns the end of the range
// and whether the engine is alive.
func (e *Engine) processToken(key attemptKey, index pkid.TokenIndex, from pkid.Layer) (pkid.Layer, bool) {
	if e.dead.Load() {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if from != e.current.First {
		e.env.recordViolation("%s: token %d of %s came with layer %d, this engine begins at %d", e.info.ID, index, key.stream, from, e.current.First)
	}
	if next, found := e.nextIndex[key]; found && index != next {
		e.env.recordViolation("%s: token %d of %s came, %d was next", e.info.ID, index, key.stream, next)
	}
	e.nextIndex[key] = index + 1
	return e.current.End, true
}

func (e *Engine) forget(key attemptKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.nextIndex, key)
}

// order accepts an order. An order that arrives during loading replaces the pending one.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o pkengine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.enforcesFencing && o.Fence < e.fencingToken {
		e.mu.Unlock()
		http.Error(w, "an order with a higher fencing number came before", http.StatusConflict)
		return
	}
	e.fencingToken = max(e.fencingToken, o.Fence)
	e.env.recordOrder(e.info.ID, o)
	if e.loading {
		e.pending = o
		e.mu.Unlock()
		return
	}
	if o.SatisfiedBy(pkengine.Load{Model: e.current.Model, Version: e.current.Version, Adapters: e.current.Adapters, Role: e.current.Role, First: e.current.First, End: e.current.End}) {
		e.mu.Unlock()
		return
	}
	e.loading = true
	e.pending = o
	boot := e.boot
	e.mu.Unlock()
	e.drain(boot)
}

const drainPoll = 20 * time.Millisecond

// drain waits until the active streams have ended and then starts loading.
func (e *Engine) drain(boot int) {
	e.env.after(drainPoll, func() {
		if e.active.Load() > 0 {
			e.drain(boot)
			return
		}
		e.mu.Lock()
		e.current = pkengine.Order{}
		e.mu.Unlock()
		e.env.after(e.env.settings.LoadTime, func() { e.finishLoad(boot) })
	})
}

func (e *Engine) finishLoad(boot int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.current = e.pending
		e.loading = false
	}
}

// generation is an attempt of a stream, run by the first engine of the route.
type generation struct {
	env          *Environment
	open         pkengine.OpenRequest
	stages       []*Engine
	w            http.ResponseWriter
	control      *http.ResponseController
	stop         <-chan struct{}
	disconnected <-chan struct{}
	line         []byte
}

func (g *generation) run() {
	key := attemptKey{stream: g.open.Stream, attempt: g.open.Attempt}
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
	mark := pktrace.TokenMark(g.open.Prompt)
	end := pkid.TokenIndex(g.open.MaxTokens)
	for i := g.open.Next; i < end; i++ {
		if !g.wait(g.tokenTime()) {
			return
		}
		if lost := g.runToken(key, i); lost != "" {
			g.send(pkengine.Event{Index: i, LostStage: lost})
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
			t += g.env.settings.LinkDelay
		}
	}
	return t
}

// runToken runs a token through all stages. It returns the ID of the first stage that is dead, or ""
// if all are alive.
func (g *generation) runToken(key attemptKey, index pkid.TokenIndex) pkid.TargetID {
	var at pkid.Layer
	for _, s := range g.stages {
		next, alive := s.processToken(key, index, at)
		if !alive {
			return s.info.ID
		}
		at = next
	}
	if at != g.env.layers(g.open.Model) {
		g.env.recordViolation("token %d of %s ended after layer %d", index, key.stream, at)
	}
	return ""
}

// wait waits for d and sends heartbeats. It returns false if the stream was canceled or the client
// has disconnected.
func (g *generation) wait(d time.Duration) bool {
	for d > 0 {
		part := min(d, pkengine.HeartbeatInterval)
		timer := time.NewTimer(part)
		select {
		case <-timer.C:
		case <-g.stop:
			timer.Stop()
			return false
		case <-g.disconnected:
			timer.Stop()
			return false
		}
		d -= part
		if g.stages[0].dead.Load() {
			panic(http.ErrAbortHandler)
		}
		if d > 0 && !g.send(pkengine.Event{Heartbeat: true}) {
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

// stages returns the engines of a route. It fails unless each engine has loaded the model, version
// and layers that the route names.
func (env *Environment) stages(o pkengine.OpenRequest) ([]*Engine, error) {
	var out []*Engine
	for _, hop := range o.Route {
		e, found := env.engines[hop.Target]
		if !found {
			return nil, fmt.Errorf("there is no engine %s", hop.Target)
		}
		e.mu.Lock()
		current, loading := e.current, e.loading
		e.mu.Unlock()
		if loading {
			return nil, fmt.Errorf("engine %s is about to load something else", hop.Target)
		}
		if current.Model != o.Model || current.Version != o.Version || current.First != hop.First || current.End != hop.End {
			return nil, fmt.Errorf("engine %s does not hold layers %d to %d of %s %s", hop.Target, hop.First, hop.End, o.Model, o.Version)
		}
		out = append(out, e)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("the route is empty")
	}
	return out, nil
}
