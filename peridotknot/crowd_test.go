package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"peridotknot.example/pksample"
	"peridotknot.example/pkstandin"
	"peridotknot.example/platform/platformtest"
)

// The limits of a daemon before which a crowd is sent.
const (
	crowdMemoryMB = 64
	// crowdGoLimit is the share of crowdMemoryMB that is left to Go, for a daemon that has no setting for its memory.
	crowdGoLimit     = "38MiB"
	crowdMaxBody     = 1 << 20
	crowdDescriptors = 4000
	fewDescriptors   = 400
	// spareDescriptors are those that a crowd leaves to the store, other entries and readiness.
	spareDescriptors = 20
	overLimit        = 100 << 20
	bytesPerMB       = 1 << 20
	// patience is how long an ordinary caller waits for an answer before it asks again.
	patience = 5 * time.Second
	// crowdTimeout is how long a crowd may take to send what it sends; a daemon may have stopped to read it by then.
	crowdTimeout = 30 * time.Second
	// suspendedTime is how long a daemon stands still while a crowd connects.
	suspendedTime = 3 * time.Second
)

// crowdDaemon is a daemon with low limits.
type crowdDaemon struct {
	p           *process
	addr, ready string
	// head returns the first lines of a request whose body follows, without those that frame it.
	head func() string
	// fill returns a legal body of a size.
	fill func(size int) string
	// ordinary sends an ordinary request and returns its status.
	ordinary func(t *testing.T) (status int, err error)
	// hold makes the targets answer nothing until the returned function is called.
	hold func() (release func())
	// setMaxBody changes the largest legal body; nil if it does not change while the daemon runs.
	setMaxBody func(bytes int)
	peak       peakMemory
}

// peakMemory is the largest sum of a process's resident memory and of the bytes that it has received and not read, and the
// largest number of its descriptors.
type peakMemory struct {
	bytes, unread, descriptors atomic.Int64
	stop                       context.CancelFunc
	done                       sync.WaitGroup
}

// watch samples the memory of a process that listens on a port until the test ends.
func (m *peakMemory) watch(t *testing.T, pid int, port string) {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.done.Go(func() {
		for ctx.Err() == nil {
			unread := unreadBytes(port)
			m.unread.Store(max(m.unread.Load(), unread))
			m.bytes.Store(max(m.bytes.Load(), memoryOf(pid, "VmRSS")+unread))
			m.descriptors.Store(max(m.descriptors.Load(), descriptorsOf(pid)))
			time.Sleep(10 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		m.stop()
		m.done.Wait()
	})
}

// memoryOf returns a field of a process's status in bytes, or zero if the process has ended.
func memoryOf(pid int, field string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, field+":"); found {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64) // zero where it is no number
			return kb << 10
		}
	}
	return 0
}

// descriptorsOf returns how many descriptors a process has open, zero if it has ended.
func descriptorsOf(pid int) int64 {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return int64(len(open))
}

// unreadBytes returns the bytes in the receive queues of the connections to a port.
func unreadBytes(port string) int64 {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf(":%04X", number)
	var sum int64
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		const listening = "0A"
		if len(f) < 5 || !strings.HasSuffix(f[1], local) || f[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}

// startCrowdDaemon starts a daemon that may have a number of descriptors.
func startCrowdDaemon(t *testing.T, d *crowdDaemon, program, settings, serving, ready, readyPath string, descriptors uint64) {
	t.Helper()
	d.p = startProcess(t, program, settings)
	assert.NilError(t, unix.Prlimit(d.p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil))
	d.ready = "http://" + d.p.address(t, serving, ready) + readyPath
	eventually(t, "readiness", func() bool { return answersOK(d.ready) })
	d.addr = d.p.address(t, serving, "callers")
	eventually(t, "an answer in calm", func() bool {
		status, err := d.ordinary(t)
		return err == nil && status == http.StatusOK
	})
	_, port, err := net.SplitHostPort(d.addr)
	assert.NilError(t, err)
	d.peak.watch(t, d.p.cmd.Process.Pid, port)
}

// startEdge starts the entry daemon on the users' platform before a plain service.
func startEdge(t *testing.T, descriptors uint64) *crowdDaemon {
	t.Helper()
	w := platformtest.NewPlatform()
	t.Cleanup(w.Close)
	return startEdgeBefore(t, w, descriptors)
}

// startEdgeBefore starts the entry daemon before a plain service of a platform.
func startEdgeBefore(t *testing.T, w *platformtest.Platform, descriptors uint64) *crowdDaemon {
	t.Helper()
	programs := buildPrograms(t)
	var replicas []*platformtest.Replica
	for i := range 4 {
		replicas = append(replicas, w.Add(platformtest.App, fmt.Sprintf("a-%d", i), "a"))
	}
	setMaxBody := func(bytes int) {
		w.Configure(func(config map[string]any) {
			config["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": bytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
		})
	}
	setMaxBody(crowdMaxBody)
	d := &crowdDaemon{
		head:       func() string { return platformtest.Head("/book/1", requestID(), platformtest.Key, waitTimeout) },
		fill:       func(size int) string { return strings.Repeat("a", size) },
		setMaxBody: setMaxBody,
		hold: func() (release func()) {
			var all []func()
			for _, r := range replicas {
				all = append(all, r.Hold())
			}
			return func() {
				for _, one := range all {
					one()
				}
			}
		},
	}
	d.ordinary = func(t *testing.T) (int, error) {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		req, err := platformtest.NewRequest(ctx, http.MethodPost, "http://"+d.addr+"/read/1", requestID(), platformtest.Key, 0, waitTimeout, strings.NewReader(d.fill(1<<10)))
		if err != nil {
			return 0, err
		}
		status, _, err := readAnswer(req)
		return status, err
	}
	startCrowdDaemon(t, d, filepath.Join(programs, "peridotknot-edge"), strings.Join([]string{
		"entry: e-1", "data_center: a", "store: " + w.Store.Addr(), fmt.Sprintf("memory_mb: %d", crowdMemoryMB),
		"listen: {callers: 127.0.0.1:0, ready: 127.0.0.1:0, peers: 127.0.0.1:0}",
		"stop: {grace_s: 6}", "retry: {ratio: 0.2, window_s: 10, slack: 200}", "",
	}, "\n"), "serving", "ready", "/readiness", descriptors)
	return d
}

// startOwn starts the entry daemon of the product's own interface. The crowd's requests are for its model, or for its
// service.
func startOwn(t *testing.T, descriptors uint64, service bool) *crowdDaemon {
	t.Helper()
	programs := buildPrograms(t)
	raw, err := pksample.File("aare", pksample.FileStandins)
	assert.NilError(t, err)
	s, err := pkstandin.ParseSettings("standins.yaml", raw)
	assert.NilError(t, err)
	env, err := pkstandin.Start(s)
	assert.NilError(t, err)
	t.Cleanup(env.Close)
	publishSample(t, env.StoreAddr())
	keys, err := pksample.Keys("aare")
	assert.NilError(t, err)
	path, fill := "/v1/chat/completions", func(size int) string {
		const before, after = `{"model":"budget-de","max_tokens":4,"messages":[{"role":"user","content":"`, `"}]}`
		return before + strings.Repeat("a", size-len(before)-len(after)) + after
	}
	if service {
		path, fill = "/services/voting/ballots", func(size int) string { return strings.Repeat("a", size) }
	}
	d := &crowdDaemon{
		head: func() string {
			return strings.Join([]string{"POST " + path + " HTTP/1.1", "Host: lab", "Authorization: Bearer " + keys["mitglieder"], ""}, "\r\n")
		},
		fill: fill,
		hold: func() (release func()) { return func() {} },
	}
	d.ordinary = func(t *testing.T) (int, error) {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.addr+path, strings.NewReader(fill(1<<10)))
		if err != nil {
			return 0, err
		}
		req.Header.Set("Authorization", "Bearer "+keys["mitglieder"])
		status, _, err := readAnswer(req)
		return status, err
	}
	t.Setenv("GOMEMLIMIT", crowdGoLimit)
	startCrowdDaemon(t, d, filepath.Join(programs, "peridotknotd"), strings.Join([]string{
		"entry: e-1", "region: lab", "data_center: bern-a", "store: " + env.StoreAddr(), "platform: " + env.PlatformAddr(),
		"listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}",
		"peers: {neighborhood: region}", "log: {level: info, format: json}", "stop: {delay: 300ms, limit: 6s}", "",
	}, "\n"), "serving", "admin", "/readyz", descriptors)
	return d
}

// sends is what a client of a crowd sends over its connection, which stays open after it.
type sends func(d *crowdDaemon, conn io.Writer) error

// crowd is a number of clients that stay connected.
type crowd struct {
	d       *crowdDaemon
	ctx     context.Context
	clients sync.WaitGroup
	sending sync.WaitGroup
	// reopens is set if a client connects again when its connection is closed.
	reopens bool

	mu       sync.Mutex
	statuses []string
}

// gather starts the clients of a crowd, and waits until they have sent what they send or the daemon has stopped to read it.
func (d *crowdDaemon) gather(t *testing.T, n int, send sends, reopens bool) (c *crowd, leave func()) {
	t.Helper()
	c, leave = d.start(t, n, send, reopens)
	c.awaitSent()
	return c, leave
}

// start starts the clients of a crowd.
func (d *crowdDaemon) start(t *testing.T, n int, send sends, reopens bool) (c *crowd, leave func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c = &crowd{d: d, ctx: ctx, reopens: reopens}
	for range n {
		c.sending.Add(1)
		c.clients.Go(func() { c.run(send) })
	}
	leave = sync.OnceFunc(func() {
		cancel()
		c.clients.Wait()
	})
	t.Cleanup(leave)
	return c, leave
}

// awaitSent waits until all have sent what they send, or crowdTimeout.
func (c *crowd) awaitSent() {
	sent := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(crowdTimeout):
	}
}

func (c *crowd) run(send sends) {
	sent := sync.OnceFunc(c.sending.Done)
	defer sent()
	for {
		c.connect(send, sent)
		if !c.reopens || c.ctx.Err() != nil {
			return
		}
	}
}

// connect sends over one connection, and returns when it is closed.
func (c *crowd) connect(send sends, sent func()) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(c.ctx, "tcp", c.d.addr)
	if err != nil {
		sent()
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	defer stop()
	go func() {
		_ = send(c.d, conn) // the daemon may close the connection
		sent()
	}()
	r := bufio.NewReader(conn)
	line, _ := r.ReadString('\n')
	c.mu.Lock()
	c.statuses = append(c.statuses, line)
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, r)
}

// answered returns how many connections have an answer of one of some statuses, of all that have ended or have an answer.
func (c *crowd) answered(statuses ...int) (count, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, line := range c.statuses {
		for _, s := range statuses {
			if strings.HasPrefix(line, fmt.Sprintf("HTTP/1.1 %d ", s)) {
				count++
			}
		}
	}
	return count, len(c.statuses)
}

// check checks that the daemon lives within its memory, is ready, and answers an ordinary request.
func (d *crowdDaemon) check(t *testing.T) {
	t.Helper()
	eventually(t, "an answer to an ordinary request", func() bool {
		status, err := d.ordinary(t)
		return !d.p.running() || (err == nil && status == http.StatusOK)
	})
	eventually(t, "readiness", func() bool { return !d.p.running() || answersOK(d.ready) })
	assert.Assert(t, d.p.running(), "the process has ended: %s", d.p.cmd.ProcessState)
	peak := max(d.peak.bytes.Load(), memoryOf(d.p.cmd.Process.Pid, "VmHWM"))
	assert.Assert(t, peak <= crowdMemoryMB*bytesPerMB, "%d MB of %d were used, with at most %d KB received and not read", peak/bytesPerMB, crowdMemoryMB, d.peak.unread.Load()>>10)
	t.Logf("%d MB of %d were used, with at most %d KB received and not read", peak/bytesPerMB, crowdMemoryMB, d.peak.unread.Load()>>10)
}

// end stops the daemon and checks that it ends by itself.
func (d *crowdDaemon) end(t *testing.T) {
	t.Helper()
	d.p.signal(syscall.SIGTERM)
	d.p.awaitExit(t)
}

// outlives sends a crowd and checks the daemon beside it and after it.
func (d *crowdDaemon) outlives(t *testing.T, n int, send sends, reopens bool) *crowd {
	t.Helper()
	c, leave := d.gather(t, n, send, reopens)
	d.check(t)
	leave()
	d.check(t)
	return c
}

// outlivesSuspended sends a crowd while the daemon stands still, and checks it once it goes on.
func (d *crowdDaemon) outlivesSuspended(t *testing.T, n int, send sends) {
	t.Helper()
	d.p.signal(syscall.SIGSTOP)
	c, leave := d.start(t, n, send, false)
	time.Sleep(suspendedTime)
	d.p.signal(syscall.SIGCONT)
	c.awaitSent()
	d.check(t)
	leave()
	d.check(t)
}

// announced sends a body of a legal size but for its last bytes, in pieces.
func announced(missing, piece int, pause time.Duration) sends {
	return func(d *crowdDaemon, conn io.Writer) error {
		body := d.fill(crowdMaxBody)
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", d.head(), len(body)); err != nil {
			return err
		}
		return inPieces(conn, body[:len(body)-missing], piece, pause)
	}
}

// whole sends a request with a body of a size.
func whole(size int) sends {
	return func(d *crowdDaemon, conn io.Writer) error {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.head(), size, d.fill(size))
		return err
	}
}

func inPieces(conn io.Writer, body string, piece int, pause time.Duration) error {
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := io.WriteString(conn, body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(pause)
	}
	return nil
}

// chunked sends a body of a legal size in chunks, but for its last byte and its end.
func chunked(chunk int) sends {
	return func(d *crowdDaemon, conn io.Writer) error {
		w := bufio.NewWriterSize(conn, 64<<10)
		fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", d.head())
		body := d.fill(crowdMaxBody)
		for body = body[:len(body)-1]; len(body) > 0; {
			n := min(chunk, len(body))
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, body[:n]); err != nil {
				return err
			}
			body = body[n:]
		}
		return w.Flush()
	}
}

// announcedOver announces a body far over the limit and sends it.
func announcedOver(d *crowdDaemon, conn io.Writer) error {
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", d.head(), overLimit); err != nil {
		return err
	}
	piece := strings.Repeat("a", 64<<10)
	for range overLimit / len(piece) {
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
	}
	return nil
}

// chunkedOver sends a body far over the limit in chunks.
func chunkedOver(d *crowdDaemon, conn io.Writer) error {
	if _, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", d.head()); err != nil {
		return err
	}
	body := d.fill(crowdMaxBody)
	piece := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for range overLimit / len(body) {
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
	}
	return nil
}

// endlessHeader sends a header of a legal size that does not end.
func endlessHeader(size int) sends {
	return func(d *crowdDaemon, conn io.Writer) error {
		_, err := io.WriteString(conn, d.head()+"X-Fill: "+strings.Repeat("a", size))
		return err
	}
}

// silent sends nothing.
func silent(*crowdDaemon, io.Writer) error { return nil }

// flood sends a whole request with a small body, and more bytes than the daemon reads while the request is in progress.
func flood(d *crowdDaemon, conn io.Writer) error {
	body := d.fill(1 << 10)
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.head(), len(body), body); err != nil {
		return err
	}
	_, err := io.WriteString(conn, strings.Repeat("a", crowdMaxBody))
	return err
}

// emptyObjects sends a whole body that is a list of empty objects.
func emptyObjects(d *crowdDaemon, conn io.Writer) error {
	const before, after = `{"model":"budget-de","max_tokens":4,"messages":[`, `{}]}`
	body := before + strings.Repeat("{},", (crowdMaxBody-len(before)-len(after))/len("{},")) + after
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.head(), len(body), body)
	return err
}

// The numbers of clients in the crowds.
const (
	bodiesCrowd    = 150
	overCrowd      = 60
	headersCrowd   = 1200
	silentCrowd    = 2000
	floodCrowd     = 600
	mixedCrowd     = 40
	suspendedCrowd = 1200
	waitingCrowd   = 600
)

// kinds are what the clients of a mixed crowd send.
var kinds = []sends{
	announced(1, crowdMaxBody, 0), announced(1, 64<<10, 50*time.Millisecond), announced(0, crowdMaxBody, 0),
	chunked(64 << 10), chunked(8), announcedOver, chunkedOver, endlessHeader(15 << 10), silent, flood,
}

// mixed returns what a crowd of all kinds sends.
func mixed() sends {
	var next atomic.Int64
	return func(d *crowdDaemon, conn io.Writer) error { return kinds[int(next.Add(1))%len(kinds)](d, conn) }
}

// refusesAll checks that each client of a crowd reads why it was refused.
func refusesAll(t *testing.T, c *crowd) {
	t.Helper()
	read, all := c.answered(http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable)
	assert.Equal(t, read, all, "clients have read why they were refused")
}

// servesLargest checks that a body of the largest legal size is served in calm.
func servesLargest(t *testing.T, d *crowdDaemon, size int) {
	t.Helper()
	eventually(t, "an answer to the largest body", func() bool {
		conn, err := net.Dial("tcp", d.addr)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		body := d.fill(size)
		// Fails where the body is refused, until a changed limit is in force.
		_, _ = fmt.Fprintf(conn, "%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", d.head(), len(body), body)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return strings.HasPrefix(line, "HTTP/1.1 200 ")
	})
}

// Guards against a process that runs out of memory by bodies that stop just short of their announced end.
func TestEdgeOutlivesBodiesShortOfTheirEnd(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.outlives(t, bodiesCrowd, announced(1, crowdMaxBody, 0), false)
	d.end(t)
}

// Guards against a process that runs out of memory by bodies that come piece by piece and stop short of their end.
func TestEdgeOutlivesBodiesInPieces(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.outlives(t, bodiesCrowd, announced(1, 64<<10, 50*time.Millisecond), false)
	d.end(t)
}

// Guards against a process that runs out of memory by whole bodies whose targets do not answer.
func TestEdgeOutlivesWholeBodies(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	release := d.hold()
	c, leave := d.gather(t, bodiesCrowd, announced(0, crowdMaxBody, 0), false)
	release()
	d.check(t)
	leave()
	d.check(t)
	d.end(t)
	_, all := c.answered()
	assert.Equal(t, all, bodiesCrowd)
}

// Guards against a process that runs out of memory by large chunks that stop short of the end of their body.
func TestEdgeOutlivesLargeChunks(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.outlives(t, bodiesCrowd, chunked(512<<10), false)
	d.end(t)
}

// Guards against a process that runs out of memory by very small chunks that stop short of the end of their body.
func TestEdgeOutlivesSmallChunks(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.outlives(t, bodiesCrowd, chunked(8), false)
	d.end(t)
}

// Guards against a process that runs out of memory by bodies announced far over the limit, and against clients that do not
// learn why they are refused.
func TestEdgeOutlivesBodiesOverTheLimit(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	refusesAll(t, d.outlives(t, overCrowd, announcedOver, false))
	d.end(t)
}

// Guards against a process that runs out of memory by chunks far over the limit, and against clients that do not learn why
// they are refused.
func TestEdgeOutlivesChunksOverTheLimit(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	refusesAll(t, d.outlives(t, overCrowd, chunkedOver, false))
	d.end(t)
}

// Guards against a process that runs out of memory by headers that do not end.
func TestEdgeOutlivesHeadersWithoutEnd(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.outlives(t, headersCrowd, endlessHeader(15<<10), false)
	d.end(t)
}

// Guards against connections without a request that take all descriptors, so that no other caller is served.
func TestEdgeOutlivesSilentConnections(t *testing.T) {
	d := startEdge(t, fewDescriptors)
	d.outlives(t, silentCrowd, silent, true)
	d.end(t)
}

// Guards against requests that take all descriptors with their connections to targets that do not answer.
func TestEdgeOutlivesRequestsThatWait(t *testing.T) {
	d := startEdge(t, fewDescriptors)
	release := d.hold()
	defer release()
	_, leave := d.gather(t, waitingCrowd, whole(1<<10), false)
	defer leave()
	time.Sleep(suspendedTime) // requests reach their targets
	eventually(t, "readiness", func() bool { return !d.p.running() || answersOK(d.ready) })
	release()
	d.check(t)
	leave()
	d.check(t)
	used := d.peak.descriptors.Load()
	t.Logf("%d descriptors of %d were used", used, fewDescriptors)
	assert.Assert(t, used <= fewDescriptors-spareDescriptors, "%d descriptors of %d were used", used, fewDescriptors)
	d.end(t)
}

// Guards against idle connections to targets, left by answered requests, that take the last descriptors beside a crowd.
func TestEdgeOutlivesACrowdAfterRequestsThatWaited(t *testing.T) {
	d := startEdge(t, fewDescriptors)
	release := d.hold()
	defer release()
	_, leave := d.gather(t, waitingCrowd, whole(1<<10), false)
	defer leave()
	time.Sleep(suspendedTime) // requests reach their targets
	release()
	time.Sleep(suspendedTime) // they are answered
	_, leaveSilent := d.gather(t, waitingCrowd, silent, false)
	defer leaveSilent()
	time.Sleep(suspendedTime) // the process accepts them
	used := d.peak.descriptors.Load()
	assert.Assert(t, used <= fewDescriptors-spareDescriptors, "%d descriptors of %d were used", used, fewDescriptors)
	d.check(t)
	d.end(t)
}

// Guards against a process that exceeds its memory by bytes that it has received and does not read.
func TestEdgeOutlivesUnreadBytes(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	release := d.hold()
	_, leave := d.gather(t, floodCrowd, flood, false)
	release()
	d.check(t)
	leave()
	d.check(t)
	d.end(t)
}

// Guards against connections that exceed the memory of the machine before the process accepts them.
func TestEdgeOutlivesACrowdWhileSuspended(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.outlivesSuspended(t, suspendedCrowd, announced(1, crowdMaxBody, 0))
	d.end(t)
}

// Guards against a process that runs out of memory by a crowd of all kinds.
func TestEdgeOutlivesAMixedCrowd(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.outlives(t, mixedCrowd*len(kinds), mixed(), false)
	d.end(t)
}

// Guards against a crowd that leaves something behind, so that the next one ends the process.
func TestEdgeOutlivesTwoCrowds(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.outlives(t, bodiesCrowd, announced(1, crowdMaxBody, 0), false)
	d.outlives(t, bodiesCrowd, chunked(64<<10), false)
	d.end(t)
}

// Guards against a crowd that keeps a process from applying its settings, or from ending within its grace period.
func TestEdgeStopsBesideACrowd(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	d.gather(t, bodiesCrowd, announced(1, crowdMaxBody, 0), false)
	d.p.signal(syscall.SIGHUP)
	d.check(t)
	d.gather(t, bodiesCrowd, chunked(64<<10), false)
	d.end(t)
}

// Guards against limits on all callers that refuse a single body of the largest legal size, also after that has changed.
func TestEdgeServesTheLargestBody(t *testing.T) {
	d := startEdge(t, crowdDescriptors)
	for _, size := range []int{crowdMaxBody, 8 << 20, crowdMaxBody / 2, 4 << 20} {
		d.setMaxBody(size)
		servesLargest(t, d, size)
	}
	d.check(t)
	d.end(t)
}

// Guards against a process that runs out of memory by bodies that stop just short of their announced end.
func TestOwnOutlivesBodiesShortOfTheirEnd(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.outlives(t, bodiesCrowd, announced(1, crowdMaxBody, 0), false)
	d.end(t)
}

// Guards against a process that runs out of memory by bodies that come piece by piece and stop short of their end.
func TestOwnOutlivesBodiesInPieces(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.outlives(t, bodiesCrowd, announced(1, 64<<10, 50*time.Millisecond), false)
	d.end(t)
}

// Guards against a process that runs out of memory by large chunks that stop short of the end of their body.
func TestOwnOutlivesLargeChunks(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.outlives(t, bodiesCrowd, chunked(512<<10), false)
	d.end(t)
}

// Guards against a process that runs out of memory by very small chunks that stop short of the end of their body.
func TestOwnOutlivesSmallChunks(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.outlives(t, bodiesCrowd, chunked(8), false)
	d.end(t)
}

// Guards against a process that runs out of memory by whole bodies that are decoded to many times their size.
func TestOwnOutlivesListsOfEmptyObjects(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.outlives(t, bodiesCrowd, emptyObjects, false)
	d.end(t)
}

// Guards against calls to a service that hold their place, or memory, while their body does not come.
func TestOwnOutlivesServiceBodiesShortOfTheirEnd(t *testing.T) {
	d := startOwn(t, crowdDescriptors, true)
	d.outlives(t, 3*bodiesCrowd, announced(1, crowdMaxBody, 0), false)
	d.end(t)
}

// Guards against a process that runs out of memory by whole bodies of calls to a service.
func TestOwnOutlivesWholeServiceBodies(t *testing.T) {
	d := startOwn(t, crowdDescriptors, true)
	d.outlives(t, bodiesCrowd, announced(0, crowdMaxBody, 0), false)
	d.end(t)
}

// Guards against a process that runs out of memory by bodies announced far over the limit, and against clients that do not
// learn why they are refused.
func TestOwnOutlivesBodiesOverTheLimit(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	refusesAll(t, d.outlives(t, overCrowd, announcedOver, false))
	d.end(t)
}

// Guards against a process that runs out of memory by chunks far over the limit, and against clients that do not learn why
// they are refused.
func TestOwnOutlivesChunksOverTheLimit(t *testing.T) {
	d := startOwn(t, crowdDescriptors, true)
	refusesAll(t, d.outlives(t, overCrowd, chunkedOver, false))
	d.end(t)
}

// Guards against a process that runs out of memory by headers that do not end.
func TestOwnOutlivesHeadersWithoutEnd(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.outlives(t, headersCrowd, endlessHeader(31<<10), false)
	d.end(t)
}

// Guards against connections without a request that take all descriptors, so that no other caller is served.
func TestOwnOutlivesSilentConnections(t *testing.T) {
	d := startOwn(t, fewDescriptors, false)
	d.outlives(t, silentCrowd, silent, true)
	d.end(t)
}

// Guards against connections that exceed the memory of the machine before the process accepts them.
func TestOwnOutlivesACrowdWhileSuspended(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.outlivesSuspended(t, suspendedCrowd, announced(1, crowdMaxBody, 0))
	d.end(t)
}

// Guards against a process that runs out of memory by a crowd of all kinds.
func TestOwnOutlivesAMixedCrowd(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.outlives(t, mixedCrowd*len(kinds), mixed(), false)
	d.end(t)
}

// Guards against a crowd that keeps a process from ending within its grace period.
func TestOwnStopsBesideACrowd(t *testing.T) {
	d := startOwn(t, crowdDescriptors, false)
	d.gather(t, bodiesCrowd, announced(1, crowdMaxBody, 0), false)
	d.p.signal(syscall.SIGHUP)
	d.check(t)
	d.gather(t, bodiesCrowd, chunked(64<<10), false)
	d.end(t)
}

// Guards against limits on all callers that refuse a single body of the largest legal size.
func TestOwnServesTheLargestBody(t *testing.T) {
	d := startOwn(t, crowdDescriptors, true)
	servesLargest(t, d, crowdMaxBody)
	d.check(t)
	d.end(t)
}
