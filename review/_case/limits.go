package main

import (
	"fmt"
	"strings"
	"time"
)

// raisedHeaderBytes is the limit of the second configuration; headerBytes is the size of the headers that are sent.
const (
	raisedHeaderBytes = 65536
	headerBytes       = 40000
)

// playRaisedLimits plays a configuration that raises the limit on headers, and then requests that it allows.
func playRaisedLimits(r *run) (bool, error) {
	store := r.startStore()
	config := configuration(1, []any{appService()}, route("read", "/read/", "idempotent", app, 5000))
	store.Put("op/config", config)
	for i := range 2 {
		if _, err := r.startReplica(store, fmt.Sprintf("replica-%d", i+1), app, "", 0, 0, answerShort); err != nil {
			return false, err
		}
	}
	entries, err := r.startEntries(2, store.Addr())
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	size := 12000
	if r.trouble {
		config["version"], config["limits"] = 2, limits(raisedHeaderBytes)
		store.Put("op/config", config)
		r.logf("version 2 allows headers of %d bytes", raisedHeaderBytes)
		size = headerBytes
		time.Sleep(6 * time.Second)
	}
	clients := newClient()
	denied := 0
	for n := range 40 {
		id := fmt.Sprintf("%016x", 0x5000+n)
		a := send(clients, entries[n%len(entries)], "GET", "/read/1", id, 5*time.Second, map[string]string{"Cookie": strings.Repeat("c", size)}, "")
		r.logAnswer(a)
		if a.status/100 == 4 && !a.sealed {
			denied++
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.logf("%d of 40 requests that the configuration in force allows were denied", denied)
	return denied > 5, nil
}

func answerShort(_ *replica, x *exchange) {
	x.conn.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nPeridotknot-Attempt-Id: %s\r\nPeridotknot-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", x.id))
}
