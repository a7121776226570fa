package pkengine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"peridotknot.example/pkverdict"
)

const maxLineBytes = 8 << 10

var errIdle = errors.New("no event within the idle timeout of the stream")

// reader reads the events of one stream.
type reader struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	body        io.ReadCloser
	lines       *bufio.Reader
	idleTimer   *time.Timer
	idleTimeout time.Duration
	ended       bool
}

func newReader(ctx context.Context, cancel context.CancelCauseFunc, body io.ReadCloser, idleTimer *time.Timer, idleTimeout time.Duration) *reader {
	return &reader{
		ctx:         ctx,
		cancel:      cancel,
		body:        body,
		lines:       bufio.NewReaderSize(body, maxLineBytes),
		idleTimer:   idleTimer,
		idleTimeout: idleTimeout,
	}
}

// Next returns the next event. It fails if none arrives within the idle timeout: a connection whose
// remote end is lost stays open, and only the engine's heartbeats distinguish it from a slow answer.
func (r *reader) Next() (Event, error) {
	r.idleTimer.Reset(r.idleTimeout)
	line, err := r.lines.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("stream closed before its end event")
		}
		return Event{}, r.lostError(withCause(r.ctx, err))
	}
	ev, err := ParseEvent(line)
	if err != nil {
		return Event{}, r.lostError(err)
	}
	r.ended = ev.End != ""
	return ev, nil
}

func (r *reader) lostError(err error) error {
	return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
}

// Close ends the stream and releases its connection.
func (r *reader) Close() error {
	if r.ended {
		go r.drain()
		return nil
	}
	r.idleTimer.Stop()
	r.cancel(nil)
	return r.body.Close()
}

// drain reads the end of the HTTP body, which follows the end event. A connection whose body was
// not read to its end cannot be reused, and each request would need a new one. The idle timer
// limits the wait.
func (r *reader) drain() {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.lines, maxLineBytes))
	r.idleTimer.Stop()
	r.cancel(nil)
	_ = r.body.Close() // the answer is already complete
}
