package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorded returns the lines of the record that contain all of the given texts.
func (w *world) recorded(texts ...string) []string {
	raw, err := os.ReadFile(filepath.Join(os.Getenv("CASE_FOLDER"), recordFile))
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.Lines(string(raw)) {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// lastRunner returns the replica that has begun the latest run of a request under a path, since a number of runs.
func (w *world) lastRunner(path string, before int) (*replica, bool) {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		lines := w.recorded("runs", path)
		if len(lines) <= before {
			continue
		}
		_, rest, _ := strings.Cut(lines[len(lines)-1], "replica ")
		id, _, _ := strings.Cut(rest, ":")
		w.mu.Lock()
		defer w.mu.Unlock()
		r, found := w.replicas[id]
		return r, found
	}
	return nil, false
}

// truncated: a replica crashes in the middle of an answer without a length, and serves again before the process that
// passes the answer on, which is frozen meanwhile, sees the end of the connection.
func truncated(w *world) (bool, error) {
	const (
		pieces = 10
		work   = 1500 * time.Millisecond
		freeze = 1200 * time.Millisecond
		down   = 300 * time.Millisecond
	)
	w.start(nil)
	for n := range 6 { // one of them is a share of 0.167
		id := fmt.Sprintf("i-7f3a91c%d", n+1)
		if err := w.addReplica(id, modeUnframed); err != nil {
			return false, err
		}
	}
	if err := w.addEdges(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	broken := false
	check := func(a answer, whole string) {
		if a.err == nil && a.status == 200 && a.body != whole {
			broken = true
			w.note("MIXED: the answer to %s is a success that looks complete and has %d of %d bytes", a.id, len(a.body), len(whole))
		}
	}
	for range 4 {
		a := w.request(w.edges[0], "GET", "/record/20/3", apiKey, 4*time.Second, 0, nil)
		check(a, wholeAnswer(a.id, 3))
	}
	for _, round := range []struct{ method, path string }{{"POST", "/ballot/"}, {"GET", "/record/"}, {"POST", "/question/"}, {"POST", "/ballot/"}, {"POST", "/question/"}} {
		path := fmt.Sprintf("%s%d/%d", round.path, work.Milliseconds(), pieces)
		before := len(w.recorded("runs", path))
		got := make(chan answer, 1)
		go func() { got <- w.request(w.edges[0], round.method, path, apiKey, 4500*time.Millisecond, 0, nil) }()
		r, found := w.lastRunner(path, before)
		if !found {
			return false, errors.New("the request does not run")
		}
		time.Sleep(400 * time.Millisecond)
		if w.trouble {
			if err := w.freeze(w.edges[0], freeze, func() error {
				time.Sleep(100 * time.Millisecond)
				w.killReplica(r)
				time.Sleep(down)
				return w.startReplica(r)
			}); err != nil {
				return false, err
			}
		}
		a := <-got
		whole := wholeAnswer(a.id, pieces)
		if round.path == "/question/" {
			whole = wholeStream(1, pieces)
		}
		check(a, whole)
		time.Sleep(4 * time.Second) // the process is in touch again, and the replica in use
	}
	return broken, nil
}

// lost: the machine of a replica is lost in the middle of an answer without a length: its process ends, which ends its
// connections, and from then on nothing answers at its address.
func lost(w *world) (bool, error) {
	const (
		pieces = 10
		work   = 1500 * time.Millisecond
	)
	w.machines = true
	w.start(nil)
	for n := range 8 { // one of them is a share of 0.125
		if err := w.addReplica(fmt.Sprintf("i-7f3a91c%d", n+1), modeUnframed); err != nil {
			return false, err
		}
	}
	if err := w.addEdges(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	broken := false
	for _, round := range []struct{ method, path string }{{"POST", "/ballot/"}, {"GET", "/record/"}, {"POST", "/question/"}} {
		path := fmt.Sprintf("%s%d/%d", round.path, work.Milliseconds(), pieces)
		before := len(w.recorded("runs", path))
		got := make(chan answer, 1)
		go func() { got <- w.request(w.edges[0], round.method, path, apiKey, 4500*time.Millisecond, 0, nil) }()
		r, found := w.lastRunner(path, before)
		if !found {
			return false, errors.New("the request does not run")
		}
		time.Sleep(400 * time.Millisecond)
		if w.trouble {
			if err := r.machine.turnOff(); err != nil {
				return false, err
			}
			w.killReplica(r)
			w.note("replica %s: its machine is lost", r.id)
		}
		a := <-got
		whole := wholeAnswer(a.id, pieces)
		if round.path == "/question/" {
			whole = wholeStream(1, pieces)
		}
		if a.err == nil && a.status == 200 && a.body != whole {
			broken = true
			w.note("MIXED: the answer to %s is a success that looks complete and has %d of %d bytes", a.id, len(a.body), len(whole))
		}
		time.Sleep(6 * time.Second) // longer than contact_ms, and than the entry of the replica is listed
	}
	return broken, nil
}

// freeze stops a process for a time, while meanwhile is called.
func (w *world) freeze(e *edge, d time.Duration, meanwhile func() error) error {
	if err := e.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	began := time.Now()
	w.note("%s: frozen", e.name)
	err := meanwhile()
	time.Sleep(time.Until(began.Add(d)))
	w.note("%s: goes on", e.name)
	return errors.Join(err, e.signal(syscall.SIGCONT))
}

// drill: a replica that leaves without reporting it is taken out of use, and gets requests again once the store has come
// back from an older copy and the entry in that copy expires.
func drill(w *world) (bool, error) {
	const (
		drainMS  = 2000 * time.Millisecond
		copyAge  = 1 * time.Second // before the replica left
		awayFor  = 400 * time.Millisecond
		awayFrom = 1200 * time.Millisecond // after the replica left
		watchFor = 8 * time.Second
	)
	w.start(nil)
	for n := range 8 { // one of them is a share of 0.125
		id := fmt.Sprintf("i-7f3a91c%d", n+1)
		if err := w.addReplica(id, modePlain); err != nil {
			return false, err
		}
	}
	if err := w.addEdges(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for i := range 24 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				path, method := "/record/60/1", "GET"
				if n%2 == 1 {
					path, method = "/ballot/60/1", "POST"
				}
				a := w.request(w.edges[i%2], method, path, apiKey, 4*time.Second, 0, nil)
				mu.Lock()
				counts[a.status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second) // the store is stable for longer than contact_ms
	snapshot := w.store.Snapshot()
	w.note("store: copy taken")
	time.Sleep(copyAge)
	leaving := w.replicas["i-7f3a91c2"]
	for left := false; !left; time.Sleep(10 * time.Millisecond) { // it leaves some time after a heartbeat
		w.mu.Lock()
		left = time.Since(leaving.lastBeat) > heartbeat-200*time.Millisecond && time.Since(leaving.lastBeat) < heartbeat
		leaving.beating = !left
		w.mu.Unlock()
	}
	w.store.Delete("servers/" + leaving.id)
	left := time.Now()
	w.note("store: removal of the entry of %s, which leaves and never reports draining, acknowledged; it serves on", leaving.id)
	time.Sleep(awayFrom)
	if w.trouble {
		w.mu.Lock()
		w.paused = true
		w.mu.Unlock()
		w.store.Refuse(true)
		w.note("store: away")
		time.Sleep(awayFor)
		w.store.Restore(snapshot)
		w.store.Refuse(false)
		w.note("store: back from a copy %v old, in the next era", time.Since(left).Round(time.Millisecond)+copyAge)
		w.mu.Lock()
		for _, r := range w.replicas {
			if r.beating {
				w.beat(time.Now(), r)
			}
		}
		w.paused = false
		w.mu.Unlock()
		w.store.Put("op/config", w.config)
		w.note("store: what the operator and the replicas that live wrote is written again")
	} else {
		time.Sleep(awayFor)
	}
	time.Sleep(time.Until(left.Add(watchFor)))
	close(stop)
	wg.Wait()
	bound := left.Add(drainMS).UTC().Format("15:04:05.000")
	late, taken := 0, 0
	quiet := left.Add(time.Second).UTC().Format("15:04:05.000")
	for _, line := range w.recorded("replica "+leaving.id+":", "runs") {
		at := strings.Fields(line)[0]
		if at > quiet && at <= bound {
			taken++
		}
		if at > bound {
			late++
			if late <= 5 {
				w.note("DRAIN: later than drain_ms after the removal: %s", line)
			}
		}
	}
	w.note("answers by status: %v", counts)
	w.note("%s: %d requests between 1 s and drain_ms after the acknowledgement, %d later", leaving.id, taken, late)
	return late > 0, nil
}

// tenants: the operator takes the only client account away, with its key.
func tenants(w *world) (bool, error) {
	const neverHeld = "k-that-no-configuration-has-held"
	w.start(nil)
	for _, id := range []string{"i-7f3a91c1", "i-7f3a91c2"} {
		if err := w.addReplica(id, modePlain); err != nil {
			return false, err
		}
	}
	if err := w.addEdges(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	a := w.request(w.edges[0], "GET", "/record/20/1", apiKey, 4*time.Second, 0, nil)
	if a.status != 200 {
		return false, errors.New("the key is not accepted before")
	}
	w.configure(func(config map[string]any) {
		if w.trouble {
			config["tenants"] = []any{}
			w.note("operator: takes the only tenant away")
		}
	})
	time.Sleep(4 * time.Second) // config_ms is 2 s
	broken := false
	for _, e := range w.edges {
		for _, key := range []string{neverHeld, apiKey} {
			a := w.request(e, "GET", "/record/20/1", key, 4*time.Second, 0, nil)
			runs := len(w.recorded("runs", a.id))
			w.note("%s with key %q at %s: status %d; runs: %d", a.id, key, e.name, a.status, runs)
			if runs > 0 && (key == neverHeld || w.trouble) {
				broken = true
				w.note("ROUTE: the request has run")
			}
		}
	}
	return broken, nil
}

// raisedTimeout: a configuration raises a time-out from one minute to more, and streams end after a minute as before.
func raisedTimeout(w *world) (bool, error) {
	const (
		events  = 100
		work    = 64 * time.Second
		before  = 60 * time.Second
		after   = 90 * time.Second
		streams = 4
	)
	setTimeout := func(d time.Duration) func(map[string]any) {
		return func(config map[string]any) {
			config["routes"].([]any)[2].(map[string]any)["timeout_ms"] = d.Milliseconds()
			w.note("operator: timeout_ms of the route for streams is %d", d.Milliseconds())
		}
	}
	w.start(setTimeout(before))
	for _, id := range []string{"i-7f3a91c1", "i-7f3a91c2"} {
		if err := w.addReplica(id, modePlain); err != nil {
			return false, err
		}
	}
	if err := w.addEdges(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.configure(setTimeout(after))
	}
	time.Sleep(4 * time.Second) // config_ms is 2 s
	got := make(chan answer, streams)
	for i := range streams {
		go func() {
			got <- w.request(w.edges[i%2], "POST", fmt.Sprintf("/question/%d/%d", work.Milliseconds(), events), apiKey, after, 0, nil)
		}()
	}
	broken := false
	for range streams {
		a := <-got
		whole := a.err == nil && strings.Contains(a.body, fmt.Sprintf("id: %d\n", events))
		if w.trouble && !whole && a.took >= before-time.Second && a.took < after-time.Second {
			broken = true
			w.note("CONFIG: %s is broken off after %d ms, as only the older version allows", a.id, a.took.Milliseconds())
		}
	}
	return broken, nil
}

// upload: clients send bodies slowly; a configuration sets a time-out that passes meanwhile.
func upload(w *world) (bool, error) {
	const (
		size    = 60_000
		chunks  = 60
		pause   = 100 * time.Millisecond
		clients = 12
		timeout = 2000 * time.Millisecond
	)
	setTimeout := func(ms int) func(map[string]any) {
		return func(config map[string]any) { config["routes"].([]any)[1].(map[string]any)["timeout_ms"] = ms }
	}
	w.start(setTimeout(20000))
	for _, id := range []string{"i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3"} {
		if err := w.addReplica(id, modePlain); err != nil {
			return false, err
		}
	}
	if err := w.addEdges(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	w.configure(func(config map[string]any) {
		if w.trouble {
			setTimeout(int(timeout.Milliseconds()))(config)
			w.note("operator: timeout_ms of the route is %d", timeout.Milliseconds())
		}
	})
	time.Sleep(4 * time.Second) // config_ms is 2 s
	var wg sync.WaitGroup
	var mu sync.Mutex
	unanswered, late := 0, 0
	for i := range clients {
		wg.Go(func() {
			a := w.request(w.edges[i%2], "POST", "/ballot/20/1", apiKey, 15*time.Second, size, func(out io.Writer) error {
				for range chunks {
					if _, err := out.Write(make([]byte, size/chunks)); err != nil {
						return err
					}
					time.Sleep(pause)
				}
				return nil
			})
			mu.Lock()
			defer mu.Unlock()
			if a.took >= timeout && w.trouble {
				unanswered++
				if a.took >= timeout+500*time.Millisecond {
					late++
				}
			}
		})
	}
	wg.Wait()
	w.note("%d requests unanswered at timeout_ms, %d of them half a second later", unanswered, late)
	return unanswered > 0 && 2*late > unanswered, nil
}

// encoded: a new version splits a route. A path that the new prefix doesn't begin, since a slash in it is encoded, is
// run by the service of the new route.
func encoded(w *world) (bool, error) {
	const (
		other = "records-app"
		path  = "/record/archive%2F20/1"
	)
	w.start(func(config map[string]any) {
		config["services"] = append(config["services"].([]any), map[string]any{"name": other, "health_path": "/health", "max_conns": 110})
	})
	for _, id := range []string{"i-7f3a91c1", "i-7f3a91c2"} {
		if err := w.addReplica(id, modePlain); err != nil {
			return false, err
		}
	}
	for _, id := range []string{"i-7f3a91d1", "i-7f3a91d2"} {
		if err := w.addReplicaOf(other, id, modePlain); err != nil {
			return false, err
		}
	}
	if err := w.addEdges(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.configure(func(config map[string]any) {
			one := route("record-archive", "/record/archive/", "idempotent", 5000, 2)
			one["service"] = other
			config["routes"] = append(config["routes"].([]any), one)
			w.note("operator: the route /record/archive/ to %s is split off", other)
		})
	}
	time.Sleep(4 * time.Second)
	broken := false
	for _, e := range w.edges {
		for range 3 {
			a := w.request(e, "GET", path, apiKey, 4*time.Second, 0, nil)
			for _, line := range w.recorded("runs", a.id) {
				if strings.Contains(line, "replica i-7f3a91d") {
					broken = true
					w.note("ROUTE: %s, whose path %s begins with no prefix of %s, has run there", a.id, path, other)
				}
			}
		}
	}
	return broken, nil
}
