package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"peridotknot.example/platform/platformtest"
)

const (
	// reclaimedReplicas is the number of replicas; one of them is reclaimed, a share of 0.14.
	reclaimedReplicas = 7
	// reclaimNotice is the time from the notice to the end of the replica.
	reclaimNotice = 2 * time.Second
	// parts is the number of parts of an answer, one each partInterval.
	parts        = 30
	partInterval = 100 * time.Millisecond
)

// wholeAnswer returns the whole body of the answer to a request.
func wholeAnswer(id string) string {
	var b strings.Builder
	for n := 1; n <= parts; n++ {
		b.WriteString(part(id, n))
	}
	return b.String()
}

func part(id string, n int) string { return fmt.Sprintf("line %02d of %02d for %s\n", n, parts, id) }

// serveReclaimable is a replica in a process of its own. It sends its answers without a length, and ends their
// connections.
func serveReclaimable(id, storeAddr, addrFile string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(exitFailed)
	}
	_ = storeAddr
	p := &replica{id: id, service: app, listener: l, activeConns: map[net.Conn]bool{}, serve: func(_ *replica, x *exchange) {
		fmt.Printf("runs %s\n", x.id)
		x.conn.write("HTTP/1.1 200 OK\r\nPeridotknot-Attempt-Id: " + x.id + "\r\nPeridotknot-Response-Seal: s\r\nConnection: close\r\n\r\n")
		for n := 1; n <= parts; n++ {
			time.Sleep(partInterval)
			if x.conn.isClosed() || !x.conn.write(part(x.id, n)) {
				break
			}
		}
		fmt.Printf("has ended %s\n", x.id)
		_ = x.conn.Close()
	}}
	if err := os.WriteFile(addrFile+".new", []byte(l.Addr().String()), 0o600); err != nil {
		os.Exit(exitFailed)
	}
	if err := os.Rename(addrFile+".new", addrFile); err != nil {
		os.Exit(exitFailed)
	}
	p.accept()
}

// reclaimable is a replica in a process of its own.
type reclaimable struct {
	id, addr string
	cmd      *exec.Cmd
	beats    int
}

func (r *run) startReclaimable(id string) (*reclaimable, error) {
	file := r.folder + "/" + id + ".addr"
	p := &reclaimable{id: id, cmd: exec.Command(os.Args[0], "replica", id, "-", file)}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			r.logf("%s %s", id, lines.Text())
		}
	}()
	r.atEnd(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		_ = p.cmd.Wait()
	})
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if raw, err := os.ReadFile(file); err == nil {
			p.addr = string(raw)
			return p, nil
		}
	}
	return nil, fmt.Errorf("%s did not start", id)
}

func (p *reclaimable) register(s *platformtest.Store, state string) {
	p.beats++
	s.Put("servers/"+p.id, registration(app, p.addr, "", state, p.beats, 0, 0))
}

// playReclaimed plays a replica that is gone two seconds after it has reported that it drains.
func playReclaimed(r *run) (bool, error) {
	store := r.startStore()
	store.Put("op/config", configuration(1, []any{appService()}, route("export", "/export/", "non_idempotent", app, 12000)))
	var all []*reclaimable
	for i := range reclaimedReplicas {
		p, err := r.startReclaimable(fmt.Sprintf("replica-%d", i+1))
		if err != nil {
			return false, err
		}
		p.register(store, "ready")
		all = append(all, p)
	}
	entries, err := r.startEntries(2, store.Addr())
	if err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(5 * time.Second)
		r.logf("%s reports that it drains", all[0].id)
		all[0].register(store, "draining")
		if !r.trouble {
			return
		}
		time.Sleep(reclaimNotice)
		r.logf("%s is killed", all[0].id)
		_ = all[0].cmd.Process.Kill() // it runs
		time.Sleep(100 * time.Millisecond)
		store.Delete("servers/" + all[0].id)
	})
	answers := sendExports(r, entries)
	wg.Wait()
	return checkExports(r, answers), nil
}

func sendExports(r *run, entries []*entry) []answer {
	const perSecond, sendFor = 20, 10 * time.Second
	clients := newClient()
	var mu sync.Mutex
	var out []answer
	var wg sync.WaitGroup
	for n, began := 0, time.Now(); time.Since(began) < sendFor; n++ {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0x2000+n)
			a := r.send(clients, entries[n%len(entries)], "POST", "/export/1", id, 12*time.Second, nil, "order "+id)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	return out
}

// checkExports reports whether a client has got a success, complete by its looks, whose body is not the replica's
// whole body.
func checkExports(r *run, answers []answer) bool {
	broken, whole := false, 0
	for _, a := range answers {
		want := wholeAnswer(a.id)
		switch {
		case a.err != nil || a.status/100 != 2:
		case a.body == want && a.sealed:
			whole++
		default:
			broken = true
			r.logf("MIXED: request %s has got status %d with %d of %d bytes as a complete answer, ending in %q", a.id, a.status, len(a.body), len(want), lastLine(a.body))
		}
	}
	r.logf("%d of %d requests got their whole answer", whole, len(answers))
	return broken
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
