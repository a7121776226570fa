// Command case plays one case of the review: it starts entry daemons as separate processes beside stand-ins for
// the platform, its replicas and its clients, brings a disruption about, and checks one rule from what these saw.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxRun bounds the time that a case takes.
const maxRun = 100 * time.Second

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*run) (bool, error){
	"extra-refusal":       playExtraRefusal,
	"reclaimed":           playReclaimed,
	"reload-in-stop":      playReloadInStop,
	"longer-grace":        playLongerGrace,
	"limits-after-outage": playLimitsAfterOutage,
}

// run is one play of a case.
type run struct {
	// trouble is false if the disruption is left out.
	trouble bool
	folder  string
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	cleanups []func()
}

// logf writes a line with the time since the start to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd registers a function that is called at the end, the latest first.
func (r *run) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

func (r *run) cleanUp() {
	r.mu.Lock()
	all := r.cleanups
	r.cleanups = nil
	r.mu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		all[i]()
	}
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		serveReclaimable(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, path string) int {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = record.Close() }()
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: folder, began: time.Now(), record: record}
	r.atEnd(func() { _ = os.RemoveAll(folder) })
	defer r.cleanUp()
	r.logf("case %s, disruption: %v", name, r.trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](r)
		done <- result{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	var got result
	select {
	case got = <-done:
	case <-stopped:
		got.err = errors.New("stopped by a signal")
	case <-time.After(maxRun):
		got.err = errors.New("the case took too long")
	}
	switch {
	case got.err != nil:
		r.logf("the case could not run: %v", got.err)
		fmt.Println("could not run:", got.err)
		return exitFailed
	case got.broken:
		r.logf("RULE BROKEN")
		fmt.Println("rule broken")
		return exitBroken
	default:
		r.logf("the rule held")
		fmt.Println("rule held")
		return exitHeld
	}
}
