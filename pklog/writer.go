package pklog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueSize is how many lines are queued for a slow reader.
	queueSize = 1024
	// maxPerSecond bounds the lines accepted in one second.
	maxPerSecond = 500
)

// Writer is an io.Writer of whole lines that does not block; Close waits until the
// queued lines are written.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	mu      sync.Mutex
	second  int64 // Unix time that count belongs to
	count   int   // lines offered in that second
	closed  bool
	done    chan struct{}
}

// NewWriter returns a Writer to w and starts the goroutine that writes.
func NewWriter(w io.Writer) *Writer {
	writer := &Writer{out: w, queue: make(chan []byte, queueSize), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write queues one line or drops it; it never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.allowed(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.queue <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

func (w *Writer) allowed(second int64) bool {
	if second != w.second {
		w.second, w.count = second, 0
	}
	w.count++
	return w.count <= maxPerSecond
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer; later lines are dropped.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	close(w.queue)
	w.mu.Unlock()
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.queue {
		// There is nowhere to report a failure to write the log.
		_, _ = w.out.Write(line)
		if n := w.dropped.Load(); n > reported {
			reported = n
			_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines were left out\",\"count\":%d}\n", n)
		}
	}
}
