package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is what the deploy file builds and runs.
const program = "target/peridotknot-edge"

// fields are the settings of an entry, as the platform fills them into deploy/settings.yaml.
type fields struct {
	name, zone            string
	front, ready, control string
	seeds                 []string
	store                 string
	graceS, slack         int
	bootstrap             bool
}

// render returns the settings file.
func (f fields) render() string {
	text := func(v any) string {
		raw, _ := json.Marshal(v) // strings and lists of them
		return string(raw)
	}
	return strings.Join([]string{
		"entry: " + text(f.name), "data_center: " + text(f.zone),
		"listen:", "  callers: " + text(f.front), "  ready: " + text(f.ready), "  peers: " + text(f.control),
		"seeds: " + text(f.seeds), "store: " + text(f.store),
		"processor_share: 0.4", fmt.Sprintf("bootstrap: %v", f.bootstrap), "memory_mb: 284",
		"stop:", fmt.Sprintf("  grace_s: %d", f.graceS),
		"retry:", "  ratio: 0.2", "  window_s: 10", fmt.Sprintf("  slack: %d", f.slack), "",
	}, "\n")
}

// entry is an entry daemon in a process of its own.
type entry struct {
	r      *run
	fields fields
	file   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// Ports of entries lie below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// freeAddr returns a free loopback address.
func freeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort))
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// startEntries starts entry daemons that know of one another and waits until they are ready.
func (r *run) startEntries(n int, store string) ([]*entry, error) {
	var out []*entry
	var seeds []string
	for i := range n {
		f := fields{name: fmt.Sprintf("edge-a-%d", i+1), zone: "a", store: store, graceS: 8, slack: 200, bootstrap: true}
		for _, addr := range []*string{&f.front, &f.ready, &f.control} {
			var err error
			if *addr, err = freeAddr(); err != nil {
				return nil, err
			}
		}
		seeds = append(seeds, f.control)
		out = append(out, &entry{r: r, fields: f, file: filepath.Join(r.folder, f.name+".yaml"), exited: make(chan struct{})})
	}
	for _, e := range out {
		e.fields.seeds = seeds
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	for _, e := range out {
		if err := e.awaitReady(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// writeSettings writes the settings file as a whole.
func (e *entry) writeSettings() error {
	next := e.file + ".new"
	if err := os.WriteFile(next, []byte(e.fields.render()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, e.file)
}

func (e *entry) start() error {
	if err := e.writeSettings(); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(e.r.folder, e.fields.name+".log"))
	if err != nil {
		return err
	}
	e.cmd = exec.Command(program)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTKNOT_BOOT=" + e.file}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.r.logf("%s starts", e.fields.name)
	go func() {
		_ = e.cmd.Wait() // the record has the state
		e.r.logf("%s has ended: %s", e.fields.name, e.cmd.ProcessState)
		close(e.exited)
		_ = log.Close()
	}()
	e.r.atEnd(func() {
		_ = e.cmd.Process.Kill() // it may have ended
		<-e.exited
	})
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.r.logf("%s gets %s", e.fields.name, map[syscall.Signal]string{syscall.SIGTERM: "SIGTERM", syscall.SIGHUP: "SIGHUP", syscall.SIGKILL: "SIGKILL"}[s])
	_ = e.cmd.Process.Signal(s) // it may have ended
}

func (e *entry) awaitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.fields.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			e.r.logf("%s is ready", e.fields.name)
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready", e.fields.name)
}
