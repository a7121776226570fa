package pkexplain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cause says why a stream was late or got no answer.
type Cause string

// Causes of late streams, the first that holds; other names are outcomes of streams that
// got no answer.
const (
	// InTime streams were not late.
	InTime Cause = "in time"
	// Dead streams were taken off an engine that had died.
	Dead Cause = "dead engine"
	// Leaving streams were taken off an engine that left.
	Leaving Cause = "leaving engine"
	// Resent streams were sent again for another reason.
	Resent Cause = "sent again"
	// FirstEvent streams had their first event late.
	FirstEvent Cause = "first event"
	// Crossing streams paused on a path that crosses data centres, none of whose engines is
	// known to have failed.
	Crossing Cause = "pause, path crosses data centres"
	// Near streams paused on a path inside one.
	Near Cause = "pause, path in one data centre"
)

// Aims are from when on a stream is late.
type Aims struct {
	// FirstEvent bounds the time to the first event, Pause that between two.
	FirstEvent time.Duration
	Pause      time.Duration
}

// Span is the streams that began in a span of time.
type Span struct {
	From    time.Time
	Streams int
	Causes  map[Cause]int
	// Crossings is how often their last paths pass between data centres, on average.
	Crossings float64
}

// Share is the part of all streams whose last path has an engine.
type Share struct {
	Engine string
	// Where is the engine's data centre and kind.
	Where string
	Of    float64
}

// Summary is what the logs of entries say of all their streams.
type Summary struct {
	Streams int
	Causes  map[Cause]int
	Spans   []Span
	// Engines are sorted by their shares, the largest first.
	Engines    []Share
	Unreadable int
}

// stream is the last line of a stream.
type stream struct {
	began time.Time
	cause Cause
	parts []part
}

type part struct{ engine, dataCenter, kind string }

// Summarize reads the logs of entries, one after the other, and sums their streams up by
// spans of time.
func Summarize(log io.Reader, aims Aims, span time.Duration) (Summary, error) {
	all, unreadable, err := readLines(log)
	if err != nil {
		return Summary{}, err
	}
	out := Summary{Unreadable: unreadable, Causes: map[Cause]int{}}
	streams := streamsOf(all, aims)
	spans := map[time.Time]*Span{}
	engines := map[part]int{}
	for _, s := range streams {
		out.Streams++
		out.Causes[s.cause]++
		at := s.began.Truncate(span)
		if spans[at] == nil {
			spans[at] = &Span{From: at, Causes: map[Cause]int{}}
		}
		one := spans[at]
		one.Streams++
		one.Causes[s.cause]++
		one.Crossings += float64(s.crossings())
		for _, p := range s.parts {
			engines[p]++
		}
	}
	for _, at := range slices.SortedFunc(maps.Keys(spans), time.Time.Compare) {
		spans[at].Crossings /= float64(spans[at].Streams)
		out.Spans = append(out.Spans, *spans[at])
	}
	for p, n := range engines {
		out.Engines = append(out.Engines, Share{Engine: p.engine, Where: p.dataCenter + " " + p.kind, Of: float64(n) / float64(out.Streams)})
	}
	slices.SortFunc(out.Engines, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Of, a.Of), cmp.Compare(a.Engine, b.Engine))
	})
	return out, nil
}

// streamsOf returns the streams that reached an engine or were rejected.
func streamsOf(all []Line, aims Aims) []stream {
	moved := map[string]Cause{}
	for _, l := range all {
		if l.Message == "a stream goes on by another attempt" || (l.Message == "a stream changes its path" && l.value("outcome") == "done") {
			moved[l.value("request_id")] = Cause(l.value("why") + " engine")
		}
	}
	var out []stream
	for _, l := range all {
		if l.Message != "request" || l.value("kind") != "stream" || (l.value("path") == "" && l.value("outcome") != "full") {
			continue
		}
		s := stream{began: began([]Line{l}), parts: partsOf(l.value("path"))}
		s.cause = s.causeOf(l, moved[l.value("request_id")], aims)
		out = append(out, s)
	}
	return out
}

func (s stream) causeOf(l Line, moved Cause, aims Aims) Cause {
	if outcome := l.value("outcome"); outcome != "answered" {
		return Cause(outcome)
	}
	lateFirst := l.millis("first_ms") > aims.FirstEvent
	switch {
	case !lateFirst && l.millis("pause_ms") <= aims.Pause:
		return InTime
	case moved != "":
		return moved
	case l.value("sends") != "1":
		return Resent
	case lateFirst:
		return FirstEvent
	case s.crossings() > 0:
		return Crossing
	default:
		return Near
	}
}

// crossings counts how often a path passes between data centres.
func (s stream) crossings() int {
	n := 0
	for i := 1; i < len(s.parts); i++ {
		if s.parts[i].dataCenter != s.parts[i-1].dataCenter {
			n++
		}
	}
	return n
}

// partsOf reads a path as logs have it: ENGINE=FIRST-END@DATA_CENTRE/KIND for each part.
func partsOf(path string) []part {
	var out []part
	for text := range strings.FieldsSeq(path) {
		engine, rest, _ := strings.Cut(text, "=")
		_, where, _ := strings.Cut(rest, "@")
		dc, kind, _ := strings.Cut(where, "/")
		out = append(out, part{engine: engine, dataCenter: dc, kind: kind})
	}
	return out
}

func (l Line) millis(name string) time.Duration {
	ms, err := strconv.ParseFloat(l.value(name), 64)
	if err != nil {
		return 0 // a line of a request that never had the field
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// WriteText writes the summary as a table, a line a span, and the engines with the largest
// shares.
func (s Summary) WriteText(w io.Writer) error {
	causes := slices.SortedFunc(maps.Keys(s.Causes), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(s.Causes[b], s.Causes[a]), cmp.Compare(a, b))
	})
	var b strings.Builder
	fmt.Fprintf(&b, "%d streams\n", s.Streams)
	for _, c := range causes {
		fmt.Fprintf(&b, "%6d  %s\n", s.Causes[c], c)
	}
	fmt.Fprintf(&b, "\nfrom          streams  in time  crossings  largest other causes\n")
	for _, one := range s.Spans {
		fmt.Fprintf(&b, "%s %7d %8d %10.2f  %s\n", one.From.Format("15:04:05.000"), one.Streams, one.Causes[InTime], one.Crossings, one.others(causes))
	}
	const shown = 8
	fmt.Fprintf(&b, "\nengines on most paths\n")
	for _, e := range s.Engines[:min(shown, len(s.Engines))] {
		fmt.Fprintf(&b, "%5.2f  %s (%s)\n", e.Of, e.Engine, e.Where)
	}
	if s.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines were not readable\n", s.Unreadable)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// others names the two largest causes of streams that were not in time.
func (s Span) others(causes []Cause) string {
	var out []string
	for _, c := range slices.SortedStableFunc(slices.Values(causes), func(a, b Cause) int { return cmp.Compare(s.Causes[b], s.Causes[a]) }) {
		if n := s.Causes[c]; n > 0 && c != InTime && len(out) < 2 {
			out = append(out, fmt.Sprintf("%s %d", c, n))
		}
	}
	return strings.Join(out, ", ")
}
