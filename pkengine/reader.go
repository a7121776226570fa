package pkengine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"peridotknot.example/pkverdict"
)

const lineLimit = 8 << 10

var errSilent = errors.New("the stream went silent")

// reader reads the events of one stream.
type reader struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.ReadCloser
	lines   *bufio.Reader
	guard   *time.Timer
	silence time.Duration
	ended   bool
}

func newReader(ctx context.Context, cancel context.CancelCauseFunc, body io.ReadCloser, guard *time.Timer, silence time.Duration) *reader {
	return &reader{
		ctx:     ctx,
		cancel:  cancel,
		body:    body,
		lines:   bufio.NewReaderSize(body, lineLimit),
		guard:   guard,
		silence: silence,
	}
}

// Next returns the next event. A stream that says nothing for too long fails:
// a connection that lost its far end looks open for ever, and the engine's
// beats are what tells it from a slow answer.
func (r *reader) Next() (Event, error) {
	r.guard.Reset(r.silence)
	line, err := r.lines.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("the stream ended without its end event")
		}
		return Event{}, r.lost(withCause(r.ctx, err))
	}
	ev, err := ParseEvent(line)
	if err != nil {
		return Event{}, r.lost(err)
	}
	r.ended = ev.End != ""
	return ev, nil
}

func (r *reader) lost(err error) error {
	return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
}

// Close ends the stream and releases its connection.
func (r *reader) Close() error {
	if r.ended {
		go r.finish()
		return nil
	}
	r.guard.Stop()
	r.cancel(nil)
	return r.body.Close()
}

// finish reads what is left of a whole answer: the mark that ends the HTTP
// body, which comes just behind the end event. A connection whose body was not
// read to its end cannot be used again, and each request would pay for a new
// one. The guard still bounds the wait.
func (r *reader) finish() {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.lines, lineLimit))
	r.guard.Stop()
	r.cancel(nil)
	_ = r.body.Close() // the answer was whole before
}
