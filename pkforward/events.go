package pkforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventSize limits the size of one event in bytes.
const maxEventSize = 256 << 10

// errEventTooLong is returned for an event larger than maxEventSize.
var errEventTooLong = errors.New("event of the stream exceeds 256 KiB")

// Event is one complete event of a stream.
type Event struct {
	// Raw is the event including the blank line that ends it; it is valid until the next call of
	// Next.
	Raw []byte
	// ID is the value of the event's id field; empty if there is none.
	ID string
}

// EventReader reads complete events from a stream of server-sent events. A target can fail in the
// middle of an event, and the partial event must not be forwarded.
type EventReader struct {
	in  *bufio.Reader
	raw []byte
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	const size = 4 << 10
	return &EventReader{in: bufio.NewReaderSize(r, size)}
}

// Next returns the next event. The error is io.EOF if the stream ended between events and
// io.ErrUnexpectedEOF if it ended within one.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	var ev Event
	for {
		line, err := e.in.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.raw) <= maxEventSize {
			continue
		}
		switch {
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return ev, io.ErrUnexpectedEOF
		case err != nil:
			return ev, err
		case len(e.raw) > maxEventSize:
			return ev, errEventTooLong
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			ev.Raw = e.raw
			return ev, nil
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			ev.ID = string(bytes.TrimSpace(id))
		}
	}
}

// Buffered returns whether more of the stream is buffered already.
func (e *EventReader) Buffered() bool { return e.in.Buffered() > 0 }
