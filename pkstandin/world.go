package pkstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkplatform"
	"peridotknot.example/pktarget"
	"peridotknot.example/pktrace"
)

// World is all stand-ins together.
type World struct {
	KV       *KV
	settings Settings

	kv       *server
	platform *server
	admin    *server
	engines  map[pkid.TargetID]*Engine
	services map[pkid.TargetID]*Service
	order    []pkid.TargetID

	emptyList atomic.Bool
	timers    sync.WaitGroup
	closing   chan struct{}

	mu         sync.Mutex
	gone       map[pkid.TargetID]bool
	runs       map[string]int
	violations []string
	broken     int
	orders     int
}

// Start starts all stand-ins.
func Start(s Settings) (*World, error) {
	w := &World{
		KV:       NewKV(),
		settings: s,
		engines:  map[pkid.TargetID]*Engine{},
		services: map[pkid.TargetID]*Service{},
		closing:  make(chan struct{}),
		gone:     map[pkid.TargetID]bool{},
		runs:     map[string]int{},
	}
	for _, start := range []func() error{w.startPlatform, w.startEngines, w.startServices} {
		if err := start(); err != nil {
			w.Close()
			return nil, fmt.Errorf("start stand-ins: %w", err)
		}
	}
	return w, nil
}

func (w *World) startPlatform() error {
	var err error
	if w.kv, err = newServer(w.settings.Store, w.KV); err != nil {
		return err
	}
	if w.platform, err = newServer(w.settings.Platform, http.HandlerFunc(w.serveVMs)); err != nil {
		return err
	}
	w.admin, err = newServer(w.settings.Admin, w.adminHandler())
	return err
}

func (w *World) startEngines() error {
	for _, g := range w.settings.Engines {
		speed, found := w.settings.Kinds[g.Kind]
		if !found {
			return fmt.Errorf("kind %q has no speed", g.Kind)
		}
		for i := range g.Count {
			id := pkid.TargetID(fmt.Sprintf("%s-%d-%s-%d", g.Pool, g.First, g.Kind, i))
			e := &Engine{
				info:     pktarget.Info{ID: id, Pool: g.Pool, Kind: g.Kind, DataCenter: g.DataCenters[i%len(g.DataCenters)]},
				speed:    speed,
				world:    w,
				enforces: g.Enforces,
				holds:    pkengine.Order{Model: g.Model, Version: g.Version, Adapters: g.Adapters, First: g.First, End: g.End},
				runs:     map[runKey]pkid.Index{},
				stops:    map[runKey]chan struct{}{},
			}
			srv, err := newServer(anyPort, e)
			if err != nil {
				return err
			}
			e.srv = srv
			e.info.Addr = srv.addr
			w.engines[id] = e
			w.order = append(w.order, id)
		}
	}
	return nil
}

func (w *World) startServices() error {
	for _, g := range w.settings.Services {
		for i := range g.Count {
			id := pkid.TargetID(fmt.Sprintf("%s-%d", g.Pool, i))
			s := &Service{
				info:  pktarget.Info{ID: id, Pool: g.Pool, DataCenter: g.DataCenters[i%len(g.DataCenters)]},
				takes: g.Takes,
				max:   g.Max,
				world: w,
			}
			srv, err := newServer(anyPort, s)
			if err != nil {
				return err
			}
			s.srv = srv
			s.info.Addr = srv.addr
			w.services[id] = s
			w.order = append(w.order, id)
		}
	}
	return nil
}

// Close stops all stand-ins and waits for them.
func (w *World) Close() {
	close(w.closing)
	w.timers.Wait()
	for _, s := range w.servers() {
		if s != nil {
			s.kill()
		}
	}
}

func (w *World) servers() []*server {
	out := []*server{w.kv, w.platform, w.admin}
	for _, e := range w.engines {
		out = append(out, e.srv)
	}
	for _, s := range w.services {
		out = append(out, s.srv)
	}
	return out
}

// StoreAddr returns where the key-value service listens.
func (w *World) StoreAddr() string { return w.kv.addr }

// PlatformAddr returns where the VM list is served.
func (w *World) PlatformAddr() string { return w.platform.addr }

// AdminAddr returns where faults are set and ledgers are read.
func (w *World) AdminAddr() string { return w.admin.addr }

func (w *World) serveVMs(rw http.ResponseWriter, r *http.Request) {
	list := pkplatform.List{VMs: []pktarget.Listed{}}
	if !w.emptyList.Load() {
		list.VMs = w.listed()
	}
	raw, err := json.Marshal(list)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(raw), 16))
	if r.Header.Get("If-None-Match") == tag {
		rw.WriteHeader(http.StatusNotModified)
		return
	}
	rw.Header().Set("ETag", tag)
	_, _ = rw.Write(raw) // a caller that is gone is no fault
}

func (w *World) listed() []pktarget.Listed {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := []pktarget.Listed{}
	for _, id := range w.order {
		if w.gone[id] {
			continue
		}
		if e, found := w.engines[id]; found {
			out = append(out, pktarget.Listed{Info: e.info, Leaving: e.leaving.Load()})
		} else {
			out = append(out, pktarget.Listed{Info: w.services[id].info})
		}
	}
	return out
}

func (w *World) layers(id pkid.ModelID) pkid.Layer {
	var last pkid.Layer
	for _, g := range w.settings.Engines {
		if g.Model == id {
			last = max(last, g.End)
		}
	}
	return last
}

const keepViolations = 50

func (w *World) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken++
	if len(w.violations) < keepViolations {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

func (w *World) ran(call string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if call != "" {
		w.runs[call]++
	}
}

func (w *World) ordered(pkid.TargetID, pkengine.Order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
}

// Ledger returns what the stand-ins saw.
func (w *World) Ledger() pktrace.Ledger {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := pktrace.Ledger{Runs: map[string]int{}, Violations: append([]string{}, w.violations...), Broken: w.broken, StoreCalls: w.KV.Calls()}
	for call, n := range w.runs {
		out.Runs[call] = n
	}
	return out
}

// later calls do after d, unless the world closes before.
func (w *World) later(d time.Duration, do func()) {
	w.timers.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			do()
		case <-w.closing:
		}
	})
}
