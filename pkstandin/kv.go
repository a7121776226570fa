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
	log      []pketcd.WatchEvent
	leases   map[int64]*kvLease
	nextID   int64
	// changed is closed and replaced at every change.
	changed chan struct{}
	// broken is closed and replaced to cut all watches.
	broken chan struct{}

	calls   atomic.Int64
	writes  atomic.Int64
	down    atomic.Bool
	slow    atomic.Int64
	loseTxn atomic.Int64
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

// NewKV returns an empty key-value service.
func NewKV() *KV {
	return &KV{
		revision: 1,
		keys:     map[string]pketcd.KeyValue{},
		leases:   map[int64]*kvLease{},
		changed:  make(chan struct{}),
		broken:   make(chan struct{}),
	}
}

// Calls returns how many calls were received, a watch counted as one.
func (k *KV) Calls() int64 { return k.calls.Load() }

// SetDown takes the service down or up again; going down cuts all watches.
func (k *KV) SetDown(down bool) {
	k.down.Store(down)
	if down {
		k.mu.Lock()
		defer k.mu.Unlock()
		close(k.broken)
		k.broken = make(chan struct{})
	}
}

// SetSlow adds a time to each call.
func (k *KV) SetSlow(extra time.Duration) { k.slow.Store(int64(extra)) }

// LoseAnswers makes the next n writes take effect without an answer.
func (k *KV) LoseAnswers(n int) { k.loseTxn.Store(int64(n)) }

// Snapshot returns a copy of the keys, for Restore.
func (k *KV) Snapshot() map[string]pketcd.KeyValue {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]pketcd.KeyValue{}
	for key, kv := range k.keys {
		out[key] = kv
	}
	return out
}

// Restore puts an older copy of the keys back, as a careless restore would.
func (k *KV) Restore(keys map[string]pketcd.KeyValue) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = map[string]pketcd.KeyValue{}
	for key, kv := range keys {
		k.revision++
		kv.ModRevision = k.revision
		k.keys[key] = kv
		k.note(pketcd.WatchEvent{KV: kv})
	}
}

// ServeHTTP answers one call of the gateway.
func (k *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.calls.Add(1)
	if !pktimer.Sleep(r.Context(), time.Duration(k.slow.Load())) {
		return
	}
	if k.down.Load() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case pketcd.PathRange:
		answer(w, r, k.readRange)
	case pketcd.PathTxn:
		k.writes.Add(1)
		answer(w, r, k.txn)
	case pketcd.PathGrant:
		answer(w, r, k.grant)
	case pketcd.PathKeepAlive:
		answer(w, r, k.keepAlive)
	case pketcd.PathRevoke:
		answer(w, r, k.revoke)
	case pketcd.PathWatch:
		k.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func answer[In, Out any](w http.ResponseWriter, r *http.Request, do func(In) Out) {
	var in In
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that is gone is no fault of the stand-in.
	_ = json.NewEncoder(w).Encode(do(in))
}

func (k *KV) readRange(in pketcd.RangeRequest) pketcd.RangeResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rangeLocked(in)
}

func (k *KV) rangeLocked(in pketcd.RangeRequest) pketcd.RangeResponse {
	k.expire(time.Now())
	out := pketcd.RangeResponse{Header: pketcd.Header{Revision: k.revision}}
	for _, kv := range k.keys {
		if within(kv.Key, in.Key, in.RangeEnd) {
			out.Kvs = append(out.Kvs, kv)
		}
	}
	return out
}

func within(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (k *KV) txn(in pketcd.TxnRequest) pketcd.TxnResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(time.Now())
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
	if k.loseTxn.Load() > 0 && ok {
		k.loseTxn.Add(-1)
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
		k.note(pketcd.WatchEvent{KV: kv})
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
	k.note(pketcd.WatchEvent{Type: pketcd.EventDelete, KV: pketcd.KeyValue{Key: []byte(key), ModRevision: k.revision}})
}

func (k *KV) note(ev pketcd.WatchEvent) {
	k.log = append(k.log, ev)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KV) grant(in pketcd.LeaseGrantRequest) pketcd.LeaseResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	ttl := time.Duration(in.TTL) * time.Second
	k.leases[k.nextID] = &kvLease{ttl: ttl, end: time.Now().Add(ttl)}
	return pketcd.LeaseResponse{ID: k.nextID, TTL: in.TTL}
}

func (k *KV) keepAlive(in pketcd.LeaseRequest) pketcd.KeepAliveResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.expire(now)
	l, found := k.leases[in.ID]
	if !found {
		return pketcd.KeepAliveResponse{Result: pketcd.LeaseResponse{ID: in.ID}}
	}
	l.end = now.Add(l.ttl)
	return pketcd.KeepAliveResponse{Result: pketcd.LeaseResponse{ID: in.ID, TTL: int64(l.ttl / time.Second)}}
}

func (k *KV) revoke(in pketcd.LeaseRequest) struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end(in.ID)
	return struct{}{}
}

func (k *KV) expire(now time.Time) {
	for id, l := range k.leases {
		if now.After(l.end) {
			k.end(id)
		}
	}
}

func (k *KV) end(id int64) {
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
		for _, ev := range k.log {
			if ev.KV.ModRevision >= next && within(ev.KV.Key, in.Create.Key, in.Create.RangeEnd) {
				events = append(events, ev)
			}
		}
		next = max(next, k.revision+1)
		changed, broken := k.changed, k.broken
		k.mu.Unlock()
		if len(events) > 0 && !send(pketcd.WatchResult{Events: events}) {
			return
		}
		select {
		case <-changed:
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
