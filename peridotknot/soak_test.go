package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/platform/platformtest"
)

var (
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds that the soak of signals plays")
	soakFirst = flag.Uint64("soak.first", 1, "first seed that the soak of signals plays")
)

// soak is an entry daemon under signals and changes, with clients that use their connections until its process is gone.
type soak struct {
	random  *rand.Rand
	w       *platformtest.Platform
	p       *process
	addr    string
	gone    atomic.Bool
	answers atomic.Int64
}

// settings returns a settings file with a grace period that is long enough for all requests.
func (s *soak) settings() string {
	return strings.Join([]string{
		"entry: e-1", "data_center: a", "store: " + s.w.Store.Addr(),
		"listen: {callers: 127.0.0.1:0, ready: 127.0.0.1:0, peers: 127.0.0.1:0}",
		fmt.Sprintf("stop: {grace_s: %d}", 6+s.random.IntN(4)),
		fmt.Sprintf("retry: {ratio: 0.2, window_s: 10, slack: %d}", 200+s.random.IntN(100)), "",
	}, "\n")
}

// disturb does one random thing to the running process.
func (s *soak) disturb(t *testing.T) {
	switch s.random.IntN(6) {
	case 0:
		s.p.writeSettings(t, s.settings())
	case 1:
		s.p.writeSettings(t, "entry: [")
	case 2:
		if err := os.Remove(s.p.file); err != nil && !os.IsNotExist(err) {
			t.Error(err)
		}
	case 3:
		size := 16384 + s.random.IntN(4)*4096
		s.w.Configure(func(config map[string]any) {
			config["limits"] = map[string]any{"max_header_bytes": size, "max_body_bytes": 4096, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
		})
	default:
		s.p.signal(syscall.SIGHUP)
	}
}

// stop sends SIGTERM or SIGINT, and further signals until the process is gone.
func (s *soak) stop(t *testing.T) {
	stops := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}
	s.p.signal(stops[s.random.IntN(len(stops))])
	for s.p.running() {
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
		if s.random.IntN(3) == 0 {
			s.p.signal(stops[s.random.IntN(len(stops))])
		} else {
			s.disturb(t)
		}
	}
}

// client sends requests over one connection until the process is gone, and reports those that a target ran and that have no
// whole answer.
func (s *soak) client(t *testing.T, name string, stream bool) {
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	const events = 100
	for i := 0; !s.gone.Load(); i++ {
		id, path, tokens := fmt.Sprintf("%s-%d", name, i), "/book/1", 0
		if stream {
			path, tokens = "/talk/1", events
		}
		req, err := platformtest.NewRequest(t.Context(), http.MethodPost, "http://"+s.addr+path, id, platformtest.Key, tokens, waitTimeout, strings.NewReader("body of "+id))
		if err != nil {
			t.Error(err)
			return
		}
		status, body, err := send(c, req)
		whole := body == platformtest.ResponseBody(id)
		if stream {
			whole = strings.Count(body, "data:") == events
		}
		switch {
		case err == nil && status == http.StatusOK && whole:
			s.answers.Add(1)
		case len(s.w.Runs(id)) > 0:
			t.Errorf("%s ran and has no whole answer: status %d, %d bytes, %v", id, status, len(body), err)
		case err == nil && status != http.StatusServiceUnavailable:
			t.Errorf("%s: status %d: %s", id, status, body)
		}
	}
}

// Guards against requests that signals, changes of the settings and of the configuration cut, in any order and at any time,
// and against a process that they end in another way than by its planned stop.
func TestSoakOfSignals(t *testing.T) {
	d := deployments(t)["peridotknot-edge"]
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := platformtest.NewPlatform()
			t.Cleanup(w.Close)
			for i := range 6 {
				w.Add(platformtest.Pool, fmt.Sprintf("i-%d", i), "a")
			}
			w.Add(platformtest.App, "app-0", "a")
			s := &soak{random: rand.New(rand.NewPCG(seed, 0)), w: w}
			s.p = startProcess(t, d.program, s.settings())
			s.addr = d.awaitReady(t, s.p)
			var clients sync.WaitGroup
			for i := range 8 {
				clients.Go(func() { s.client(t, fmt.Sprintf("client-%d", i), i%2 == 0) })
			}
			for range 20 {
				time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
				s.disturb(t)
			}
			s.stop(t)
			s.gone.Store(true)
			clients.Wait()
			s.p.awaitExit(t)
			assert.Assert(t, s.answers.Load() > 0)
		})
	}
}
