package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// crowd: many clients are served at once and keep their connections, then others come. The connections to replicas that
// the first ones needed stay open, and the process has no descriptor left for new connections.
func crowd(w *world) (bool, error) {
	const (
		first   = 1500
		second  = 1560
		work    = 3 * time.Second
		contact = 3 * time.Second // contact_ms
		triers  = 10
		watched = 9 * time.Second
	)
	w.start(func(config map[string]any) {
		config["services"].([]any)[0].(map[string]any)["max_conns"] = 1128
	})
	for n := range 20 {
		if err := w.addReplica(fmt.Sprintf("i-7f3a91%02d", n+1), modePlain); err != nil {
			return false, err
		}
	}
	w.descriptors, w.memoryMB = 4100, 536 // both within the sheet of aare-vote-grown
	if err := w.addEdges(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	e := w.edges[0]
	checks := w.watchReadiness(e)
	defer checks.stop()
	var conns sync.Map
	defer conns.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
	gather := func(n int, over time.Duration, path string) (answered int64) {
		var wg sync.WaitGroup
		var count atomic.Int64
		for i := range n {
			wg.Go(func() {
				time.Sleep(over * time.Duration(i) / time.Duration(n))
				c, err := net.DialTimeout("tcp", e.front, 2*time.Second)
				if err != nil {
					return
				}
				conns.Store(c, true)
				if w.exchange(c, path, 5*time.Second) == http.StatusOK {
					count.Add(1)
				}
			})
		}
		wg.Wait()
		return count.Load()
	}
	if w.trouble {
		w.note("%d clients come at once and keep their connections: %d served, %d descriptors in use", first, gather(first, 0, fmt.Sprintf("/ballot/%d/1", work.Milliseconds())), descriptorsOf(e))
		go func() {
			w.note("%d further clients come and keep their connections: %d served", second, gather(second, 3*time.Second, "/record/10/1"))
		}()
		time.Sleep(3 * time.Second)
	}
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var taken []time.Duration
	tried := 0
	for range triers {
		wg.Go(func() {
			for time.Since(began) < watched {
				at := time.Since(began)
				c, err := net.DialTimeout("tcp", e.front, time.Second)
				status := 0
				if err == nil {
					status = w.exchange(c, "/record/10/1", time.Second)
					_ = c.Close()
				}
				mu.Lock()
				tried++
				if status != 0 {
					taken = append(taken, at)
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	longest, last := time.Duration(0), time.Duration(0)
	for _, at := range append(taken, watched) {
		longest, last = max(longest, at-last), max(last, at)
	}
	w.note("%d clients tried %d times for %v; %d connections were taken, none for %v", triers, tried, watched, len(taken), longest)
	if longest >= contact && !checks.allReady() {
		return false, errors.New("the process does not say that it is ready")
	}
	return longest >= contact, nil
}

// readiness is what the checks of a process have shown, over one connection that is kept.
type readiness struct {
	done chan struct{}
	mu   sync.Mutex
	not  int
	n    int
}

func (r *readiness) stop() { close(r.done) }

func (r *readiness) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n > 0 && r.not == 0
}

func (w *world) watchReadiness(e *edge) *readiness {
	r := &readiness{done: make(chan struct{})}
	go func() {
		client := http.Client{Timeout: time.Second}
		for {
			resp, err := client.Get("http://" + e.ready + "/readiness")
			status := 0
			if err == nil {
				_ = resp.Body.Close()
				status = resp.StatusCode
			}
			w.note("%s: readiness %d, %d descriptors in use", e.name, status, descriptorsOf(e))
			r.mu.Lock()
			r.n++
			if status != http.StatusOK {
				r.not++
			}
			r.mu.Unlock()
			select {
			case <-r.done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return r
}

// exchange sends a request over a connection, and returns the status of its answer or zero.
func (w *world) exchange(c net.Conn, path string, within time.Duration) int {
	_ = c.SetDeadline(time.Now().Add(within))
	id := nextID()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nPeridotknot-Attempt-Id: %s\r\nPeridotknot-Time-Budget-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n", path, host, id, within.Milliseconds(), apiKey); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// descriptorsOf returns the number of descriptors that a process uses.
func descriptorsOf(e *edge) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// limitDescriptors gives a process of this script no more descriptors than its machine has.
func limitDescriptors(e *edge, n uint64) error {
	return unix.Prlimit(e.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
}
