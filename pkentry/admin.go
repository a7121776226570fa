package pkentry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
)

// PathStatus is the path of the status endpoint on the admin address.
const PathStatus = "/status"

// Status is the response of the status endpoint.
type Status struct {
	Entry      pkid.EntryID      `json:"entry"`
	DataCenter pkid.DataCenter   `json:"data_center"`
	Ready      bool              `json:"ready"`
	Reason     string            `json:"why,omitempty"`
	Revision   pkid.Revision     `json:"revision"`
	Digest     pkmanifest.Digest `json:"digest,omitempty"`
	InForceFor string            `json:"in_force_for,omitempty"`
	StoreOK    bool              `json:"store_ok"`
	Alarm      string            `json:"alarm,omitempty"`
	Neighbors  []pkid.EntryID    `json:"neighbors"`
	// SentBytes and ReceivedBytes count the traffic with peers.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
	StoreCalls    int64 `json:"store_calls"`
	// Owns lists the pools whose ownership lease this entry holds.
	Owns  []pkid.PoolID `json:"owns,omitempty"`
	Pools []PoolStatus  `json:"pools"`
}

// PoolStatus is an entry's view of a pool.
type PoolStatus struct {
	Pool     pkid.PoolID `json:"pool"`
	Targets  int         `json:"targets"`
	Usable   int         `json:"usable"`
	Leaving  int         `json:"leaving"`
	InFlight int         `json:"in_flight"`
	Waiting  int         `json:"waiting"`
	Limit    int         `json:"limit"`
}

func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.HandleFunc("GET "+PathStatus, e.status)
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	if e.settings.Listen.Profile {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// ready reports whether the entry should receive requests, and the reason if not.
func (e *Entry) ready() (bool, string) {
	switch {
	case e.stopping.Load():
		return false, "stopping"
	case e.view.Load() == nil:
		return false, "no manifest: neither the store nor a peer gave one"
	case len(e.targets.All()) == 0:
		return false, "no targets: the VM list was not read yet"
	case !e.loadsPolled.Load():
		return false, "the targets were not asked for their loads yet"
	default:
		return true, ""
	}
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	ok, reason := e.ready()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.Status(time.Now())); err != nil {
		e.log.Debug("failed to write status response", "error", err)
	}
}

// Revision returns the revision of the manifest in force, or zero if there is none.
func (e *Entry) Revision() pkid.Revision {
	if view := e.view.Load(); view != nil {
		return view.Revision
	}
	return 0
}

// Status returns a snapshot of the entry's state at now.
func (e *Entry) Status(now time.Time) Status {
	s := Status{Entry: e.settings.Entry, DataCenter: e.settings.DataCenter, Pools: []PoolStatus{}}
	s.Ready, s.Reason = e.ready()
	s.SentBytes, s.ReceivedBytes = e.peers.net.Bytes()
	s.Owns = e.owned()
	s.StoreCalls = e.ports.Store.Calls()
	for _, m := range e.peers.table.Neighbors(now) {
		if m.Instance != e.peers.table.Self().Instance {
			s.Neighbors = append(s.Neighbors, m.Entry)
		}
	}
	if duplicates := e.peers.table.MembersSharingID(now); len(duplicates) > 0 {
		s.Alarm = fmt.Sprintf("two VMs have the entry id %s; give one another id in its settings", duplicates[0].Entry)
	}
	e.manifest.mu.Lock()
	s.StoreOK = e.manifest.storeOK
	s.Alarm = cmp.Or(e.manifest.alarm, s.Alarm)
	since := e.manifest.since
	e.manifest.mu.Unlock()
	view := e.view.Load()
	if view == nil {
		return s
	}
	s.Revision = view.Revision
	s.Digest = view.Digest
	s.InForceFor = now.Sub(since).Round(time.Millisecond).String()
	for _, id := range view.Pools() {
		s.Pools = append(s.Pools, e.poolStatus(id, now))
	}
	return s
}

func (e *Entry) poolStatus(id pkid.PoolID, now time.Time) PoolStatus {
	p := PoolStatus{Pool: id}
	for _, t := range e.pool(id) {
		p.Targets++
		if t.Usable(now) {
			p.Usable++
		}
		if t.Leaving() {
			p.Leaving++
		}
	}
	p.InFlight, p.Waiting, p.Limit = e.gate(id).Counts()
	return p
}
