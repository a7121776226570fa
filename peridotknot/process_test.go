package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTimeout is how long a test waits for an expected condition.
const waitTimeout = 20 * time.Second

// eventually waits until a condition holds, for at most waitTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within the time limit: %s", what)
		}
	}
}

// processLog is the output of a process.
type processLog struct {
	mu  sync.Mutex
	raw bytes.Buffer
}

func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.raw.Write(p)
}

// lines returns the lines that have a message, oldest first.
func (l *processLog) lines(message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []map[string]any
	for raw := range bytes.Lines(l.raw.Bytes()) {
		var line map[string]any
		if json.Unmarshal(raw, &line) == nil && line["@message"] == message {
			out = append(out, line)
		}
	}
	return out
}

func (l *processLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.raw.String()
}

// process is a program of the project that runs with a settings file.
type process struct {
	cmd    *exec.Cmd
	file   string
	log    processLog
	exited chan struct{}
	// output is the end of the process's output that the log is read from.
	output *os.File
}

// startProcess starts a program without waiting for it.
func startProcess(t *testing.T, program, settings string) *process {
	t.Helper()
	p := &process{file: filepath.Join(t.TempDir(), "settings.yaml"), exited: make(chan struct{})}
	p.writeSettings(t, settings)
	p.start(t, program)
	return p
}

// startUnread starts a program whose settings file cannot be read to its end before the returned function is called.
func startUnread(t *testing.T, program string) (p *process, feed func(settings string)) {
	t.Helper()
	p = &process{file: filepath.Join(t.TempDir(), "settings.yaml"), exited: make(chan struct{})}
	assert.NilError(t, syscall.Mkfifo(p.file, 0o600))
	p.start(t, program)
	pipe, err := os.OpenFile(p.file, os.O_WRONLY, 0) // waits for the reader
	assert.NilError(t, err)
	return p, func(settings string) {
		_, err := pipe.WriteString(settings)
		assert.NilError(t, err)
		assert.NilError(t, pipe.Close())
	}
}

func (p *process) start(t *testing.T, program string) {
	t.Helper()
	p.cmd = exec.Command(program, "--settings", p.file)
	output, input, err := os.Pipe()
	assert.NilError(t, err)
	p.output = output
	p.cmd.Stdout, p.cmd.Stderr = input, input
	assert.NilError(t, errors.Join(p.cmd.Start(), input.Close()))
	var read sync.WaitGroup
	read.Go(func() {
		_, _ = io.Copy(&p.log, output) // ends with the process, or where a test closes it
	})
	go func() {
		_ = p.cmd.Wait() // ProcessState has the result
		read.Wait()
		_ = output.Close() // a test may have closed it
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.exited
		if t.Failed() {
			t.Logf("output of %s:\n%s", filepath.Base(program), p.log.text())
		}
	})
}

// writeSettings replaces the settings file as a whole.
func (p *process) writeSettings(t *testing.T, settings string) {
	t.Helper()
	next := p.file + ".next"
	assert.NilError(t, os.WriteFile(next, []byte(settings), 0o600))
	assert.NilError(t, os.Rename(next, p.file))
}

// closeLog closes the pipe that the process writes its output to.
func (p *process) closeLog(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.output.Close())
}

// signal sends a signal; the process may have ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// awaitExit waits for the end of the process and checks that it ended by itself and without an error.
func (p *process) awaitExit(t *testing.T) {
	t.Helper()
	eventually(t, "the end of the process", func() bool { return !p.running() })
	assert.Equal(t, p.cmd.ProcessState.String(), "exit status 0")
}

// address waits for the line that the program logs when it serves and returns an address from it.
func (p *process) address(t *testing.T, message, key string) string {
	t.Helper()
	var addr string
	eventually(t, message, func() bool {
		lines := p.log.lines(message)
		if len(lines) > 0 {
			addr, _ = lines[0][key].(string)
		}
		return addr != "" || !p.running()
	})
	assert.Assert(t, addr != "", "the process has ended: %s", p.cmd.ProcessState)
	return addr
}

// awaitOutput waits until the process has written a text.
func (p *process) awaitOutput(t *testing.T, text string) {
	t.Helper()
	eventually(t, text, func() bool { return strings.Contains(p.log.text(), text) || !p.running() })
}

// answersOK reports whether a GET of a URL is answered with status 200.
func answersOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
