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
	return ev, nil
}

func (r *reader) lost(err error) error {
	return &pkverdict.Error{Verdict: pkverdict.MayHaveRun, Reason: pkverdict.ReasonTargetLost, Err: err}
}

// Close ends the stream and releases its connection.
func (r *reader) Close() error {
	r.guard.Stop()
	r.cancel(nil)
	return r.body.Close()
}
