package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

const (
	// fleetEntries and fleetEngines are the sizes of a fleet under a soak of retries.
	fleetEntries = 8
	fleetEngines = 12
	fleetCalls   = 3
	// clientPause is the mean time between two requests of a client.
	clientPause = 150 * time.Millisecond
)

// retryFleet is a fleet of entry processes before targets that fail all that they run, so that each request wants
// another send. Each entry reaches the store through a proxy of its own.
type retryFleet struct {
	t       *testing.T
	program string
	random  *rand.Rand
	w       *platformtest.Platform
	bound   platformtest.RetryBound
	entries []*fleetEntry
	calls   []*platformtest.Replica
	engines []*platformtest.Replica
	// stopping is held while the targets of calls are stopped.
	stopping sync.Mutex
	// timeBudget is the time that clients give each request.
	timeBudget time.Duration
	gone       atomic.Bool
	clients    sync.WaitGroup
	requests   atomic.Int64

	mu sync.Mutex
	// sent are the times at which clients sent requests, by service.
	sent map[string][]time.Time
}

// fleetEntry is an entry whose process may be replaced.
type fleetEntry struct {
	settings string
	callers  string
	// store is the proxy through which the entry reaches the store.
	store *platformtest.Proxy

	// replacing is held while the process is replaced.
	replacing sync.Mutex

	mu      sync.Mutex
	process *process
	runs    []*process
}

// lastPort is the last port that freeAddr has tried; the system uses ports above maxPort for outgoing connections.
var lastPort atomic.Int64

const (
	minPort = 20_000
	maxPort = 32_000
)

// freeAddr returns an address on the loopback interface that nothing listens on, and another one at each call.
func freeAddr(t *testing.T) string {
	t.Helper()
	lastPort.CompareAndSwap(0, minPort+rand.Int64N((maxPort-minPort)/2))
	for port := lastPort.Add(1); port < maxPort; port = lastPort.Add(1) {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			assert.NilError(t, l.Close())
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

func newRetryFleet(t *testing.T, seed uint64, bound platformtest.RetryBound) *retryFleet {
	t.Helper()
	f := &retryFleet{
		t: t, program: filepath.Join(buildPrograms(t), "peridotknot-edge"), random: rand.New(rand.NewPCG(seed, 0)),
		w: platformtest.NewPlatform(), bound: bound, sent: map[string][]time.Time{}, timeBudget: waitTimeout,
	}
	t.Cleanup(f.w.Close)
	for i := range fleetEngines {
		f.engines = append(f.engines, f.w.Add(platformtest.Pool, fmt.Sprintf("i-%d", i), string(rune('a'+i%3))))
	}
	for i := range fleetCalls {
		r := f.w.Add(platformtest.App, fmt.Sprintf("app-%d", i), "a")
		r.SetBehavior(platformtest.ServerError)
		f.calls = append(f.calls, r)
	}
	var peers []string
	for range fleetEntries {
		peers = append(peers, freeAddr(t))
	}
	for i := range fleetEntries {
		e := &fleetEntry{callers: freeAddr(t), store: platformtest.NewProxy(f.w.Store.Addr())}
		t.Cleanup(e.store.Close)
		e.settings = strings.Join([]string{
			fmt.Sprintf("entry: e-%d", i), "data_center: " + string(rune('a'+i%3)), "store: " + e.store.Addr(),
			fmt.Sprintf("listen: {callers: %s, ready: 127.0.0.1:0, peers: %s}", e.callers, peers[i]),
			fmt.Sprintf("seeds: [%s]", strings.Join(peers, ", ")), "stop: {grace_s: 6}",
			fmt.Sprintf("retry: {ratio: %g, window_s: %g, slack: %g}", bound.Ratio, bound.Window.Seconds(), bound.Slack), "",
		}, "\n")
		f.entries = append(f.entries, e)
		e.start(t, f.program)
	}
	for _, e := range f.entries {
		f.awaitReady(e)
	}
	eventually(t, "all replicas registered", func() bool { return len(f.w.Store.Keys("servers/")) == fleetEngines+fleetCalls })
	return f
}

func (f *retryFleet) awaitReady(e *fleetEntry) {
	url := "http://" + e.current().address(f.t, "serving", "ready") + "/readiness"
	eventually(f.t, "readiness", func() bool { return answersOK(url) })
}

func (e *fleetEntry) current() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// start starts a new process of the entry.
func (e *fleetEntry) start(t *testing.T, program string) {
	t.Helper()
	p := startProcess(t, program, e.settings)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = p
	e.runs = append(e.runs, p)
}

// restart ends the process of an entry by a signal and starts another one.
func (f *retryFleet) restart(e *fleetEntry, s syscall.Signal) {
	p := e.current()
	p.signal(s)
	p.signal(syscall.SIGCONT)
	eventually(f.t, "the end of the process", func() bool { return !p.running() })
	e.start(f.t, f.program)
}

// pause stops the process of an entry for a time.
func (f *retryFleet) pause(e *fleetEntry, d time.Duration) {
	p := e.current()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// serve sends requests to all entries until the fleet is closed.
func (f *retryFleet) serve() {
	f.t.Cleanup(f.stopClients) // a check may have failed meanwhile
	for i, e := range f.entries {
		for n := range 3 {
			f.clients.Go(func() { f.client(e, rand.New(rand.NewPCG(uint64(i), uint64(n))), n == 0) })
		}
	}
}

// client sends requests over connections that it keeps, each without waiting for the answers before.
func (f *retryFleet) client(e *fleetEntry, random *rand.Rand, stream bool) {
	c := &http.Client{Transport: &http.Transport{}, Timeout: min(f.timeBudget, 5*time.Second)}
	defer c.CloseIdleConnections()
	path, service, tokens := "/read/1", platformtest.App, 0
	if stream {
		path, service, tokens = "/talk/1", platformtest.Pool, 20
	}
	var inProgress sync.WaitGroup
	defer inProgress.Wait()
	for !f.gone.Load() {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(clientPause)))
		id := fmt.Sprintf("r-%d", f.requests.Add(1))
		f.mu.Lock()
		f.sent[service] = append(f.sent[service], time.Now())
		f.mu.Unlock()
		inProgress.Go(func() {
			req, err := platformtest.NewRequest(f.t.Context(), http.MethodPost, "http://"+e.callers+path, id, platformtest.Key, tokens, f.timeBudget, strings.NewReader("body of "+id))
			if err != nil {
				f.t.Error(err)
				return
			}
			_, _, _ = send(c, req) // most fail
		})
	}
}

// stopClients ends all clients.
func (f *retryFleet) stopClients() {
	f.gone.Store(true)
	f.clients.Wait()
}

// check fails the test if a service got more retries in a window than the bound allows.
func (f *retryFleet) check() {
	f.t.Helper()
	f.stopClients()
	arrivals := f.w.Arrivals()
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, sent := range f.sent {
		worst := f.bound.Worst(service, arrivals, sent)
		f.t.Logf("%s: %d requests, at most %d retries for %d requests in a window from %s, allowed %.0f", service, len(sent), worst.Retries, worst.Requests, worst.From.Format("05.000"), worst.Allowed)
		if worst.Excess() > 0 {
			f.t.Errorf("%s: %d retries for %d requests in the window from %s, allowed %.0f", service, worst.Retries, worst.Requests, worst.From.Format("05.000"), worst.Allowed)
		}
	}
	f.logShares()
}

// logShares logs with how many entries the processes have shared the bound.
func (f *retryFleet) logShares() {
	for i, e := range f.entries {
		for run, p := range e.runs {
			shares := map[any]int{}
			for _, line := range p.log.lines("retry budget is spent") {
				shares[line["entries"]]++
			}
			f.t.Logf("e-%d run %d: budget spent, by entries: %v, replaced %d times", i, run, shares, len(p.log.lines("another process has registered this entry")))
		}
	}
}

// shortBound is a bound with a short window, so that a test of several windows is short.
var shortBound = platformtest.RetryBound{Ratio: 0.2, Slack: 60, Window: 3 * time.Second}

// play plays faults while clients send requests, and checks the bound over the whole time.
func (f *retryFleet) play(faults func()) {
	f.t.Helper()
	f.serve()
	time.Sleep(f.bound.Window)
	faults()
	time.Sleep(2 * f.bound.Window)
	f.check()
}

// cut silences the links of entries to the store for a time.
func (f *retryFleet) cut(d time.Duration, entries ...*fleetEntry) {
	for _, e := range entries {
		e.store.Silence(true)
	}
	time.Sleep(d)
	for _, e := range entries {
		e.store.Silence(false)
	}
}

// pauseAll stops the processes of entries for a time.
func (f *retryFleet) pauseAll(d time.Duration, entries ...*fleetEntry) {
	var paused sync.WaitGroup
	for _, e := range entries {
		paused.Go(func() { f.pause(e, d) })
	}
	paused.Wait()
}

// twin starts another process of an entry at other addresses.
func (f *retryFleet) twin(of *fleetEntry) *fleetEntry {
	f.t.Helper()
	e := &fleetEntry{callers: freeAddr(f.t), store: of.store}
	listen := fmt.Sprintf("listen: {callers: %s, ready: 127.0.0.1:0, peers: %s}", e.callers, freeAddr(f.t))
	for line := range strings.Lines(of.settings) {
		if strings.HasPrefix(line, "listen: ") {
			line = listen + "\n"
		}
		e.settings += line
	}
	e.start(f.t, f.program)
	f.awaitReady(e)
	return e
}

// stopCalls stops all targets of calls for a time.
func (f *retryFleet) stopCalls(d time.Duration) { f.stopTargets(d, f.calls...) }

// stopTargets stops targets for a time.
func (f *retryFleet) stopTargets(d time.Duration, targets ...*platformtest.Replica) {
	f.stopping.Lock()
	defer f.stopping.Unlock()
	var resume []func()
	for _, r := range targets {
		resume = append(resume, r.Stop())
	}
	time.Sleep(d)
	for _, one := range resume {
		one()
	}
}

// behave lets targets behave in one way for a time and in another one after that.
func behave(d time.Duration, targets []*platformtest.Replica, during, after platformtest.Behavior) {
	for _, r := range targets {
		r.SetBehavior(during)
	}
	time.Sleep(d)
	for _, r := range targets {
		r.SetBehavior(after)
	}
}

const (
	// entryFaults is the number of kinds of faults of entries and the store, targetFaults that with those of all targets of a
	// service, allFaults that with those of some targets and with connections that are reset.
	entryFaults  = 6
	targetFaults = 8
	allFaults    = 11
)

// fault does one random thing, of a number of kinds, to random entries, the store or the targets.
func (f *retryFleet) fault(kinds int) {
	f.mu.Lock()
	entries := append([]*fleetEntry(nil), f.entries...)
	f.random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	some := entries[:1+f.random.IntN(len(entries)-2)]
	kind, span := f.random.IntN(kinds), time.Duration(500+f.random.IntN(20_000))*time.Millisecond
	f.mu.Unlock()
	switch kind {
	case 0:
		f.w.Store.Refuse(true)
		time.Sleep(span)
		f.w.Store.Refuse(false)
	case 1:
		f.cut(span, some...)
	case 2:
		f.pauseAll(span, some...)
	case 3:
		f.pauseAll(span/8, some...)
	case 4, 5:
		for _, e := range some {
			e.replacing.Lock()
			f.restart(e, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[kind-4])
			e.replacing.Unlock()
		}
	case 6:
		f.stopCalls(span / 2)
	case 7:
		behave(span, f.engines, platformtest.HeadersOnly, platformtest.Normal)
	case 8:
		f.stopTargets(span/4, f.someOf(f.calls)...)
	case 9:
		f.stopTargets(span/8, f.someOf(f.engines)...)
	default:
		behave(span, f.calls, platformtest.ResetBeforeBody, platformtest.ServerError)
	}
}

// someOf returns some of the targets, but not all.
func (f *retryFleet) someOf(targets []*platformtest.Replica) []*platformtest.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	some := slices.Clone(targets)
	f.random.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:1+f.random.IntN(len(some)-1)]
}

func (f *retryFleet) pauseBetweenFaults() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.IntN(4000)) * time.Millisecond
}
