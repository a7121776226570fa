package pkexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// lookback is how long before the start of a request lines on its targets, the store and the
	// process are relevant: a failed target is avoided, and the store recovers, within that time.
	lookback = 10 * time.Second
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
)

// ErrUnknown is returned if no log line names the request.
var ErrUnknown = errors.New("no line names this request; another entry may have served it")

// Line is a log line.
type Line struct {
	At      time.Time
	Message string
	// Fields are the other fields that are not empty, sorted by name.
	Fields []Field
	// Why is the reason for which the line was selected.
	Why string
}

// Field is a named value of a log line.
type Field struct {
	Name  string
	Value string
}

// Explanation is the part of a log that explains one request.
type Explanation struct {
	Lines []Line
	// Wait is nil if the request has not waited in the queue of a pool and was not refused there.
	Wait *Wait
	// Unreadable counts lines that could not be parsed.
	Unreadable int
}

// Read reads a log and returns the lines that explain the request with the given ID. The error is
// ErrUnknown if no line names it.
func Read(log io.Reader, id string) (Explanation, error) {
	all, unreadable, err := readLines(log)
	out := Explanation{Unreadable: unreadable}
	if err != nil {
		return out, err
	}
	requestLines := slices.DeleteFunc(slices.Clone(all), func(l Line) bool { return l.value("request_id") != id })
	if len(requestLines) == 0 {
		return out, ErrUnknown
	}
	out.Lines = selectLines(all, requestLines, id)
	out.Wait = findWait(all, requestLines)
	return out, nil
}

// readLines returns the lines of a log sorted by time, and the number of lines that could not be
// parsed.
func readLines(log io.Reader) (all []Line, unreadable int, err error) {
	in := bufio.NewScanner(log)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		line, ok := parse(in.Bytes())
		if !ok {
			unreadable++
			continue
		}
		all = append(all, line)
	}
	if err := in.Err(); err != nil {
		return nil, unreadable, fmt.Errorf("read the log: %w", err)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return all, unreadable, nil
}

// parse parses a line. Text before the first brace is skipped, since log collectors prepend times
// and names.
func parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, len(bytes.TrimSpace(raw)) == 0
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false
	}
	var l Line
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "@timestamp":
			at, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				return Line{}, false
			}
			l.At = at
		case "@message":
			l.Message = text
		case "@level", "@module":
		default:
			if value != nil && text != "" {
				l.Fields = append(l.Fields, Field{Name: name, Value: text})
			}
		}
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, true
}

func (l Line) value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// targets returns the targets named in the line, alone or in a path.
func (l Line) targets() []string {
	var out []string
	if t := l.value("target"); t != "" {
		out = append(out, t)
	}
	for part := range strings.FieldsSeq(l.value("path")) {
		name, _, _ := strings.Cut(part, "=")
		out = append(out, name)
	}
	return out
}

// selectLines returns the lines that name the request and those related to them. Of the
// configurations in force before the request started, only the last is kept.
func selectLines(all, requestLines []Line, id string) []Line {
	c := criteriaOf(requestLines, id)
	last := requestLines[len(requestLines)-1].At
	var out []Line
	lastConfig := -1
	for _, l := range all {
		if l.At.After(last) {
			break
		}
		if l.Why = c.reason(l); l.Why == "" {
			continue
		}
		if l.Why == reasonConfiguration {
			if lastConfig >= 0 && !l.At.After(c.start) {
				out = slices.Delete(out, lastConfig, lastConfig+1)
			}
			lastConfig = len(out)
		}
		out = append(out, l)
	}
	return out
}

// Reasons for selecting a line.
const (
	reasonRequest = "request"
	// reasonSameDigest marks lines on requests of the same digest under other IDs, however old.
	reasonSameDigest    = "same"
	reasonConfiguration = "configuration"
	reasonTarget        = "target"
	reasonState         = "state"
)

// criteria select the lines that are related to a request.
type criteria struct {
	id      string
	targets map[string]bool
	digests map[string]bool
	// start is when the request arrived.
	start time.Time
}

func criteriaOf(requestLines []Line, id string) criteria {
	c := criteria{id: id, targets: map[string]bool{}, digests: map[string]bool{}, start: startTime(requestLines)}
	for _, l := range requestLines {
		for _, t := range l.targets() {
			c.targets[t] = true
		}
		if digest := l.value("digest"); digest != "" {
			c.digests[digest] = true
		}
	}
	return c
}

// reason returns how a line relates to the request, or an empty string if it does not.
func (c criteria) reason(l Line) string {
	recent := l.At.After(c.start.Add(-lookback))
	switch {
	case l.value("request_id") == c.id:
		return reasonRequest
	case c.digests[l.value("digest")]:
		return reasonSameDigest
	case l.Message == "configuration in force":
		return reasonConfiguration
	case recent && c.targets[l.value("target")]:
		return reasonTarget
	case recent && isState(l.Message):
		return reasonState
	default:
		return ""
	}
}

// startTime returns when a request arrived. Its first line may have been written at its end, so
// the durations in its lines are subtracted from their times.
func startTime(requestLines []Line) time.Time {
	first := requestLines[0].At
	for _, l := range requestLines {
		ms, err := strconv.ParseFloat(l.value("ms"), 64)
		if err != nil {
			continue
		}
		if at := l.At.Add(-time.Duration(ms * float64(time.Millisecond))); at.Before(first) {
			first = at
		}
	}
	return first
}

// isState reports whether a message is about the store, the lease or the process.
func isState(message string) bool {
	for _, part := range []string{"the store", "the lease", "owns the pools", "serving", "stopping", "settings reloaded", "log lines were left out"} {
		if strings.HasPrefix(message, part) {
			return true
		}
	}
	return false
}
