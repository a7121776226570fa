package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client has seen of one request.
type answer struct {
	id     string
	sentAt time.Time
	endAt  time.Time
	status int
	sealed bool
	body   string
	// err is set if there was no answer, or one that did not look complete.
	err error
}

// newClient returns a client that keeps connections open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}
}

// send sends a request to an entry, reads its answer and writes both to the record.
func (r *run) send(c *http.Client, e *entry, method, path, id string, budget time.Duration, header map[string]string, body string) (out answer) {
	out = answer{id: id, sentAt: time.Now()}
	defer func() { r.logAnswer(out) }()
	r.logf("request %s is sent to %s: %s %s", id, e.fields.name, method, path)
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.fields.front+path, strings.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	req.Header.Set("Peridotknot-Attempt-Id", id)
	req.Header.Set("Peridotknot-Time-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	req.GetBody = nil // the transport sends nothing again by itself
	resp, err := c.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		var read bytes.Buffer
		_, err = io.Copy(&read, resp.Body)
		out.status, out.sealed, out.body = resp.StatusCode, resp.Header.Get("Peridotknot-Response-Seal") != "", read.String()
	}
	out.endAt, out.err = time.Now(), err
	return out
}

// logAnswer writes what a client has seen to the record.
func (r *run) logAnswer(a answer) {
	if a.err != nil {
		r.logf("request %s: status %d, %d bytes, then after %d ms: %v", a.id, a.status, len(a.body), a.endAt.Sub(a.sentAt).Milliseconds(), a.err)
		return
	}
	r.logf("request %s: status %d, sealed %v, %d bytes after %d ms", a.id, a.status, a.sealed, len(a.body), a.endAt.Sub(a.sentAt).Milliseconds())
}
