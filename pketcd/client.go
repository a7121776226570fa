package pketcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkstore"
)

const (
	// maxResponseBytes bounds a response, which can list many values of up to a
	// megabyte each, in base64.
	maxResponseBytes = 64 << 20
	// maxWatchBytes bounds a response of a watch, which has the events since the last one.
	maxWatchBytes = 16 << 20
	// maxErrorBytes bounds the part of an error response that is put into an error.
	maxErrorBytes = 300
)

// Client is a pkstore.Store over the etcd v3 JSON gateway.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Int64
}

var _ pkstore.Store = (*Client)(nil)

// New returns a client of the gateway at addr, given as host:port.
func New(addr string, o pkconn.Options) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: o.Transport()}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Calls returns the number of calls sent; a watch counts as one.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Load returns the item at key.
func (c *Client) Load(ctx context.Context, key string) (pkstore.Item, error) {
	var out RangeResponse
	if err := c.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &out); err != nil {
		return pkstore.Item{}, err
	}
	if len(out.Kvs) == 0 {
		return pkstore.Item{Key: key}, nil
	}
	return item(out.Kvs[0]), nil
}

// List returns the items whose key begins with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]pkstore.Item, pkstore.Revision, error) {
	var out RangeResponse
	req := RangeRequest{Key: []byte(prefix), RangeEnd: rangeEnd(prefix)}
	if err := c.call(ctx, PathRange, req, &out); err != nil {
		return nil, 0, err
	}
	items := make([]pkstore.Item, len(out.Kvs))
	for i, kv := range out.Kvs {
		items[i] = item(kv)
	}
	return items, pkstore.Revision(out.Header.Revision), nil
}

// Swap writes if the key is at s.Old.
func (c *Client) Swap(ctx context.Context, s pkstore.Swap) (pkstore.SwapResult, error) {
	key := []byte(s.Key)
	write := RequestOp{Put: &PutRequest{Key: key, Value: s.Value, Lease: int64(s.Lease)}}
	if s.Delete {
		write = RequestOp{Delete: &DeleteRequest{Key: key}}
	}
	req := TxnRequest{
		Compare: []Compare{{Key: key, Target: TargetMod, Result: ResultEqual, ModRevision: int64(s.Old)}},
		Success: []RequestOp{write},
		Failure: []RequestOp{{Range: &RangeRequest{Key: key}}},
	}
	var out TxnResponse
	if err := c.call(ctx, PathTxn, req, &out); err != nil {
		return pkstore.SwapResult{}, err
	}
	if out.Succeeded {
		written := pkstore.Item{Key: s.Key, Value: s.Value, Revision: pkstore.Revision(out.Header.Revision)}
		return pkstore.SwapResult{Succeeded: true, Item: written}, nil
	}
	current := pkstore.Item{Key: s.Key}
	if len(out.Responses) > 0 && out.Responses[0].Range != nil && len(out.Responses[0].Range.Kvs) > 0 {
		current = item(out.Responses[0].Range.Kvs[0])
	}
	return pkstore.SwapResult{Item: current}, nil
}

// Grant creates a lease; ttl is rounded down to whole seconds, with a minimum of one second.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (pkstore.LeaseID, error) {
	var out LeaseResponse
	err := c.call(ctx, PathGrant, LeaseGrantRequest{TTL: int64(max(ttl/time.Second, 1))}, &out)
	return pkstore.LeaseID(out.ID), err
}

// Renew renews a lease; it returns pkstore.ErrNoLease if the lease has expired.
func (c *Client) Renew(ctx context.Context, id pkstore.LeaseID) error {
	var out KeepAliveResponse
	if err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: int64(id)}, &out); err != nil {
		return err
	}
	if out.Result.TTL <= 0 {
		return pkstore.ErrNoLease
	}
	return nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, id pkstore.LeaseID) error {
	return c.call(ctx, PathRevoke, LeaseRequest{ID: int64(id)}, &struct{}{})
}

// Watch calls each for every change under prefix after revision from.
func (c *Client) Watch(ctx context.Context, prefix string, from pkstore.Revision, each func(pkstore.Event)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	create := WatchCreate{Key: []byte(prefix), RangeEnd: rangeEnd(prefix), StartRevision: int64(from) + 1}
	resp, err := c.post(ctx, PathWatch, WatchRequest{Create: create})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	limited := &io.LimitedReader{R: resp.Body}
	dec := json.NewDecoder(limited)
	for {
		limited.N = maxWatchBytes // for each response
		var line WatchResponse
		if err := dec.Decode(&line); err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
		if line.Result.CompactRevision > 0 {
			return pkstore.ErrCompacted
		}
		if line.Result.Canceled {
			return errors.New("watch canceled by the store")
		}
		for _, ev := range line.Result.Events {
			each(pkstore.Event{Item: item(ev.KV), Deleted: ev.Type == EventDelete})
		}
	}
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	resp, err := c.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("store: decode response of %s: %w", path, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, in any) (*http.Response, error) {
	c.calls.Add(1)
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("store: encode %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // best effort; the status is reported in any case
		_ = resp.Body.Close()
		return nil, fmt.Errorf("store: %s answered %d: %s", path, resp.StatusCode, text)
	}
	return resp, nil
}

func item(kv KeyValue) pkstore.Item {
	return pkstore.Item{Key: string(kv.Key), Value: kv.Value, Revision: pkstore.Revision(kv.ModRevision)}
}

// rangeEnd returns the first key after all keys that begin with prefix.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
