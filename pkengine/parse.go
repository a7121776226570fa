package pkengine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"unicode/utf8"

	"peridotknot.example/pkid"
)

var errNegative = errors.New("event has a negative index or total")

// ParseEvent parses one line of a stream.
func ParseEvent(line []byte) (Event, error) {
	if ev, ok := parseToken(line); ok {
		return ev, nil
	}
	var ev Event
	if err := json.Unmarshal(line, &ev); err != nil {
		return Event{}, fmt.Errorf("event is not JSON: %w", err)
	}
	if ev.Index < 0 || ev.Total < 0 {
		return Event{}, errNegative
	}
	return ev, nil
}

var (
	tokenPrefix = []byte(`{"i":`)
	textPrefix  = []byte(`,"t":"`)
	tokenSuffix = []byte(`"}`)
)

// parseToken is the fast path for the most frequent line, a token with its fields in the order of
// Event and without escapes. It returns false for all other lines, which encoding/json decodes.
func parseToken(line []byte) (Event, bool) {
	rest, found := bytes.CutPrefix(line, tokenPrefix)
	if !found {
		return Event{}, false
	}
	index, n := parseIndex(rest)
	if n == 0 {
		return Event{}, false
	}
	rest, found = bytes.CutPrefix(rest[n:], textPrefix)
	if !found {
		return Event{}, false
	}
	text, found := bytes.CutSuffix(bytes.TrimRight(rest, "\r\n"), tokenSuffix)
	if !found || !isLiteral(text) {
		return Event{}, false
	}
	return Event{Index: index, Text: string(text)}, true
}

// parseIndex parses the digits at the start of b and returns their count, which is 0 if they are
// not a valid JSON number or the value exceeds math.MaxInt32.
func parseIndex(b []byte) (pkid.TokenIndex, int) {
	value, n := 0, 0
	for n < len(b) && b[n] >= '0' && b[n] <= '9' {
		value = 10*value + int(b[n]-'0')
		n++
		if value > math.MaxInt32 {
			return 0, 0
		}
	}
	if n > 1 && b[0] == '0' {
		return 0, 0
	}
	return pkid.TokenIndex(value), n
}

// isLiteral reports whether the content of a JSON string needs no decoding: it has no escapes and
// is valid UTF-8.
func isLiteral(text []byte) bool {
	ascii := true
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(text)
}
