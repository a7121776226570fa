package pkedge_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pkedge"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/platform"
	"peridotknot.example/platform/platformtest"
)

// nodeLogs is a directory for the logs of all nodes, one file each.
var nodeLogs = flag.String("node.logs", "", "directory for the logs of entries; none are kept if it is empty")

// nodeLogger returns the logger of a node.
func nodeLogger(t testing.TB, entry pkid.EntryID) hclog.Logger {
	t.Helper()
	if *nodeLogs == "" {
		return hclog.NewNullLogger()
	}
	dir := filepath.Join(*nodeLogs, t.Name())
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	f, err := os.OpenFile(filepath.Join(dir, string(entry)+".jsonl"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	return hclog.New(&hclog.LoggerOptions{Name: string(entry), Level: hclog.Debug, JSONFormat: true, Output: f})
}

// waitTimeout is how long a test waits for an expected condition.
const waitTimeout = 20 * time.Second

// node is a daemon with a stand-in for the platform.
type node struct {
	*pkedge.Daemon
	stop   context.CancelFunc
	ended  chan error
	client *http.Client
}

func ports(store string, links *platformtest.Links) (pkedge.Ports, func() error) {
	o := pkconn.DefaultOptions()
	s := platform.NewStore(store, o)
	o.Registry = new(pkconn.Registry)
	if links != nil {
		o.Dial = links.DialContext
	}
	engines, sender := platform.NewEngines(o), pkforward.NewSender(platform.Headers{}, o)
	p := pkedge.Ports{
		Store:         s,
		Feed:          s,
		ConfigKey:     platform.ConfigKey,
		ReplicaPrefix: platform.ReplicaPrefix,
		OwnPrefix:     platform.OwnPrefix,
		Config:        platform.DecodeConfig,
		Replica:       platform.DecodeReplica,
		ReplicaID:     platform.ReplicaID,
		Dialect:       platform.Headers{},
		Sender:        sender,
		Engines:       engines,
		Conns:         o.Registry,
	}
	return p, func() error { return errors.Join(s.Close(), engines.Close(), sender.Close()) }
}

func start(t testing.TB, w *platformtest.Platform, name string, seeds ...string) *node {
	t.Helper()
	return startAt(t, w.Store.Addr(), name, seeds...)
}

// startIn starts a node in a data centre.
func startIn(t testing.TB, w *platformtest.Platform, name, dataCenter string) *node {
	t.Helper()
	return startWith(t, pkedge.Settings{
		Entry: pkid.EntryID(name), DataCenter: pkid.DataCenter(dataCenter), Store: w.Store.Addr(),
		Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Stop:   pkedge.Stop{GraceS: 4},
		Retry:  pkedge.Retry{Ratio: 0.2, WindowS: 10, Slack: 200},
	})
}

func startAt(t testing.TB, store, name string, seeds ...string) *node {
	t.Helper()
	return startWith(t, pkedge.Settings{
		Entry: pkid.EntryID(name), DataCenter: "a", Store: store, Seeds: seeds,
		Listen: pkedge.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Stop:   pkedge.Stop{GraceS: 4},
		Retry:  pkedge.Retry{Ratio: 0.2, WindowS: 1, Slack: 200},
	})
}

func startWith(t testing.TB, s pkedge.Settings) *node {
	t.Helper()
	return startLinked(t, s, nil)
}

// startLinked starts a node that reaches the replicas over links of its own.
func startLinked(t testing.TB, s pkedge.Settings, links *platformtest.Links) *node {
	t.Helper()
	p, closePorts := ports(s.Store, links)
	d, err := pkedge.New(s, p, nodeLogger(t, s.Entry))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Daemon: d, stop: cancel, ended: make(chan error, 1), client: &http.Client{Transport: &http.Transport{}}}
	go func() { n.ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		n.client.CloseIdleConnections()
		assert.NilError(t, <-n.ended)
		_ = closePorts() // idle connections only
	})
	return n
}

// waitForRetries waits until a node may use its whole retry budget, which is a window after its start.
func (n *node) waitForRetries(t testing.TB) {
	t.Helper()
	i := 0
	eventually(t, "retries", func() bool {
		i++
		assert.Equal(t, n.do(t, http.MethodGet, "/read/1", fmt.Sprintf("retries-%d", i), platformtest.Key, 0).status, http.StatusOK)
		allowed, err := strconv.ParseFloat(n.metric(t, "peridotknot_retries_allowed"), 64)
		return err == nil && allowed > 100
	})
}

// eventually waits until a condition holds, for at most waitTimeout.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within the time limit: %s", what)
		}
	}
}

func (n *node) isReady(t testing.TB) bool {
	resp, err := http.Get("http://" + n.ReadyAddr() + "/readiness")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode == http.StatusOK
}

// metric returns the value of a metric as text, or an empty string if it is missing.
func (n *node) metric(t testing.TB, name string) string {
	resp, err := http.Get("http://" + n.ReadyAddr() + "/metrics")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, resp.Body.Close()) }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
			return value
		}
	}
	return ""
}

type reply struct {
	status int
	body   string
	header http.Header
	// closes is set if the answer closes its connection.
	closes bool
	// err is set if the answer broke off or there was none.
	err error
}

// do sends a request with an id; one with tokens is for a model.
func (n *node) do(t testing.TB, method, path, id, key string, tokens int) reply {
	t.Helper()
	return n.doWithin(t, waitTimeout, method, path, id, key, tokens)
}

// doWithin sends a request of a caller that waits for the given time.
func (n *node) doWithin(t testing.TB, wait time.Duration, method, path, id, key string, tokens int) reply {
	t.Helper()
	text := ""
	if method == http.MethodPost {
		text = "body of " + id
	}
	return n.doWith(t, wait, method, path, id, key, tokens, text)
}

// doWith sends a request with a body, or without one if the text is empty.
func (n *node) doWith(t testing.TB, wait time.Duration, method, path, id, key string, tokens int, text string) reply {
	t.Helper()
	var body io.Reader
	if text != "" {
		body = strings.NewReader(text)
	}
	req, err := platformtest.NewRequest(t.Context(), method, "http://"+n.CallersAddr()+path, id, key, tokens, wait, body)
	assert.NilError(t, err)
	return n.sendRequest(req)
}

// sendRequest sends a request and returns its answer.
func (n *node) sendRequest(req *http.Request) reply {
	resp, err := n.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(raw), header: resp.Header, closes: resp.Close, err: err}
}

// newPool starts a platform with a pool of six engines.
func newPool(t *testing.T) (*platformtest.Platform, map[string]*platformtest.Replica) {
	t.Helper()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	engines := map[string]*platformtest.Replica{}
	for i := range 6 {
		id := fmt.Sprintf("i-%d", i)
		engines[id] = w.Add(platformtest.Pool, id, "a")
	}
	return w, engines
}

func events(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(platformtest.Event(i + 1))
	}
	return b.String()
}

// waitForStream waits until the engines of the pool have been given layers and serve a stream.
func (n *node) waitForStream(t testing.TB) {
	t.Helper()
	eventually(t, "readiness", func() bool { return n.isReady(t) })
	i := 0
	eventually(t, "a path", func() bool {
		i++
		return n.do(t, http.MethodPost, "/talk/1", fmt.Sprintf("warm-%d", i), platformtest.Key, 1).status == http.StatusOK
	})
}

// startStreams starts streams at the same time and waits until engines run all of them. It returns
// their answers and their first engines.
func (n *node) startStreams(t *testing.T, w *platformtest.Platform, streams, length int) (chan reply, map[string]bool) {
	t.Helper()
	answers := make(chan reply, streams)
	for i := range streams {
		go func() {
			answers <- n.do(t, http.MethodPost, "/talk/1", fmt.Sprintf("long-%d", i), platformtest.Key, length)
		}()
	}
	first := map[string]bool{}
	eventually(t, "all streams", func() bool {
		begun := 0
		for i := range streams {
			for _, run := range w.Runs(fmt.Sprintf("long-%d", i)) {
				first[run.Replica] = true
				begun++
			}
		}
		return begun == streams
	})
	return answers, first
}

// assertComplete checks that all streams are complete.
func assertComplete(t *testing.T, answers chan reply, streams, length int) {
	t.Helper()
	for range streams {
		assertServed(t, <-answers, length)
	}
}

// assertServed checks that an answer is a complete stream.
func assertServed(t *testing.T, got reply, length int) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, "%v", got.header)
	assert.Equal(t, got.body, events(length))
}

// storeProxy starts a proxy to the store of a platform, which can be interrupted.
func storeProxy(t *testing.T, w *platformtest.Platform) *platformtest.Proxy {
	t.Helper()
	l := platformtest.NewProxy(w.Store.Addr())
	t.Cleanup(l.Close)
	return l
}
