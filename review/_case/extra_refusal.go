package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// extraShare is the share of the replicas' answers that come twice, and extraTime how long.
	extraShare = 0.03
	extraTime  = 5 * time.Second
	// refusedEach is how often a first engine refuses a request since a later one is short of memory.
	refusedEach = 10
)

// extraRefusal is the state of the engines of the case.
type extraRefusal struct {
	r       *run
	engines map[string]*replica
	client  int

	mu       sync.Mutex
	extra    bool
	answers  int
	extras   int
	arrivals int
	refused  map[string]bool
	runs     map[string][]string
}

// serve serves a request at the first engine of its path.
func (s *extraRefusal) serve(p *replica, x *exchange) {
	hops := s.hops(x)
	if fault := s.faulty(hops); fault != "" {
		s.refuse(p, x, fault, false)
		return
	}
	s.mu.Lock()
	s.arrivals++
	short := len(hops) > 1 && s.arrivals%refusedEach == 0 && !s.refused[x.id]
	if short {
		s.refused[x.id] = true
	}
	again := s.extra && float64(s.extras+1) <= extraShare*float64(s.answers+1)
	if short && again {
		s.extras++
	}
	s.answers++
	s.mu.Unlock()
	if short {
		s.refuse(p, x, hops[1], again)
		return
	}
	stream(x, 10, 60*time.Millisecond, 20*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs[x.id] = append(s.runs[x.id], p.id)
		s.r.logf("%s runs %s, path %s", p.id, x.id, x.req.Header.Get("Peridotknot-Hop-Count"))
	})
}

// refuse refuses a request on behalf of the engine at an address. With again set, the same response comes once more
// where the next one is expected.
func (s *extraRefusal) refuse(p *replica, x *exchange, fault string, again bool) {
	text := "HTTP/1.1 503 Service Unavailable\r\nPeridotknot-Attempt-Id: " + x.id + "\r\nPeridotknot-Not-Executed: 1\r\nAt-Server: " + fault + "\r\nContent-Length: 0\r\n\r\n"
	if again {
		x.conn.late = text
	}
	s.r.logf("%s refuses %s, short of memory: %s; the response comes twice: %v", p.id, x.id, fault, again)
	x.conn.write(text)
}

// hops returns the addresses of the engines of a request's path.
func (s *extraRefusal) hops(x *exchange) []string {
	var out []string
	for hop := range strings.SplitSeq(x.req.Header.Get("Peridotknot-Hop-Count"), ",") {
		addr, _, _ := strings.Cut(hop, "=")
		out = append(out, addr)
	}
	return out
}

// faulty returns the address of an engine that is not there.
func (s *extraRefusal) faulty(hops []string) string {
	for _, addr := range hops {
		if s.engines[addr] == nil {
			return addr
		}
	}
	return ""
}

// playExtraRefusal plays engines that send some of their refusals twice, the second where the next response is expected.
func playExtraRefusal(r *run) (bool, error) {
	store := r.startStore()
	s := &extraRefusal{r: r, engines: map[string]*replica{}, refused: map[string]bool{}, runs: map[string][]string{}}
	store.Put("op/config", configuration(1, []any{poolService()}, route("talk", "/talk/", "streaming", pool, 20000)))
	for i, one := range []struct {
		kind  string
		first int
	}{{fastCard, 0}, {slowCard, 0}, {fastCard, 4}, {fastCard, 4}} {
		p, err := r.startReplica(store, fmt.Sprintf("engine-%d", i+1), pool, one.kind, one.first, one.first+4, s.serve)
		if err != nil {
			return false, err
		}
		s.engines[p.addr()] = p
	}
	entries, err := r.startEntries(2, store.Addr())
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	answers := s.sendAll(entries)
	time.Sleep(2 * time.Second)
	return s.check(answers), nil
}

// sendAll sends streams that may not be resumed, before, during and after the disruption.
func (s *extraRefusal) sendAll(entries []*entry) []answer {
	const perSecond = 40
	clients := newClient()
	var mu sync.Mutex
	var out []answer
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < extraTime+2*time.Second; n++ {
		since := time.Since(began)
		s.mu.Lock()
		s.extra = s.r.trouble && since > time.Second && since < time.Second+extraTime
		s.mu.Unlock()
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0x1000+n)
			a := s.r.send(clients, entries[n%len(entries)], "POST", "/talk/1", id, 20*time.Second, map[string]string{"Peridotknot-Model": "m", "Peridotknot-Token-Counts": "100,20"}, "prompt of "+id)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	return out
}

// check reports whether a stream that may not be resumed was run twice, or was run and is answered as not run.
func (s *extraRefusal) check(answers []answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.logf("%d requests, %d answers of engines, %d of them sent twice", len(answers), s.answers, s.extras)
	broken := false
	served := 0
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
		runs := s.runs[a.id]
		promise := slices.Contains([]int{408, 421, 429, 503}, a.status)
		if len(runs) > 1 {
			broken = true
			s.r.logf("TWICE: request %s ran at %v, its client got status %d", a.id, runs, a.status)
		}
		if promise && len(runs) > 0 {
			broken = true
			s.r.logf("REFUSED: request %s was answered %d and ran at %v", a.id, a.status, runs)
		}
	}
	s.r.logf("%d of %d requests were served", served, len(answers))
	return broken
}
