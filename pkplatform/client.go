package pkplatform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"peridotknot.example/pkconn"
	"peridotknot.example/pktarget"
)

// Paths of the platform's HTTP interface and of services.
const (
	PathVMs         = "/v1/vms"
	PathServiceLoad = "/service/v1/load"
)

const maxResponseBytes = 8 << 20

// List is the response of the platform to a request for its VM list.
type List struct {
	VMs []pktarget.ListedTarget `json:"vms"`
}

// ServiceLoad is the load report of a plain service.
type ServiceLoad struct {
	Active int `json:"active"`
	Max    int `json:"max"`
}

// VMList reads the platform's list of VMs, which can be stale.
type VMList interface {
	VMs(ctx context.Context) ([]pktarget.ListedTarget, error)
}

// Client reads the VM list and service loads over HTTP.
type Client struct {
	addr string
	http *http.Client
	// etag is the ETag of the last list. It is not synchronized: a single
	// goroutine reads the list.
	etag string
}

// ErrUnchanged is returned if the list has not changed since it was last read.
var ErrUnchanged = errors.New("the VM list is unchanged")

// ErrInvalidEntries is returned with the other entries if some of the VM list cannot be used.
var ErrInvalidEntries = errors.New("the VM list has invalid entries")

var _ VMList = (*Client)(nil)

// New returns a client of the platform at addr, given as host:port.
func New(addr string, o pkconn.Options) *Client {
	return &Client{addr: addr, http: &http.Client{Transport: o.Transport()}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// VMs returns the platform's list, or ErrUnchanged. If the error is ErrInvalidEntries, the list has the other entries. The
// list is polled often and changes rarely, so the request is conditional on the ETag of the last list.
func (c *Client) VMs(ctx context.Context) ([]pktarget.ListedTarget, error) {
	var raw struct {
		VMs []json.RawMessage `json:"vms"`
	}
	etag, err := c.read(ctx, "http://"+c.addr+PathVMs, c.etag, &raw)
	if err != nil {
		return nil, err
	}
	c.etag = etag
	return decodeVMs(raw.VMs)
}

// decodeVMs decodes the entries of a list one by one.
func decodeVMs(entries []json.RawMessage) ([]pktarget.ListedTarget, error) {
	out := make([]pktarget.ListedTarget, 0, len(entries))
	var first error
	invalid := 0
	for _, raw := range entries {
		var one pktarget.ListedTarget
		err := json.Unmarshal(raw, &one)
		if err == nil {
			err = check(one.Info)
		}
		if err != nil {
			invalid++
			first = cmp.Or(first, err)
			continue
		}
		out = append(out, one)
	}
	if invalid > 0 {
		return out, fmt.Errorf("%w: %d of %d, first: %w", ErrInvalidEntries, invalid, len(entries), first)
	}
	return out, nil
}

// check returns an error if an entry names no target to use.
func check(i pktarget.Info) error {
	if i.ID == "" || i.Pool == "" {
		return errors.New("an entry has no id or no pool")
	}
	_, port, err := net.SplitHostPort(i.Addr)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return fmt.Errorf("address of %s: %w", i.ID, err)
	}
	return nil
}

// Forget drops the ETag, so that the next read returns the list even if it has not
// changed.
func (c *Client) Forget() { c.etag = "" }

// ServiceLoad returns the load report of the service at addr.
func (c *Client) ServiceLoad(ctx context.Context, addr string) (ServiceLoad, error) {
	var out ServiceLoad
	_, err := c.read(ctx, "http://"+addr+PathServiceLoad, "", &out)
	return out, err
}

// read decodes a JSON response into out and returns its ETag, or ErrUnchanged if the ETag
// is still etag.
func (c *Client) read(ctx context.Context, url, etag string, out any) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", fmt.Errorf("platform: %w", err)
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return "", ErrUnchanged
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("platform: %s answered %d", url, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return "", fmt.Errorf("platform: decode response: %w", err)
	}
	return resp.Header.Get("ETag"), nil
}
