package pkforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// maxEventSize limits the size of one event in bytes.
	maxEventSize = 256 << 10
	// freeEventSize is the size in bytes up to which an event needs no room from Grow.
	freeEventSize = 8 << 10
	// readSize is the size of the buffer for reading, in bytes.
	readSize = 4 << 10
)

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
	// Grow makes room for n more bytes of a long event, or returns an error; nil always has room.
	Grow func(n int) error

	in  *bufio.Reader
	raw []byte
	// grown is the number of bytes that Grow has made room for.
	grown int
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{in: bufio.NewReaderSize(r, readSize)}
}

// Grown returns the number of bytes that Grow has made room for.
func (e *EventReader) Grown() int { return e.grown }

// append appends a part of a line to the event.
func (e *EventReader) append(part []byte) error {
	size := len(e.raw) + len(part)
	if size > cap(e.raw) && size > freeEventSize {
		size = min(max(size, 2*cap(e.raw)), maxEventSize+readSize)
		if e.Grow != nil {
			if err := e.Grow(size - e.grown); err != nil {
				return err
			}
			e.grown = size
		}
		e.raw = append(make([]byte, 0, size), e.raw...)
	}
	e.raw = append(e.raw, part...)
	return nil
}

// Next returns the next event. The error is io.EOF if the stream ended between events,
// io.ErrUnexpectedEOF if it ended within one, or that of Grow.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	var ev Event
	for {
		line, err := e.in.ReadSlice('\n')
		if err := e.append(line); err != nil {
			return ev, err
		}
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
