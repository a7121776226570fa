package pkstandin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"peridotknot.example/pketcd"
	"peridotknot.example/pktimer"
)

// KV is an in-memory key-value service that speaks the etcd v3 JSON gateway.
type KV struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]pketcd.KeyValue
	events   []pketcd.WatchEvent
	leases   map[int64]*kvLease
	nextID   int64
	// changed is closed and replaced on each change.
	changed chan struct{}
	// watchAbort is closed and replaced to abort all watches.
	watchAbort chan struct{}

	calls         atomic.Int64
	writes        atomic.Int64
	down          atomic.Bool
	extraDelay    atomic.Int64
	dropResponses atomic.Int64
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

// NewKV returns an empty key-value service.
func NewKV() *KV {
	return &KV{
		revision:   1,
		keys:       map[string]pketcd.KeyValue{},
		leases:     map[int64]*kvLease{},
		changed:    make(chan struct{}),
		watchAbort: make(chan struct{}),
	}
}

// Calls returns the number of requests received. A watch counts as one.
func (k *KV) Calls() int64 { return k.calls.Load() }

// SetDown makes the service unavailable or available again. Going down aborts all watches.
func (k *KV) SetDown(down bool) {
	k.down.Store(down)
	if down {
		k.mu.Lock()
		defer k.mu.Unlock()
		close(k.watchAbort)
		k.watchAbort = make(chan struct{})
	}
}

// SetDelay delays each request by extra.
func (k *KV) SetDelay(extra time.Duration) { k.extraDelay.Store(int64(extra)) }

// DropResponses makes the next n successful transactions take effect without a response.
func (k *KV) DropResponses(n int) { k.dropResponses.Store(int64(n)) }

// Snapshot returns a copy of the keys for Restore.
func (k *KV) Snapshot() map[string]pketcd.KeyValue {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]pketcd.KeyValue{}
	for key, kv := range k.keys {
		out[key] = kv
	}
	return out
}

// Restore replaces the keys by those of a snapshot, like a restore from a backup. Each restored key
// gets a new revision.
func (k *KV) Restore(keys map[string]pketcd.KeyValue) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = map[string]pketcd.KeyValue{}
	for key, kv := range keys {
		k.revision++
		kv.ModRevision = k.revision
		k.keys[key] = kv
		k.appendEvent(pketcd.WatchEvent{KV: kv})
	}
}

// ServeHTTP handles the requests of the gateway.
func (k *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.calls.Add(1)
	if !pktimer.Sleep(r.Context(), time.Duration(k.extraDelay.Load())) {
		return
	}
	if k.down.Load() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case pketcd.PathRange:
		serveJSON(w, r, k.readRange)
	case pketcd.PathTxn:
		k.writes.Add(1)
		serveJSON(w, r, k.txn)
	case pketcd.PathGrant:
		serveJSON(w, r, k.grant)
	case pketcd.PathKeepAlive:
		serveJSON(w, r, k.keepAlive)
	case pketcd.PathRevoke:
		serveJSON(w, r, k.revoke)
	case pketcd.PathWatch:
		k.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func serveJSON[In, Out any](w http.ResponseWriter, r *http.Request, do func(In) Out) {
	var in In
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected.
	_ = json.NewEncoder(w).Encode(do(in))
}

func (k *KV) readRange(in pketcd.RangeRequest) pketcd.RangeResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rangeLocked(in)
}

func (k *KV) rangeLocked(in pketcd.RangeRequest) pketcd.RangeResponse {
	k.expireLeases(time.Now())
	out := pketcd.RangeResponse{Header: pketcd.Header{Revision: k.revision}}
	for _, kv := range k.keys {
		if inRange(kv.Key, in.Key, in.RangeEnd) {
			out.Kvs = append(out.Kvs, kv)
		}
	}
	return out
}

func inRange(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (k *KV) txn(in pketcd.TxnRequest) pketcd.TxnResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases(time.Now())
	ok := true
	for _, c := range in.Compare {
		ok = ok && k.keys[string(c.Key)].ModRevision == c.ModRevision
	}
	ops := in.Failure
	if ok {
		ops = in.Success
	}
	out := pketcd.TxnResponse{Succeeded: ok}
	for _, op := range ops {
		out.Responses = append(out.Responses, k.apply(op))
	}
	out.Header.Revision = k.revision
	if k.dropResponses.Load() > 0 && ok {
		k.dropResponses.Add(-1)
		panic(http.ErrAbortHandler)
	}
	return out
}

func (k *KV) apply(op pketcd.RequestOp) pketcd.ResponseOp {
	switch {
	case op.Put != nil:
		k.revision++
		kv := pketcd.KeyValue{Key: op.Put.Key, Value: op.Put.Value, ModRevision: k.revision, Lease: op.Put.Lease}
		k.keys[string(kv.Key)] = kv
		k.appendEvent(pketcd.WatchEvent{KV: kv})
	case op.Delete != nil:
		k.remove(string(op.Delete.Key))
	case op.Range != nil:
		r := k.rangeLocked(*op.Range)
		return pketcd.ResponseOp{Range: &r}
	}
	return pketcd.ResponseOp{}
}

func (k *KV) remove(key string) {
	if _, found := k.keys[key]; !found {
		return
	}
	delete(k.keys, key)
	k.revision++
	k.appendEvent(pketcd.WatchEvent{Type: pketcd.EventDelete, KV: pketcd.KeyValue{Key: []byte(key), ModRevision: k.revision}})
}

func (k *KV) appendEvent(ev pketcd.WatchEvent) {
	k.events = append(k.events, ev)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KV) grant(in pketcd.LeaseGrantRequest) pketcd.LeaseResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	ttl := time.Duration(in.TTL) * time.Second
	k.leases[k.nextID] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return pketcd.LeaseResponse{ID: k.nextID, TTL: in.TTL}
}

func (k *KV) keepAlive(in pketcd.LeaseRequest) pketcd.KeepAliveResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.expireLeases(now)
	l, found := k.leases[in.ID]
	if !found {
		return pketcd.KeepAliveResponse{Result: pketcd.LeaseResponse{ID: in.ID}}
	}
	l.expires = now.Add(l.ttl)
	return pketcd.KeepAliveResponse{Result: pketcd.LeaseResponse{ID: in.ID, TTL: int64(l.ttl / time.Second)}}
}

func (k *KV) revoke(in pketcd.LeaseRequest) struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endLease(in.ID)
	return struct{}{}
}

func (k *KV) expireLeases(now time.Time) {
	for id, l := range k.leases {
		if now.After(l.expires) {
			k.endLease(id)
		}
	}
}

func (k *KV) endLease(id int64) {
	delete(k.leases, id)
	for key, kv := range k.keys {
		if kv.Lease == id {
			k.remove(key)
		}
	}
}

func (k *KV) watch(w http.ResponseWriter, r *http.Request) {
	var in pketcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	enc := json.NewEncoder(w)
	control := http.NewResponseController(w)
	send := func(result pketcd.WatchResult) bool {
		return enc.Encode(pketcd.WatchResponse{Result: result}) == nil && control.Flush() == nil
	}
	if !send(pketcd.WatchResult{Created: true}) {
		return
	}
	next := in.Create.StartRevision
	for {
		k.mu.Lock()
		var events []pketcd.WatchEvent
		for _, ev := range k.events {
			if ev.KV.ModRevision >= next && inRange(ev.KV.Key, in.Create.Key, in.Create.RangeEnd) {
				events = append(events, ev)
			}
		}
		next = max(next, k.revision+1)
		changed, watchAbort := k.changed, k.watchAbort
		k.mu.Unlock()
		if len(events) > 0 && !send(pketcd.WatchResult{Events: events}) {
			return
		}
		select {
		case <-changed:
		case <-watchAbort:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
