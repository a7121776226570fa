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

// blocked is a reader of logs that has stopped reading.
type blocked struct{ free chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.free
	return len(p), nil
}

// What reads the logs stops reading. What logs must go on, and the lines that were left
// out must be counted once it reads again.
func TestASlowReaderHoldsNothingUp(t *testing.T) {
	free := make(chan struct{})
	var read bytes.Buffer
	w := NewWriter(io.MultiWriter(blocked{free}, &read))
	const lines = 3 * waiting
	for range lines {
		n, err := w.Write([]byte("{}\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 3)
	}
	close(free)
	assert.NilError(t, w.Close())
	whole := strings.Count(read.String(), "{}\n")
	assert.Assert(t, whole > 0 && whole < lines, "%d of %d lines came", whole, lines)
	var note struct {
		Message string `json:"@message"`
		Count   int    `json:"count"`
	}
	for line := range strings.Lines(read.String()) {
		if strings.Contains(line, "left out") {
			assert.NilError(t, json.Unmarshal([]byte(line), &note))
		}
	}
	assert.Equal(t, note.Message, "log lines were left out")
	assert.Equal(t, note.Count+whole, lines)
}

// BenchmarkRequestLine is the cost of the line that each request has.
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
