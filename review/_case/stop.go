package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// eventTime is the time between two events of the streams that an entry serves while it stops.
	eventTime = 50 * time.Millisecond
	// lossSlack is the time after its last byte from which a request counts as read.
	lossSlack = 200 * time.Millisecond
	// notCountedShare is the last part of the grace period, in which a request that is still at work may be cut.
	notCountedShare = 1.0 / 6
)

// stopCase is an entry that is stopped while it serves streams.
type stopCase struct {
	r     *run
	entry *entry
	// count is the number of events of a stream.
	count int

	mu    sync.Mutex
	begun map[string]bool
}

// startStopCase starts an entry with two replicas of a plain service whose streams have that many events.
func startStopCase(r *run, count int) (*stopCase, error) {
	s := &stopCase{r: r, count: count, begun: map[string]bool{}}
	store := r.startStore()
	store.Put("op/config", configuration(1, []any{appService()}, route("watch", "/watch/", "streaming", app, 20000)))
	for i := range 2 {
		if _, err := r.startReplica(store, fmt.Sprintf("replica-%d", i+1), app, "", 0, 0, s.serve); err != nil {
			return nil, err
		}
	}
	entries, err := r.startEntries(2, store.Addr())
	if err != nil {
		return nil, err
	}
	s.entry = entries[0]
	time.Sleep(4 * time.Second)
	return s, nil
}

func (s *stopCase) serve(p *replica, x *exchange) {
	whole := stream(x, s.count, 20*time.Millisecond, eventTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begun[x.id] = true
		s.r.logf("%s runs %s", p.id, x.id)
	})
	s.r.logf("%s has ended %s, whole: %v", p.id, x.id, whole)
}

// sendStreams starts streams in the background and returns a function that waits for their answers.
func (s *stopCase) sendStreams(n int) func() []answer {
	clients := newClient()
	var mu sync.Mutex
	var out []answer
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0x3000+i)
			a := s.r.send(clients, s.entry, "POST", "/watch/1", id, 20*time.Second, nil, "order "+id)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
	}
	return func() []answer {
		wg.Wait()
		return out
	}
}

// kill kills the entry at the end of its grace period, as the platform does, if it is still there.
func (s *stopCase) kill(grace time.Duration) {
	select {
	case <-s.entry.exited:
	case <-time.After(grace):
		s.entry.signal(syscall.SIGKILL)
	}
}

// check reports whether a request that was passed on to a replica ends without a complete answer before the last
// sixth of the grace period after SIGTERM.
func (s *stopCase) check(answers []answer, termAt time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken, whole := false, 0
	from := termAt.Add(grace - time.Duration(notCountedShare*float64(grace)))
	for _, a := range answers {
		switch {
		case a.err == nil && a.body == events(a.id, s.count):
			whole++
		case a.err == nil && a.status/100 != 2:
		case !s.begun[a.id] || a.endAt.Sub(a.sentAt) < lossSlack || !a.endAt.Before(from):
			s.r.logf("request %s isn't whole, not counted", a.id)
		default:
			broken = true
			s.r.logf("LOST: request %s was passed on, and its connection ended %.2f s after SIGTERM without a complete answer; grace_s is %.0f", a.id, a.endAt.Sub(termAt).Seconds(), grace.Seconds())
		}
	}
	s.r.logf("%d of %d requests got their whole answer", whole, len(answers))
	return broken
}

// playReloadInStop plays SIGTERM, and one second later SIGHUP for settings that have changed.
func playReloadInStop(r *run) (bool, error) {
	const grace = 8 * time.Second
	s, err := startStopCase(r, 100)
	if err != nil {
		return false, err
	}
	wait := s.sendStreams(20)
	time.Sleep(500 * time.Millisecond)
	termAt := time.Now()
	s.entry.signal(syscall.SIGTERM)
	if r.trouble {
		time.Sleep(time.Second)
		s.entry.fields.slack = 220
		if err := s.entry.writeSettings(); err != nil {
			return false, err
		}
		s.entry.signal(syscall.SIGHUP)
	}
	s.kill(grace - time.Since(termAt))
	return s.check(wait(), termAt, grace), nil
}

// playLongerGrace plays a longer grace period, told by SIGHUP, and a stop later.
func playLongerGrace(r *run) (bool, error) {
	grace := 8 * time.Second
	s, err := startStopCase(r, 200)
	if err != nil {
		return false, err
	}
	if r.trouble {
		grace = 16 * time.Second
		s.entry.fields.graceS = int(grace.Seconds())
		if err := s.entry.writeSettings(); err != nil {
			return false, err
		}
		s.entry.signal(syscall.SIGHUP)
		time.Sleep(5 * time.Second)
	}
	wait := s.sendStreams(20)
	time.Sleep(500 * time.Millisecond)
	termAt := time.Now()
	s.entry.signal(syscall.SIGTERM)
	s.kill(grace)
	return s.check(wait(), termAt, grace), nil
}
