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

const maxReply = 8 << 20

// List is the platform's list of VMs.
type List struct {
	VMs []pktarget.Listed `json:"vms"`
}

// ServiceLoad is what a plain service says of its load.
type ServiceLoad struct {
	Active int `json:"active"`
	Max    int `json:"max"`
}

// VMList is the platform's list of VMs; it lags.
type VMList interface {
	VMs(ctx context.Context) ([]pktarget.Listed, error)
}

// Client reads the list and service loads over HTTP.
type Client struct {
	addr string
	http *http.Client
	// tag is the tag of the last list; it belongs to the one loop that reads
	// the list.
	tag string
}

// ErrSame says that the list is the one that was read last.
var ErrSame = errors.New("the VM list is unchanged")

var _ VMList = (*Client)(nil)

// New returns a client of the platform at addr, a host and port.
func New(addr string, o pkconn.Options) *Client {
	return &Client{addr: addr, http: &http.Client{Transport: o.Transport()}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// VMs returns the platform's list, or ErrSame. The list is asked for twice a
// second and changes some hundred times a day; at 4,500 targets its body is
// nearly half a megabyte, so it travels only when its tag has changed.
func (c *Client) VMs(ctx context.Context) ([]pktarget.Listed, error) {
	var out List
	tag, err := c.read(ctx, "http://"+c.addr+PathVMs, c.tag, &out)
	if err == nil {
		c.tag = tag
	}
	return out.VMs, err
}

// Forget makes the next list be read whole, even if it is unchanged.
func (c *Client) Forget() { c.tag = "" }

// ServiceLoad returns the load of the service at addr.
func (c *Client) ServiceLoad(ctx context.Context, addr string) (ServiceLoad, error) {
	var out ServiceLoad
	_, err := c.read(ctx, "http://"+addr+PathServiceLoad, "", &out)
	return out, err
}

// read reads a JSON answer and returns its tag; ErrSame if it still is tag.
func (c *Client) read(ctx context.Context, url, tag string, out any) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", fmt.Errorf("platform: %w", err)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return "", ErrSame
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("platform: %s answered %d", url, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(out); err != nil {
		return "", fmt.Errorf("platform: decode answer: %w", err)
	}
	return resp.Header.Get("ETag"), nil
}
