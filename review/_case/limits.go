package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// allowedHeaderBytes is the limit of the configuration, sentHeaderBytes the size of a header that clients send.
	allowedHeaderBytes = 65536
	sentHeaderBytes    = 40000
	// outage is how long the store answers 503 to all calls, restartDelay how long a killed process is away.
	outage       = 4500 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// settled is the time after the outage from which requests are counted: contact_ms is 3 s.
	settled = 8 * time.Second
)

// playLimitsAfterOutage plays entries that are all killed while the store is down, and then requests that the
// configuration allows. It stays the same all the time.
func playLimitsAfterOutage(r *run) (bool, error) {
	store := r.startStore()
	config := configuration(1, []any{appService()}, route("read", "/read/", "idempotent", app, 5000))
	config["limits"] = limits(allowedHeaderBytes)
	store.Put("op/config", config)
	for i := range 2 {
		if _, err := r.startReplica(store, fmt.Sprintf("replica-%d", i+1), app, "", 0, 0, r.answerShort); err != nil {
			return false, err
		}
	}
	entries, err := r.startEntries(2, store.Addr())
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	before := r.sendLongHeaders(entries, 0x5000)
	r.logf("%d of 40 requests before the outage were denied", before)
	if r.trouble {
		if entries, err = r.restartInOutage(entries, store.Refuse); err != nil {
			return false, err
		}
	}
	time.Sleep(settled)
	denied := r.sendLongHeaders(entries, 0x5100)
	r.logf("%d of 40 requests after the outage, which the configuration allows, were denied", denied)
	const allowed = 5 // and one in 500 of all requests
	return before+denied > allowed, nil
}

// restartInOutage makes the store refuse all calls for a while, kills all entries in that time and starts them again.
// KILL_ONLY=1 leaves the store in order.
func (r *run) restartInOutage(entries []*entry, refuse func(bool)) ([]*entry, error) {
	began := time.Now()
	down := os.Getenv("KILL_ONLY") != "1"
	r.logf("the store answers 503 from now on: %v", down)
	refuse(down)
	time.Sleep(restartDelay)
	var out []*entry
	for _, e := range entries {
		e.signal(syscall.SIGKILL)
		<-e.exited
		out = append(out, &entry{r: r, fields: e.fields, file: e.file, exited: make(chan struct{})})
	}
	time.Sleep(restartDelay)
	for _, e := range out {
		e.fields.bootstrap = false
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(outage - time.Since(began))
	refuse(false)
	r.logf("the store serves again")
	for _, e := range out {
		if err := e.awaitReady(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// sendLongHeaders sends 40 requests with long headers and returns how many were ended with a status of the entry
// itself that denies them for good.
func (r *run) sendLongHeaders(entries []*entry, firstID int) int {
	clients := newClient()
	denied := 0
	for n := range 40 {
		header := map[string]string{"Cookie": strings.Repeat("c", sentHeaderBytes)}
		a := r.send(clients, entries[n%len(entries)], "GET", "/read/1", fmt.Sprintf("%016x", firstID+n), 5*time.Second, header, "")
		if a.status/100 == 4 && !a.sealed {
			denied++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return denied
}

func (r *run) answerShort(p *replica, x *exchange) {
	r.logf("%s runs %s", p.id, x.id)
	x.conn.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nPeridotknot-Attempt-Id: %s\r\nPeridotknot-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", x.id))
}
