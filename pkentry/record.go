package pkentry

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"peridotknot.example/pktrace"
)

// recorder appends the requests to a trace file; a nil recorder records nothing. It stores sizes and
// deadlines, but never bodies, keys or paths.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	enc   *json.Encoder
	start time.Time
}

func newRecorder(name string) (*recorder, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open record file: %w", err)
	}
	return &recorder{file: f, enc: json.NewEncoder(f), start: time.Now()}, nil
}

func (r *recorder) add(at time.Time, l pktrace.Line) error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return errors.New("record file is closed")
	}
	l.AtMS = at.Sub(r.start).Milliseconds()
	return r.enc.Encode(l)
}

// Close closes the trace file; later calls of add return an error.
func (r *recorder) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.file.Close()
	r.file = nil
	return err
}
