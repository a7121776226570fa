package pkplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

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

// VMs returns the platform's list, or ErrUnchanged. The list is polled often and changes
// rarely, so the request is conditional on the ETag of the last list.
func (c *Client) VMs(ctx context.Context) ([]pktarget.ListedTarget, error) {
	var out List
	etag, err := c.read(ctx, "http://"+c.addr+PathVMs, c.etag, &out)
	if err == nil {
		c.etag = etag
	}
	return out.VMs, err
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
