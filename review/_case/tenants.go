package main

import (
	"fmt"
	"time"
)

// playLastTenant plays a configuration that takes the last tenant away, and then requests with its key and with a key
// that no configuration has held.
func playLastTenant(r *run) (bool, error) {
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
	if r.trouble {
		config["version"], config["tenants"] = 2, []any{}
		store.Put("op/config", config)
		time.Sleep(6 * time.Second)
	}
	clients := newClient()
	ran := 0
	for n := range 20 {
		id := fmt.Sprintf("%016x", 0x6000+n)
		a := send(clients, entries[n%len(entries)], "GET", "/read/1", id, 5*time.Second, map[string]string{"Authorization": "Bearer never-held"}, "")
		r.logAnswer(a)
		if a.status == 200 {
			ran++
		}
	}
	return ran > 0, nil
}
