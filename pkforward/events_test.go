package pkforward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readAll(r io.Reader) (whole, lastID string, err error) {
	e := NewEventReader(r)
	for {
		ev, err := e.Next()
		if err != nil {
			return whole, lastID, err
		}
		whole += string(ev.Raw)
		lastID = ev.ID
	}
}

// Guards against forwarding a partial event when a target fails in mid-stream: the caller would
// read it joined to the first event of the next attempt.
func TestPartialEventIsNotReturned(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\n"
	first := strings.Index(stream, "version")
	for cut := range len(stream) + 1 {
		whole, id, err := readAll(iotest.OneByteReader(strings.NewReader(stream[:cut])))
		switch {
		case cut == len(stream):
			assert.Equal(t, whole, stream)
			assert.Equal(t, id, "2")
			assert.Assert(t, errors.Is(err, io.EOF))
		case cut >= first:
			assert.Equal(t, whole, stream[:first])
			assert.Equal(t, id, "1")
			assert.Equal(t, errors.Is(err, io.ErrUnexpectedEOF), cut > first)
		default:
			assert.Equal(t, whole, "")
		}
	}
}

func TestOversizedEventFails(t *testing.T) {
	_, _, err := readAll(strings.NewReader("data: " + strings.Repeat("x", maxEventSize+1) + "\n\n"))
	assert.ErrorIs(t, err, errEventTooLong)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\r\n\r\nid:\n")
	f.Fuzz(func(t *testing.T, text string) {
		whole, _, err := readAll(strings.NewReader(text))
		if !strings.HasPrefix(text, whole) {
			t.Fatalf("%q is not a prefix of %q", whole, text)
		}
		if errors.Is(err, io.EOF) && whole != text {
			t.Fatalf("%q was not returned before EOF", text[len(whole):])
		}
	})
}

// Guards against long events that take memory for which there is no room, and against short ones that are refused.
func TestLongEventsNeedRoom(t *testing.T) {
	errFull := errors.New("full")
	for size, room := range map[int]int{
		freeEventSize - 100: 0,
		100 << 10:           256 << 10,
		100<<10 + 1:         64 << 10,
	} {
		stream := "data: " + strings.Repeat("x", size) + "\n\n"
		e := NewEventReader(strings.NewReader(stream))
		left := room
		e.Grow = func(n int) error {
			if n > left {
				return errFull
			}
			left -= n
			return nil
		}
		ev, err := e.Next()
		assert.Equal(t, e.Grown(), room-left)
		if room > 0 && room < size {
			assert.ErrorIs(t, err, errFull)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, string(ev.Raw), stream)
		assert.Assert(t, e.Grown() >= cap(e.raw) || cap(e.raw) <= 2*freeEventSize, "%d of %d", e.Grown(), cap(e.raw))
	}
}
