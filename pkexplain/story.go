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
	// before is how far back lines on targets, the store and the process count: the
	// longest pause for which a target is passed over, and the store's return.
	before = 10 * time.Second
	// maxLine bounds a line of the log.
	maxLine = 1 << 20
)

// ErrUnknown says that no line names the request.
var ErrUnknown = errors.New("no line names this request; another entry may have served it")

// Line is one line of the log.
type Line struct {
	At      time.Time
	Message string
	// Fields are the other fields, in the order of their names.
	Fields []Field
	// Why says what the line has to do with the request.
	Why string
}

// Field is one field of a line.
type Field struct {
	Name  string
	Value string
}

// Story is what the log says of one request.
type Story struct {
	Lines []Line
	// Unreadable counts lines that are no JSON.
	Unreadable int
}

// Read reads a log and returns the story of a request; ErrUnknown says that there
// is none.
func Read(log io.Reader, id string) (Story, error) {
	all, unreadable, err := readLines(log)
	s := Story{Unreadable: unreadable}
	if err != nil {
		return s, err
	}
	own := slices.DeleteFunc(slices.Clone(all), func(l Line) bool { return l.value("request_id") != id })
	if len(own) == 0 {
		return s, ErrUnknown
	}
	s.Lines = related(all, own, id)
	return s, nil
}

// readLines returns the lines of a log in the order of their times, and how many were not
// readable.
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

// parse reads a line; what stands before its first brace is passed over, since log
// collectors put times and names there.
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

// targets returns the targets that a line names.
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

// related returns the request's own lines and those that they rest on.
func related(all, own []Line, id string) []Line {
	r := relationOf(own, id)
	last := own[len(own)-1].At
	var out []Line
	config := -1
	for _, l := range all {
		if l.At.After(last) {
			break
		}
		if l.Why = r.why(l); l.Why == "" {
			continue
		}
		if l.Why == whyConfiguration {
			if config >= 0 && !l.At.After(r.first) {
				out = slices.Delete(out, config, config+1)
			}
			config = len(out)
		}
		out = append(out, l)
	}
	return out
}

// Why a line belongs to a story.
const (
	whyRequest = "request"
	// whySame is the same request under another id, and what it did, perhaps minutes ago.
	whySame          = "same"
	whyConfiguration = "configuration"
	whyTarget        = "target"
	whyState         = "state"
)

// relation is what ties other lines to a request.
type relation struct {
	id      string
	targets map[string]bool
	digests map[string]bool
	// first is when the request came.
	first time.Time
}

func relationOf(own []Line, id string) relation {
	r := relation{id: id, targets: map[string]bool{}, digests: map[string]bool{}, first: began(own)}
	for _, l := range own {
		for _, t := range l.targets() {
			r.targets[t] = true
		}
		if digest := l.value("digest"); digest != "" {
			r.digests[digest] = true
		}
	}
	return r
}

// why returns what a line has to do with the request; empty where that is nothing.
func (r relation) why(l Line) string {
	near := l.At.After(r.first.Add(-before))
	switch {
	case l.value("request_id") == r.id:
		return whyRequest
	case r.digests[l.value("digest")]:
		return whySame
	case l.Message == "configuration in force":
		return whyConfiguration
	case near && r.targets[l.value("target")]:
		return whyTarget
	case near && isState(l.Message):
		return whyState
	default:
		return ""
	}
}

// began returns when a request came: its lines are written as it goes on, the first
// perhaps at its end, which says how long it took.
func began(own []Line) time.Time {
	first := own[0].At
	for _, l := range own {
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

// isState says whether a line tells of the store, the lease or the process.
func isState(message string) bool {
	for _, part := range []string{"the store", "the lease", "owns the pools", "serving", "stopping", "settings reloaded", "log lines were left out"} {
		if strings.HasPrefix(message, part) {
			return true
		}
	}
	return false
}
