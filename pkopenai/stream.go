package pkopenai

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotknot.example/pkid"
)

const (
	// writeTimeout bounds how long a client may take to accept written data.
	writeTimeout = 10 * time.Second
	// deadlineInterval is the minimum time between two extensions of the write deadline.
	deadlineInterval = time.Second
)

// Stream writes a response as server-sent events.
type Stream struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	info         ResponseInfo
	includeUsage bool
	// tokenPrefix and tokenSuffix enclose the text of a token in its event.
	tokenPrefix []byte
	tokenSuffix []byte
	buf         []byte
	// deadlineSet is when the write deadline was last extended.
	deadlineSet time.Time
	started     bool
}

// NewStream returns a stream. Nothing is written before its first event; includeUsage adds an event
// with the token usage at the end.
func NewStream(w http.ResponseWriter, i ResponseInfo, includeUsage bool) *Stream {
	s := &Stream{w: w, control: http.NewResponseController(w), info: i, includeUsage: includeUsage}
	s.tokenPrefix = s.eventPrefix()
	if i.Endpoint == Chat {
		s.tokenPrefix = append(s.tokenPrefix, `"choices":[{"index":0,"delta":{"content":`...)
		s.tokenSuffix = []byte(`},"finish_reason":null}]}` + "\n\n")
	} else {
		s.tokenPrefix = append(s.tokenPrefix, `"choices":[{"index":0,"text":`...)
		s.tokenSuffix = []byte(`,"finish_reason":null}]}` + "\n\n")
	}
	return s
}

// eventPrefix returns the opening of an event, up to its choices.
func (s *Stream) eventPrefix() []byte {
	b := append([]byte(nil), `data: {"id":`...)
	b = strconv.AppendQuote(b, s.info.idPrefix()+string(s.info.ID))
	b = append(b, `,"object":"`...)
	b = append(b, s.info.object(true)...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, s.info.Created.Unix(), 10)
	b = append(b, `,"model":`...)
	b = appendText(b, string(s.info.Model))
	return append(b, ',')
}

// Started reports whether the status and headers have been written.
func (s *Stream) Started() bool { return s.started }

// WriteToken writes the event of one token.
func (s *Stream) WriteToken(_ pkid.TokenIndex, text string) error {
	s.buf = s.buf[:0]
	if !s.started {
		s.start()
	}
	s.buf = append(s.buf, s.tokenPrefix...)
	s.buf = appendText(s.buf, text)
	s.buf = append(s.buf, s.tokenSuffix...)
	return s.flush()
}

func (s *Stream) start() {
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	if s.info.Endpoint != Chat {
		return
	}
	s.buf = append(s.buf, s.eventPrefix()...)
	s.buf = append(s.buf, `"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"...)
}

// Finish writes the closing events of a complete response.
func (s *Stream) Finish(reason string, u Usage) error {
	s.buf = s.buf[:0]
	if !s.started {
		s.start()
	}
	s.buf = append(s.buf, s.eventPrefix()...)
	if s.info.Endpoint == Chat {
		s.buf = append(s.buf, `"choices":[{"index":0,"delta":{},"finish_reason":`...)
	} else {
		s.buf = append(s.buf, `"choices":[{"index":0,"text":"","finish_reason":`...)
	}
	s.buf = appendText(s.buf, reason)
	s.buf = append(s.buf, "}]}\n\n"...)
	if s.includeUsage {
		raw, err := json.Marshal(u)
		if err != nil {
			return err
		}
		s.buf = append(s.buf, s.eventPrefix()...)
		s.buf = append(s.buf, `"choices":[],"usage":`...)
		s.buf = append(s.buf, raw...)
		s.buf = append(s.buf, "}\n\n"...)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	return s.flush()
}

// WriteError writes an error event without a closing [DONE], so that clients don't take a truncated
// response for a complete one.
func (s *Stream) WriteError(f Failure) error {
	raw, err := json.Marshal(f.body())
	if err != nil {
		return err
	}
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, raw...)
	s.buf = append(s.buf, "\n\n"...)
	return s.flush()
}

// flush writes the buffer and extends the write deadline. A client that stops reading runs into the
// deadline and does not hold a batch slot of an engine any longer.
func (s *Stream) flush() error {
	if now := time.Now(); now.Sub(s.deadlineSet) > deadlineInterval {
		s.deadlineSet = now
		if err := s.control.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return err
		}
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.control.Flush()
}

// appendText appends the text as a JSON string. Printable ASCII without quotes and backslashes is
// copied as it is; other text goes through the JSON encoder.
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
