package pklog

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return len(p), nil
}

// The reader of the log stops reading. Callers that log must not block, and the dropped
// lines must be counted and reported once it reads again.
func TestBlockedReaderDoesNotBlockCallers(t *testing.T) {
	unblock := make(chan struct{})
	var read bytes.Buffer
	w := NewWriter(io.MultiWriter(blockedWriter{unblock}, &read))
	const lines = 3 * queueSize
	for range lines {
		n, err := w.Write([]byte("{}\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 3)
	}
	close(unblock)
	assert.NilError(t, w.Close())
	written := strings.Count(read.String(), "{}\n")
	assert.Assert(t, written > 0 && written < lines, "%d of %d lines written", written, lines)
	var report struct {
		Message string `json:"@message"`
		Count   int    `json:"count"`
	}
	for line := range strings.Lines(read.String()) {
		if strings.Contains(line, "left out") {
			assert.NilError(t, json.Unmarshal([]byte(line), &report))
		}
	}
	assert.Equal(t, report.Message, "log lines were left out")
	assert.Equal(t, report.Count+written, lines)
}

// BenchmarkRequestLine measures the log line that is written for each request.
func BenchmarkRequestLine(b *testing.B) {
	w := NewWriter(io.Discard)
	log := hclog.New(&hclog.LoggerOptions{Name: "peridotknot-edge", Level: hclog.Info, JSONFormat: true, Output: w})
	for b.Loop() {
		log.Info("request", "request_id", "ed8f904d8f52166a", "route", "r-c2amtde", "kind", "stream", "account", "loti820",
			"outcome", "answered", "sends", 1, "runs", 0, "ms", int64(2431), "config", 4, "path", "i-1=0-27 i-2=27-40 i-3=40-53 i-4=53-67 i-5=67-80",
			"first_ms", int64(51), "events", 86, "pause_ms", int64(84), "mended", 0, "error", error(nil))
	}
	assert.NilError(b, w.Close())
}
