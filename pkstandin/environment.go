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

// Environment runs a set of stand-ins.
type Environment struct {
	KV       *KV
	settings Settings

	kv        *server
	platform  *server
	admin     *server
	engines   map[pkid.TargetID]*Engine
	services  map[pkid.TargetID]*Service
	listOrder []pkid.TargetID

	emptyList atomic.Bool
	timers    sync.WaitGroup
	closing   chan struct{}

	mu             sync.Mutex
	removed        map[pkid.TargetID]bool
	callRuns       map[string]int
	violations     []string
	violationCount int
	orders         int
}

// Start starts all stand-ins. If one fails to start, the others are stopped.
func Start(s Settings) (*Environment, error) {
	env := &Environment{
		KV:       NewKV(),
		settings: s,
		engines:  map[pkid.TargetID]*Engine{},
		services: map[pkid.TargetID]*Service{},
		closing:  make(chan struct{}),
		removed:  map[pkid.TargetID]bool{},
		callRuns: map[string]int{},
	}
	for _, start := range []func() error{env.startPlatform, env.startEngines, env.startServices} {
		if err := start(); err != nil {
			env.Close()
			return nil, fmt.Errorf("start stand-ins: %w", err)
		}
	}
	return env, nil
}

func (env *Environment) startPlatform() error {
	var err error
	if env.kv, err = newServer(env.settings.Store, env.KV); err != nil {
		return err
	}
	if env.platform, err = newServer(env.settings.Platform, http.HandlerFunc(env.serveVMs)); err != nil {
		return err
	}
	env.admin, err = newServer(env.settings.Admin, env.adminHandler())
	return err
}

func (env *Environment) startEngines() error {
	for _, g := range env.settings.Engines {
		speed, found := env.settings.Kinds[g.Kind]
		if !found {
			return fmt.Errorf("kind %q has no speed", g.Kind)
		}
		for i := range g.Count {
			id := pkid.TargetID(fmt.Sprintf("%s-%d-%s-%d", g.Pool, g.First, g.Kind, i))
			e := &Engine{
				info:            pktarget.Info{ID: id, Pool: g.Pool, Kind: g.Kind, DataCenter: g.DataCenters[i%len(g.DataCenters)]},
				speed:           speed,
				env:             env,
				enforcesFencing: g.EnforcesFencing,
				current:         pkengine.Order{Model: g.Model, Version: g.Version, Adapters: g.Adapters, First: g.First, End: g.End},
				nextIndex:       map[attemptKey]pkid.TokenIndex{},
				cancels:         map[attemptKey]chan struct{}{},
			}
			srv, err := newServer(anyPort, e)
			if err != nil {
				return err
			}
			e.srv = srv
			e.info.Addr = srv.addr
			env.engines[id] = e
			env.listOrder = append(env.listOrder, id)
		}
	}
	return nil
}

func (env *Environment) startServices() error {
	for _, g := range env.settings.Services {
		for i := range g.Count {
			id := pkid.TargetID(fmt.Sprintf("%s-%d", g.Pool, i))
			s := &Service{
				info:           pktarget.Info{ID: id, Pool: g.Pool, DataCenter: g.DataCenters[i%len(g.DataCenters)]},
				processingTime: g.ProcessingTime,
				max:            g.Max,
				env:            env,
			}
			srv, err := newServer(anyPort, s)
			if err != nil {
				return err
			}
			s.srv = srv
			s.info.Addr = srv.addr
			env.services[id] = s
			env.listOrder = append(env.listOrder, id)
		}
	}
	return nil
}

// Close stops all stand-ins and waits for their termination.
func (env *Environment) Close() {
	close(env.closing)
	env.timers.Wait()
	for _, s := range env.servers() {
		if s != nil {
			s.kill()
		}
	}
}

func (env *Environment) servers() []*server {
	out := []*server{env.kv, env.platform, env.admin}
	for _, e := range env.engines {
		out = append(out, e.srv)
	}
	for _, s := range env.services {
		out = append(out, s.srv)
	}
	return out
}

// StoreAddr returns the address of the key-value service.
func (env *Environment) StoreAddr() string { return env.kv.addr }

// PlatformAddr returns the address of the VM list.
func (env *Environment) PlatformAddr() string { return env.platform.addr }

// AdminAddr returns the address of the admin interface.
func (env *Environment) AdminAddr() string { return env.admin.addr }

func (env *Environment) serveVMs(rw http.ResponseWriter, r *http.Request) {
	list := pkplatform.List{VMs: []pktarget.ListedTarget{}}
	if !env.emptyList.Load() {
		list.VMs = env.listedTargets()
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
	_, _ = rw.Write(raw) // the client may have disconnected
}

func (env *Environment) listedTargets() []pktarget.ListedTarget {
	env.mu.Lock()
	defer env.mu.Unlock()
	out := []pktarget.ListedTarget{}
	for _, id := range env.listOrder {
		if env.removed[id] {
			continue
		}
		if e, found := env.engines[id]; found {
			out = append(out, pktarget.ListedTarget{Info: e.info, Leaving: e.leaving.Load()})
		} else {
			out = append(out, pktarget.ListedTarget{Info: env.services[id].info})
		}
	}
	return out
}

func (env *Environment) layers(id pkid.ModelID) pkid.Layer {
	var last pkid.Layer
	for _, g := range env.settings.Engines {
		if g.Model == id {
			last = max(last, g.End)
		}
	}
	return last
}

const maxViolations = 50

func (env *Environment) recordViolation(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.violationCount++
	if len(env.violations) < maxViolations {
		env.violations = append(env.violations, fmt.Sprintf(format, args...))
	}
}

func (env *Environment) recordCall(call string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if call != "" {
		env.callRuns[call]++
	}
}

func (env *Environment) recordOrder(pkid.TargetID, pkengine.Order) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.orders++
}

// Ledger returns the recorded calls and violations.
func (env *Environment) Ledger() pktrace.Ledger {
	env.mu.Lock()
	defer env.mu.Unlock()
	out := pktrace.Ledger{Runs: map[string]int{}, Violations: append([]string{}, env.violations...), ViolationCount: env.violationCount, StoreCalls: env.KV.Calls()}
	for call, n := range env.callRuns {
		out.Runs[call] = n
	}
	return out
}

// after calls do after d, unless the stand-ins are closed first.
func (env *Environment) after(d time.Duration, do func()) {
	env.timers.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			do()
		case <-env.closing:
		}
	})
}
