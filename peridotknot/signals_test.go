package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
	"peridotknot.example/pketcd"
	"peridotknot.example/pkhead"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pksample"
	"peridotknot.example/pkstandin"
	"peridotknot.example/pktrace"
	"peridotknot.example/platform/platformtest"
)

// signalGap is the time between two signals of a series.
const signalGap = 100 * time.Millisecond

// series are signals in the order in which a daemon gets them; all but those of hangups alone stop it.
var series = [][]syscall.Signal{
	{syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP},
	{syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGINT},
	{syscall.SIGINT, syscall.SIGTERM},
	{syscall.SIGINT, syscall.SIGHUP, syscall.SIGINT},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
}

func seriesName(signals []syscall.Signal) string {
	var names []string
	for _, s := range signals {
		names = append(names, map[syscall.Signal]string{syscall.SIGHUP: "HUP", syscall.SIGTERM: "TERM", syscall.SIGINT: "INT"}[s])
	}
	return strings.Join(names, ",")
}

var requests atomic.Int64

// requestID returns the ID of a new request.
func requestID() string { return fmt.Sprintf("request-%d", requests.Add(1)) }

// deployment is a daemon with the systems around it.
type deployment struct {
	program string
	// settings returns the settings file of a daemon whose store is at the given address.
	settings func(store string) string
	store    string
	// serving is the message of the line with the daemon's addresses.
	serving string
	// callers and ready are the keys of its addresses in that line, readyPath is the path for readiness.
	callers, ready, readyPath string
	// request sends a request whose answer takes about a second, calls begun once a target runs it, and returns an
	// error unless the answer is whole.
	request func(t *testing.T, addr string, begun func()) error
}

// awaitReady waits until a process is ready and returns its address for callers.
func (d deployment) awaitReady(t *testing.T, p *process) string {
	t.Helper()
	url := "http://" + p.address(t, d.serving, d.ready) + d.readyPath
	eventually(t, "readiness", func() bool { return answersOK(url) })
	return p.address(t, d.serving, d.callers)
}

// edgeDeployment returns the entry daemon on the users' platform before a pool of engines.
func edgeDeployment(t *testing.T, programs string) deployment {
	const events = 200
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	for i := range 6 {
		w.Add(platformtest.Pool, fmt.Sprintf("i-%d", i), "a")
	}
	stream := func(addr, id string, n int) (status int, body string, err error) {
		req, err := platformtest.NewRequest(t.Context(), http.MethodPost, "http://"+addr+"/talk/1", id, platformtest.Key, n, waitTimeout, strings.NewReader(id))
		if err != nil {
			return 0, "", err
		}
		return readAnswer(req)
	}
	return deployment{
		program: filepath.Join(programs, "peridotknot-edge"),
		settings: func(store string) string {
			return strings.Join([]string{
				"entry: e-1", "data_center: a", "store: " + store,
				"listen: {callers: 127.0.0.1:0, ready: 127.0.0.1:0, peers: 127.0.0.1:0}",
				"stop: {grace_s: 6}", "retry: {ratio: 0.2, window_s: 10, slack: 200}", "",
			}, "\n")
		},
		store: w.Store.Addr(), serving: "serving", callers: "callers", ready: "ready", readyPath: "/readiness",
		request: func(t *testing.T, addr string, begun func()) error {
			eventually(t, "a path", func() bool {
				status, _, err := stream(addr, requestID(), 1)
				return err == nil && status == http.StatusOK
			})
			id := requestID()
			ended := make(chan error, 1)
			go func() {
				status, body, err := stream(addr, id, events)
				if err == nil && (status != http.StatusOK || strings.Count(body, "data:") != events) {
					err = fmt.Errorf("status %d with %d events of %d", status, strings.Count(body, "data:"), events)
				}
				ended <- err
			}()
			eventually(t, "the run", func() bool { return len(w.Runs(id)) > 0 })
			begun()
			return <-ended
		},
	}
}

// ownDeployment returns the entry daemon of the product's own interface before a plain service.
func ownDeployment(t *testing.T, programs string) deployment {
	raw, err := pksample.File("aare", pksample.FileStandins)
	assert.NilError(t, err)
	s, err := pkstandin.ParseSettings("standins.yaml", raw)
	assert.NilError(t, err)
	s.Services[0].ProcessingTime = time.Second
	env, err := pkstandin.Start(s)
	assert.NilError(t, err)
	t.Cleanup(env.Close)
	publishSample(t, env.StoreAddr())
	keys, err := pksample.Keys("aare")
	assert.NilError(t, err)
	return deployment{
		program: filepath.Join(programs, "peridotknotd"),
		settings: func(store string) string {
			return strings.Join([]string{
				"entry: e-1", "region: lab", "data_center: bern-a", "store: " + store, "platform: " + env.PlatformAddr(),
				"listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}",
				"peers: {neighborhood: region}", "log: {level: info, format: json}", "stop: {delay: 300ms, limit: 6s}", "",
			}, "\n")
		},
		store: env.StoreAddr(), serving: "serving", callers: "callers", ready: "admin", readyPath: "/readyz",
		request: func(t *testing.T, addr string, begun func()) error {
			id := requestID()
			ended := make(chan error, 1)
			go func() {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/services/voting/records/1", http.NoBody)
				if err != nil {
					ended <- err
					return
				}
				req.Header.Set("Authorization", "Bearer "+keys["mitglieder"])
				req.Header.Set(pktrace.HeaderCall, id)
				status, body, err := readAnswer(req)
				if err == nil && status != http.StatusOK {
					err = fmt.Errorf("status %d: %s", status, body)
				}
				ended <- err
			}()
			eventually(t, "the run", func() bool { return env.Ledger().Runs[id] > 0 })
			begun()
			return <-ended
		},
	}
}

func publishSample(t *testing.T, store string) {
	t.Helper()
	body, err := pksample.File("aare", pksample.FileManifest)
	assert.NilError(t, err)
	m, err := pkmanifest.Parse("manifest.yaml", body)
	assert.NilError(t, err)
	client := pketcd.New(store, pkconn.DefaultOptions())
	_, err = pkhead.Publish(t.Context(), client, pkhead.Draft{ID: "first", Operator: "test", Name: m.Name, Body: body})
	assert.NilError(t, errors.Join(err, client.Close()))
}

// readAnswer sends a request on a connection of its own and reads the whole answer.
func readAnswer(req *http.Request) (status int, body string, err error) {
	req.Close = true
	return send(http.DefaultClient, req)
}

// send sends a request and reads the whole answer.
func send(c *http.Client, req *http.Request) (status int, body string, err error) {
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), errors.Join(err, resp.Body.Close())
}

// sendSeries sends signals one after the other. If none of them stops a daemon, it checks that the process still runs
// and ends the series with SIGTERM.
func sendSeries(t *testing.T, p *process, signals []syscall.Signal) {
	t.Helper()
	stops := false
	for _, s := range signals {
		p.signal(s)
		stops = stops || s != syscall.SIGHUP
		time.Sleep(signalGap)
	}
	if !stops {
		assert.Assert(t, p.running(), "the process has ended: %s", p.cmd.ProcessState)
		p.signal(syscall.SIGTERM)
	}
}

// deployments starts the systems around each entry daemon.
func deployments(t *testing.T) map[string]deployment {
	t.Helper()
	programs := buildPrograms(t)
	return map[string]deployment{"peridotknot-edge": edgeDeployment(t, programs), "peridotknotd": ownDeployment(t, programs)}
}

// Guards against a signal that ends a daemon at once, with the requests in progress: SIGHUP, or a second SIGTERM or
// SIGINT, while it serves or stops.
func TestSignalsCutNoRequests(t *testing.T) {
	for name, d := range deployments(t) {
		for _, signals := range series {
			t.Run(name+"/"+seriesName(signals), func(t *testing.T) {
				t.Parallel()
				p := startProcess(t, d.program, d.settings(d.store))
				addr := d.awaitReady(t, p)
				assert.NilError(t, d.request(t, addr, func() { sendSeries(t, p, signals) }))
				p.awaitExit(t)
			})
		}
	}
}

// Guards against a signal that ends a daemon that cannot reach its store.
func TestSignalsWithoutAStore(t *testing.T) {
	const unreachable = "127.0.0.1:1"
	for name, d := range deployments(t) {
		for _, signals := range series {
			t.Run(name+"/"+seriesName(signals), func(t *testing.T) {
				t.Parallel()
				p := startProcess(t, d.program, d.settings(unreachable))
				p.address(t, d.serving, d.callers)
				sendSeries(t, p, signals)
				p.awaitExit(t)
			})
		}
	}
}

// Guards against SIGHUP ending a daemon that has not read its settings yet.
func TestHangupBeforeTheSettingsAreRead(t *testing.T) {
	for name, d := range deployments(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, feed := startUnread(t, d.program)
			p.signal(syscall.SIGHUP)
			time.Sleep(signalGap)
			assert.Assert(t, p.running(), "the process has ended: %s", p.cmd.ProcessState)
			p.writeSettings(t, d.settings(d.store))
			feed(d.settings(d.store))
			d.awaitReady(t, p)
			p.signal(syscall.SIGTERM)
			p.awaitExit(t)
		})
	}
}

// Guards against settings that change while a daemon starts, before it checks the file for changes, and never apply.
func TestSettingsThatChangeDuringAStartApply(t *testing.T) {
	d := deployments(t)["peridotknot-edge"]
	p, feed := startUnread(t, d.program)
	before := d.settings(d.store)
	p.writeSettings(t, strings.Replace(before, "slack: 200", "slack: 300", 1))
	feed(before)
	d.awaitReady(t, p)
	eventually(t, "the change", func() bool {
		lines := p.log.lines("settings reloaded")
		return len(lines) > 0 && lines[0]["retry_slack"] == 300.0
	})
	p.signal(syscall.SIGTERM)
	p.awaitExit(t)
}

// Guards against a daemon that ends when the reader of its log is gone.
func TestLogWithoutAReader(t *testing.T) {
	for name, d := range deployments(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProcess(t, d.program, d.settings(d.store))
			addr := d.awaitReady(t, p)
			p.closeLog(t)
			assert.NilError(t, d.request(t, addr, func() { p.signal(syscall.SIGHUP) }))
			assert.NilError(t, d.request(t, addr, func() { p.signal(syscall.SIGTERM) }))
			p.awaitExit(t)
		})
	}
}

// Guards against SIGHUP ending the stand-ins, which would look like an outage of all that they stand for.
func TestSignalsOfTheStandins(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "peridotknot-standin")
	raw, err := pksample.File("aare", pksample.FileStandins)
	assert.NilError(t, err)
	for _, signals := range series {
		t.Run(seriesName(signals), func(t *testing.T) {
			t.Parallel()
			p := startProcess(t, program, string(raw))
			p.awaitOutput(t, "stand-ins started")
			sendSeries(t, p, signals)
			p.awaitExit(t)
		})
	}
}
