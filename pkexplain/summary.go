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

// Cause is why a stream was late or failed.
type Cause string

// Causes of late streams, of which the first that applies counts. For a stream that was not
// answered, the cause is its outcome.
const (
	// InTime means that the stream was not late.
	InTime Cause = "in time"
	// DeadEngine means that the stream was moved off a dead engine.
	DeadEngine Cause = "dead engine"
	// LeavingEngine means that the stream was moved off a leaving engine.
	LeavingEngine Cause = "leaving engine"
	// Resent means that the stream was retried for another reason.
	Resent Cause = "sent again"
	// LateFirstEvent means that the first event was late.
	LateFirstEvent Cause = "first event"
	// PauseAcrossDataCenters means that the stream paused on a path that crosses data centres,
	// without a known failure of an engine.
	PauseAcrossDataCenters Cause = "pause, path crosses data centres"
	// PauseInDataCenter means that the stream paused on a path within one data centre.
	PauseInDataCenter Cause = "pause, path in one data centre"
)

// Thresholds are the thresholds above which a stream counts as late.
type Thresholds struct {
	// FirstEvent bounds the time to the first event, Pause the longest time between two events.
	FirstEvent time.Duration
	Pause      time.Duration
}

// Span summarizes the streams that started in one interval.
type Span struct {
	From    time.Time
	Streams int
	Causes  map[Cause]int
	// Crossings is the mean number of changes of the data centre along their last paths.
	Crossings float64
}

// EngineShare is the share of the streams that an engine serves.
type EngineShare struct {
	Engine string
	// Where is the engine's data centre and kind.
	Where string
	// Of is the fraction of streams whose last path includes the engine.
	Of float64
}

// Summary summarizes all streams in the logs of entries.
type Summary struct {
	Streams int
	Causes  map[Cause]int
	Spans   []Span
	// Engines are sorted by share, the largest first.
	Engines []EngineShare
	// Accounts and Routes are the worst served, of as many as AccountCount and RouteCount say.
	Accounts     []Served
	Routes       []Served
	AccountCount int
	RouteCount   int
	// Unreadable counts lines that could not be parsed.
	Unreadable int
}

// stream is a stream as described by its last log line.
type stream struct {
	start  time.Time
	cause  Cause
	stages []stage
	// answered is set if the answer was complete, in time or not.
	answered bool
	account  string
	route    string
	// waited is how long it waited for room.
	waited time.Duration
}

// stage is one engine of a path.
type stage struct{ engine, dataCenter, kind string }

// Summarize reads the concatenated logs of entries and summarizes their streams, in total and per
// interval of the given length.
func Summarize(log io.Reader, limits Thresholds, span time.Duration) (Summary, error) {
	all, unreadable, err := readLines(log)
	if err != nil {
		return Summary{}, err
	}
	out := Summary{Unreadable: unreadable, Causes: map[Cause]int{}}
	streams := parseStreams(all, limits)
	spans := map[time.Time]*Span{}
	engines := map[stage]int{}
	for _, s := range streams {
		out.Streams++
		out.Causes[s.cause]++
		at := s.start.Truncate(span)
		if spans[at] == nil {
			spans[at] = &Span{From: at, Causes: map[Cause]int{}}
		}
		current := spans[at]
		current.Streams++
		current.Causes[s.cause]++
		current.Crossings += float64(s.crossings())
		for _, st := range s.stages {
			engines[st]++
		}
	}
	for _, at := range slices.SortedFunc(maps.Keys(spans), time.Time.Compare) {
		spans[at].Crossings /= float64(spans[at].Streams)
		out.Spans = append(out.Spans, *spans[at])
	}
	for st, n := range engines {
		out.Engines = append(out.Engines, EngineShare{Engine: st.engine, Where: st.dataCenter + " " + st.kind, Of: float64(n) / float64(out.Streams)})
	}
	out.Accounts, out.AccountCount = servedBy(streams, func(s stream) string { return s.account })
	out.Routes, out.RouteCount = servedBy(streams, func(s stream) string { return s.route })
	slices.SortFunc(out.Engines, func(a, b EngineShare) int {
		return cmp.Or(cmp.Compare(b.Of, a.Of), cmp.Compare(a.Engine, b.Engine))
	})
	return out, nil
}

// parseStreams returns the streams that were sent to an engine, waited for room or were refused for lack of it.
func parseStreams(all []Line, limits Thresholds) []stream {
	rerouteCauses := map[string]Cause{}
	for _, l := range all {
		if l.Message == "a stream goes on by another attempt" || (l.Message == "a stream changes its path" && l.value("outcome") == "done") {
			rerouteCauses[l.value("request_id")] = Cause(l.value("why") + " engine")
		}
	}
	var out []stream
	for _, l := range all {
		if l.Message != requestMessage || l.value("kind") != "stream" {
			continue
		}
		if l.value("path") == "" && l.value("outcome") != string(refusedOutcome) && l.integer("waited_ms") <= 0 {
			continue
		}
		s := stream{
			start: startTime([]Line{l}), stages: parsePath(l.value("path")), answered: l.value("outcome") == "answered",
			account: l.value("account"), route: l.value("route"), waited: l.millis("waited_ms"),
		}
		s.cause = s.classify(l, rerouteCauses[l.value("request_id")], limits)
		out = append(out, s)
	}
	return out
}

func (s stream) classify(l Line, rerouteCause Cause, limits Thresholds) Cause {
	if outcome := l.value("outcome"); outcome != "answered" {
		return Cause(outcome)
	}
	lateFirst := l.millis("first_ms") > limits.FirstEvent
	switch {
	case !lateFirst && l.millis("pause_ms") <= limits.Pause:
		return InTime
	case rerouteCause != "":
		return rerouteCause
	case l.value("sends") != "1":
		return Resent
	case lateFirst:
		return LateFirstEvent
	case s.crossings() > 0:
		return PauseAcrossDataCenters
	default:
		return PauseInDataCenter
	}
}

// crossings counts the changes of the data centre along the path.
func (s stream) crossings() int {
	n := 0
	for i := 1; i < len(s.stages); i++ {
		if s.stages[i].dataCenter != s.stages[i-1].dataCenter {
			n++
		}
	}
	return n
}

// parsePath parses a path of the form ENGINE=FIRST-END@DATA_CENTRE/KIND for each stage, separated
// by spaces.
func parsePath(path string) []stage {
	var out []stage
	for text := range strings.FieldsSeq(path) {
		engine, rest, _ := strings.Cut(text, "=")
		_, where, _ := strings.Cut(rest, "@")
		dc, kind, _ := strings.Cut(where, "/")
		out = append(out, stage{engine: engine, dataCenter: dc, kind: kind})
	}
	return out
}

func (l Line) millis(name string) time.Duration {
	ms, err := strconv.ParseFloat(l.value(name), 64)
	if err != nil {
		return 0 // the request did not get as far as having the field
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// WriteText writes the summary as text: the causes, one line per interval and the engines with the
// largest shares.
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
	for _, span := range s.Spans {
		fmt.Fprintf(&b, "%s %7d %8d %10.2f  %s\n", span.From.Format("15:04:05.000"), span.Streams, span.Causes[InTime], span.Crossings, span.otherCauses(causes))
	}
	const maxEngines = 8
	fmt.Fprintf(&b, "\nengines on most paths\n")
	for _, e := range s.Engines[:min(maxEngines, len(s.Engines))] {
		fmt.Fprintf(&b, "%5.2f  %s (%s)\n", e.Of, e.Engine, e.Where)
	}
	writeServed(&b, "accounts", s.Accounts, s.AccountCount)
	writeServed(&b, "routes", s.Routes, s.RouteCount)
	if s.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines were not readable\n", s.Unreadable)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// otherCauses lists the two most frequent causes other than InTime.
func (s Span) otherCauses(causes []Cause) string {
	var out []string
	for _, c := range slices.SortedStableFunc(slices.Values(causes), func(a, b Cause) int { return cmp.Compare(s.Causes[b], s.Causes[a]) }) {
		if n := s.Causes[c]; n > 0 && c != InTime && len(out) < 2 {
			out = append(out, fmt.Sprintf("%s %d", c, n))
		}
	}
	return strings.Join(out, ", ")
}
