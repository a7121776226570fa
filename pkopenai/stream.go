package pkopenai

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotknot.example/pkid"
)

// writeLimit bounds how long a caller may take to accept what was written.
const (
	writeLimit = 10 * time.Second
	renewEvery = time.Second
)

// Stream writes an answer as server-sent events.
type Stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	head    Head
	usage   bool
	// before and after frame each token's text.
	before  []byte
	after   []byte
	buf     []byte
	renewed time.Time
	begun   bool
}

// NewStream returns a stream that has written nothing yet.
func NewStream(w http.ResponseWriter, h Head, usage bool) *Stream {
	s := &Stream{w: w, control: http.NewResponseController(w), head: h, usage: usage}
	s.before = s.frame()
	if h.Endpoint == Chat {
		s.before = append(s.before, `"choices":[{"index":0,"delta":{"content":`...)
		s.after = []byte(`},"finish_reason":null}]}` + "\n\n")
	} else {
		s.before = append(s.before, `"choices":[{"index":0,"text":`...)
		s.after = []byte(`,"finish_reason":null}]}` + "\n\n")
	}
	return s
}

func (s *Stream) frame() []byte {
	b := append([]byte(nil), `data: {"id":`...)
	b = strconv.AppendQuote(b, s.head.prefix()+string(s.head.ID))
	b = append(b, `,"object":"`...)
	b = append(b, s.head.object(true)...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, s.head.Created.Unix(), 10)
	b = append(b, `,"model":`...)
	b = appendText(b, string(s.head.Model))
	return append(b, ',')
}

// Begun says whether the head of the answer was written.
func (s *Stream) Begun() bool { return s.begun }

// Token writes one token.
func (s *Stream) Token(_ pkid.Index, text string) error {
	s.buf = s.buf[:0]
	if !s.begun {
		s.begin()
	}
	s.buf = append(s.buf, s.before...)
	s.buf = appendText(s.buf, text)
	s.buf = append(s.buf, s.after...)
	return s.flush()
}

func (s *Stream) begin() {
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	if s.head.Endpoint != Chat {
		return
	}
	s.buf = append(s.buf, s.frame()...)
	s.buf = append(s.buf, `"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"...)
}

// End writes the last events of a whole answer.
func (s *Stream) End(finish string, u Usage) error {
	s.buf = s.buf[:0]
	if !s.begun {
		s.begin()
	}
	s.buf = append(s.buf, s.frame()...)
	if s.head.Endpoint == Chat {
		s.buf = append(s.buf, `"choices":[{"index":0,"delta":{},"finish_reason":`...)
	} else {
		s.buf = append(s.buf, `"choices":[{"index":0,"text":"","finish_reason":`...)
	}
	s.buf = appendText(s.buf, finish)
	s.buf = append(s.buf, "}]}\n\n"...)
	if s.usage {
		raw, err := json.Marshal(u)
		if err != nil {
			return err
		}
		s.buf = append(s.buf, s.frame()...)
		s.buf = append(s.buf, `"choices":[],"usage":`...)
		s.buf = append(s.buf, raw...)
		s.buf = append(s.buf, "}\n\n"...)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	return s.flush()
}

// Fail writes an error event. There is no [DONE] after it, so no caller can
// take what came before for a whole answer.
func (s *Stream) Fail(f Failure) error {
	raw, err := json.Marshal(f.body())
	if err != nil {
		return err
	}
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, raw...)
	s.buf = append(s.buf, "\n\n"...)
	return s.flush()
}

// flush writes the buffer. The write deadline moves on as the caller keeps up:
// a caller that stops reading would otherwise hold an engine's batch slot.
func (s *Stream) flush() error {
	if now := time.Now(); now.Sub(s.renewed) > renewEvery {
		s.renewed = now
		if err := s.control.SetWriteDeadline(now.Add(writeLimit)); err != nil {
			return err
		}
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.control.Flush()
}

// appendText appends a JSON string. Most tokens are plain text, which needs no
// escape; the encoder is for the rest.
func appendText(b []byte, text string) []byte {
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			raw, err := json.Marshal(text)
			if err != nil {
				return append(b, `""`...)
			}
			return append(b, raw...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
