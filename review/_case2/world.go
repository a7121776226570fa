package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"peridotknot.example/platform/platformtest"
)

const (
	host        = "members.example"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	tenantName  = "hule930"
	service     = "vote-app"
	dataCenter  = "bern-a"
	heartbeat   = 1200 * time.Millisecond
	silenceLeft = 3 * heartbeat // after which the store removes an entry
	timeLimit   = 115 * time.Second
)

// world is the platform of a script: its store, its operator, its clients, and the processes that it has started.
type world struct {
	dir     string
	trouble bool
	record  *os.File
	began   time.Time

	closeOnce sync.Once
	store     *platformtest.Store
	config    map[string]any
	version   int
	edges     []*edge
	mu        sync.Mutex
	replicas  map[string]*replica
	beats     context.CancelFunc
	paused    bool
	// machines is set if each replica has a machine that can be lost.
	machines bool
	// descriptors is how many each process of the system may have; zero leaves it as it is.
	descriptors uint64
	// memoryMB is the memory limit in the settings, with descriptors.
	memoryMB int
}

// edge is a process of the system.
type edge struct {
	name, front, ready, peers string
	cmd                       *exec.Cmd
}

// replica is a process of a replica.
type replica struct {
	id, addr, mode string
	// service is that of its entry; service of the world if empty.
	service string
	// machine lies between callers and the replica; nil if they reach it directly.
	machine  *machine
	born     int64
	cmd      *exec.Cmd
	entry    map[string]any
	beating  bool
	lastBeat time.Time
}

func runScript(script func(*world) (bool, error)) int {
	folder := os.Getenv("CASE_FOLDER")
	if folder == "" {
		fmt.Fprintln(os.Stderr, "CASE_FOLDER is not set")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(folder, recordFile))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "case2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(), replicas: map[string]*replica{}}
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-end:
		case <-time.After(timeLimit):
		}
		w.note("could not run: ended before its time, or after %v", timeLimit)
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := script(w)
	w.close()
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken:
		w.note("result: the rule is broken")
		return exitBroken
	default:
		w.note("result: the rule holds")
		return exitHeld
	}
}

// note writes a line to the record; replicas write to the same file.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// start starts the store with the operator's first configuration, and the heartbeats of replicas.
func (w *world) start(change func(config map[string]any)) {
	w.store = platformtest.NewStore()
	w.store.EnableEras()
	w.config = map[string]any{
		"routes": []any{
			route("proposal-record", "/record/", "idempotent", 5000, 2),
			route("ballot-status", "/ballot/", "non_idempotent", 5000, 1),
			route("member-question", "/question/", "streaming", 20000, 2),
		},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}}},
	}
	w.configure(change)
	ctx, cancel := context.WithCancel(context.Background())
	w.beats = cancel
	go w.heartbeats(ctx)
}

func route(name, prefix, kind string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "service": service, "timeout_ms": timeoutMS,
		"slo_ms": 300, "gap_target_ms": 200, "max_attempts": attempts, "priority_class": 1, "resumable": false,
	}
}

// configure writes the next version of the configuration; the store's response is its acknowledgement.
func (w *world) configure(change func(config map[string]any)) {
	if change != nil {
		change(w.config)
	}
	w.version += 3
	w.config["version"] = w.version
	w.store.Put("op/config", w.config)
	w.note("operator: version %d acknowledged", w.version)
}

// heartbeats writes the entries of replicas and removes those that are silent.
func (w *world) heartbeats(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.mu.Lock()
		if !w.paused {
			now := time.Now()
			for _, r := range w.replicas {
				switch {
				case r.beating && now.Sub(r.lastBeat) >= heartbeat:
					w.beat(now, r)
				case !r.beating && r.entry != nil && now.Sub(r.lastBeat) >= silenceLeft && w.store.Value("servers/"+r.id) != nil:
					w.store.Delete("servers/" + r.id)
					w.note("store: entry of replica %s expired", r.id)
				}
			}
		}
		w.mu.Unlock()
	}
}

// beat writes a replica's entry; the caller holds mu.
func (w *world) beat(now time.Time, r *replica) {
	n, _ := r.entry["sequence"].(int)
	r.entry["sequence"] = n + 1
	r.lastBeat = now
	w.store.Put("servers/"+r.id, r.entry)
}

// addReplica starts a replica's process and registers it.
func (w *world) addReplica(id, mode string) error { return w.addReplicaOf("", id, mode) }

// addReplicaOf is addReplica for a replica of a service.
func (w *world) addReplicaOf(name, id, mode string) error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	r := &replica{id: id, addr: addr, mode: mode, service: name}
	if w.machines {
		if r.machine, err = newMachine(addr); err != nil {
			return err
		}
	}
	w.mu.Lock()
	w.replicas[id] = r
	w.mu.Unlock()
	return w.startReplica(r)
}

// startReplica starts the process of a replica at its address, and registers it as a new start.
func (w *world) startReplica(r *replica) error {
	r.born = time.Now().UnixMilli()
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	r.cmd = exec.Command(exe, "replica", r.id, r.addr, r.mode, fmt.Sprint(r.born))
	r.cmd.Stdout, r.cmd.Stderr = w.record, w.record
	if err := r.cmd.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", r.addr, time.Second)
		if err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("replica %s does not listen", r.id)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	name := r.service
	if name == "" {
		name = service
	}
	addr := r.addr
	if r.machine != nil {
		addr = r.machine.addr()
	}
	r.entry = map[string]any{
		"service": name, "address": addr, "zone": dataCenter, "version": "v1", "capacity_slots": 6, "state": "ready",
		"cold_left_ms": 0, "sequence": 0, "born": r.born,
	}
	r.beating = true
	w.beat(time.Now(), r)
	w.note("replica %s: serves at %s, born %d", r.id, r.addr, r.born)
	return nil
}

// killReplica kills the process of a replica, which sends no more heartbeats.
func (w *world) killReplica(r *replica) {
	w.mu.Lock()
	r.beating = false
	w.mu.Unlock()
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
	w.note("replica %s: killed", r.id)
}

// freeAddr returns a free loopback address, with a port below those that the system gives to outgoing connections.
func freeAddr() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(18_000)))
		if err != nil {
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", errors.New("no free port")
}

// addEdges starts processes of the system and waits until they are ready.
func (w *world) addEdges(n int) error {
	for i := range n {
		e := &edge{name: fmt.Sprintf("edge-%s-%d", dataCenter, i+1)}
		var err1, err2, err3 error
		e.front, err1 = freeAddr()
		e.ready, err2 = freeAddr()
		e.peers, err3 = freeAddr()
		if err := errors.Join(err1, err2, err3); err != nil {
			return err
		}
		w.edges = append(w.edges, e)
	}
	for _, e := range w.edges {
		if err := w.startEdge(e); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := w.awaitReady(e, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startEdge(e *edge) error {
	settings, err := w.settings(e)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, e.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command(edgeProgram)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTKNOT_BOOT=" + file}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	if w.descriptors > 0 {
		if err := limitDescriptors(e, w.descriptors); err != nil {
			return err
		}
	}
	w.note("%s: started, clients at %s", e.name, e.front)
	return nil
}

// settings fills in the template of the deploy file.
func (w *world) settings(e *edge) (string, error) {
	var seeds []string
	for _, one := range w.edges {
		seeds = append(seeds, one.peers)
	}
	values := map[string]any{
		"node_name": e.name, "zone": dataCenter, "bind_addresses.front": e.front, "bind_addresses.ready": e.ready, "bind_addresses.control": e.peers,
		"seed_nodes": seeds, "provider.address": w.store.Addr(), "limits.cpu_share": 0.4, "bootstrap": true, "limits.memory_mb": 284, "limits.max_fds": 4100,
		"contract_params.grace_s": 8, "contract_params.budget_ratio": 0.2, "contract_params.budget_window_s": 10, "contract_params.budget_slack": 200,
	}
	if w.descriptors > 0 {
		values["limits.max_fds"], values["limits.memory_mb"] = w.descriptors, w.memoryMB
	}
	raw, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return "", err
	}
	text := string(raw)
	for name, value := range values {
		encoded, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(encoded))
		text = strings.ReplaceAll(text, "{{"+name+"}}", string(encoded))
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template has fields that are not known here: %s", text)
	}
	return text, nil
}

func (w *world) awaitReady(e *edge, within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.note("%s: ready", e.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}

func (e *edge) signal(s syscall.Signal) error { return e.cmd.Process.Signal(s) }

// close ends all processes.
func (w *world) close() { w.closeOnce.Do(w.end) }

func (w *world) end() {
	if w.beats != nil {
		w.beats()
	}
	for _, e := range w.edges {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		if r.machine != nil {
			r.machine.close()
		}
		if r.cmd != nil && r.cmd.Process != nil && r.cmd.ProcessState == nil {
			_ = r.cmd.Process.Kill()
			_ = r.cmd.Wait()
		}
	}
	if w.store != nil {
		w.store.Close()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// answer is what a client has received.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	err    error
	// sent is when the request was sent, whole when its last byte was, took how long it was until the end of the answer.
	sent time.Time
	took time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: status %d, seal %q, %d bytes, after %d ms: %v", a.id, a.status, a.seal, len(a.body), a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%s: status %d, seal %q, %d bytes, whole, after %d ms", a.id, a.status, a.seal, len(a.body), a.took.Milliseconds())
}

var (
	idMu sync.Mutex
	idNo int
)

func nextID() string {
	idMu.Lock()
	defer idMu.Unlock()
	idNo++
	return fmt.Sprintf("9c41d07be2%06x", idNo)
}

// request sends a request over a new connection and reads the answer. body may be nil.
func (w *world) request(e *edge, method, path, key string, budget time.Duration, length int, body func(io.Writer) error) answer {
	c, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return answer{id: nextID(), sent: time.Now(), err: err}
	}
	return w.requestOver(c, method, path, key, budget, length, body)
}

// requestOver sends a request over a connection, reads the answer and closes the connection.
func (w *world) requestOver(c net.Conn, method, path, key string, budget time.Duration, length int, body func(io.Writer) error) (a answer) {
	a = answer{id: nextID(), sent: time.Now()}
	w.note("client: sends %s: %s %s", a.id, method, path)
	defer func() {
		a.took = time.Since(a.sent)
		_ = c.Close()
		w.note("client: answer to %v", a)
	}()
	_ = c.SetDeadline(time.Now().Add(budget + 10*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nPeridotknot-Attempt-Id: %s\r\nPeridotknot-Time-Budget-Ms: %d\r\n", method, path, host, a.id, budget.Milliseconds())
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	if length > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		a.err = err
		return a
	}
	if body != nil {
		go func() { _ = body(c) }() // the answer shows a body that was not sent whole
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	raw, err := io.ReadAll(resp.Body)
	a.status, a.seal, a.body, a.err = resp.StatusCode, resp.Header.Get("Peridotknot-Response-Seal"), string(raw), err
	return a
}
