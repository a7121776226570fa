package pkexplain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxAdmissions bounds the requests listed that went ahead of one: a pool admits hundreds while one waits.
	maxAdmissions = 5
	// logPrecision is how far times computed from a line's durations may be off; they are whole milliseconds.
	logPrecision = 2 * time.Millisecond
)

const (
	requestMessage = "request"
	refusalMessage = "request refused for lack of room"
	replicaMessage = "replica changed"
)

// Wait is what a request has met in the queue of a pool.
type Wait struct {
	// WaitedMS is how long it waited in milliseconds, Ahead how many requests it found waiting, and Requeued
	// how often it came back from an engine that refused it.
	WaitedMS int64
	Ahead    int64
	Requeued int64
	Account  string
	// Service is the pool; Priority is the account's or else the route's, Rank the route's. Each is empty if the
	// log does not tell it.
	Service  string
	Priority string
	Rank     string
	// Approximate is set if it may have waited several times.
	Approximate bool
	// Refusal is nil if it was not refused for lack of room.
	Refusal *Refusal
	// Admitted counts the requests that also waited for the pool and were admitted while it waited, and
	// AdmittedLater those of them that had come after it.
	Admitted      int
	AdmittedLater int
	// Admissions are the first of them, at most five, those that had come after it before the others.
	Admissions []Admission
}

// Refusal is why a request was refused for lack of room.
type Refusal struct {
	// Cause is as in the log, Reason is a sentence for it.
	Cause  string
	Reason string
	// Waiting is the number of requests in the queue after the refusal.
	Waiting      int64
	EstimateMS   int64
	RetryAfterMS int64
}

// Admission is a request that was admitted while another one waited.
type Admission struct {
	RequestID string
	Account   string
	Route     string
	// Priority is empty if the log does not tell it.
	Priority string
	At       time.Time
	WaitedMS int64
	// Later is set if it had come after the other one.
	Later bool
	// Approximate is set if it may have waited several times: At assumes that it did all its waiting at first.
	Approximate bool
}

// findWait returns what a request has met in the queue of a pool, or nil if it has not waited there. The lines
// are those of the entry that served it.
func findWait(all, requestLines []Line) *Wait {
	request := lastLine(requestLines, requestMessage)
	refusal := lastLine(requestLines, refusalMessage)
	start := startTime(requestLines)
	if request.Message != "" {
		start = startTime([]Line{request})
	}
	if refusal.At.Before(start.Add(-logPrecision)) {
		refusal = Line{} // of an earlier request with the same ID
	}
	if request.integer("waited_ms") == 0 && refusal.Message == "" {
		return nil
	}
	pools := poolsOf(all)
	w := &Wait{
		WaitedMS: max(request.integer("waited_ms"), refusal.integer("waited_ms")), Ahead: request.integer("ahead"), Requeued: request.integer("requeued"),
		Account: cmp.Or(request.value("account"), refusal.value("account")), Service: cmp.Or(refusal.value("service"), pools.of(request)),
		Priority: cmp.Or(refusal.value("priority"), request.value("priority")), Rank: cmp.Or(refusal.value("rank"), request.value("rank")),
		Approximate: request.sentAgain(),
	}
	end := start.Add(milliseconds(w.WaitedMS))
	if refusal.Message != "" {
		w.Refusal = refusalOf(refusal)
		end = refusal.At
		if w.Requeued == 0 {
			start = end.Add(-milliseconds(refusal.integer("waited_ms")))
		}
	}
	w.addAdmissions(all, requestLines[0].value("request_id"), pools, start, end)
	return w
}

// lastLine returns the last line with a message, or an empty one.
func lastLine(lines []Line, message string) Line {
	for _, l := range slices.Backward(lines) {
		if l.Message == message {
			return l
		}
	}
	return Line{}
}

// addAdmissions adds the requests that were admitted to the pool after start and until end.
func (w *Wait) addAdmissions(all []Line, id string, pools pools, start, end time.Time) {
	for _, l := range all {
		if !l.wasAdmitted() || l.value("request_id") == id || !w.mayShare(pools.of(l)) {
			continue
		}
		one := admissionOf(l, start)
		if !one.At.After(start) || one.At.After(end) {
			continue
		}
		w.Admitted++
		if one.Later {
			w.AdmittedLater++
		}
		w.Admissions = append(w.Admissions, one)
	}
	slices.SortStableFunc(w.Admissions, func(a, b Admission) int {
		switch {
		case a.Later && !b.Later:
			return -1
		case b.Later && !a.Later:
			return 1
		default:
			return a.At.Compare(b.At)
		}
	})
	w.Admissions = w.Admissions[:min(len(w.Admissions), maxAdmissions)]
}

// mayShare reports whether a request to a service may have waited in the same queue. Services that the log does not
// tell count as the same.
func (w *Wait) mayShare(service string) bool {
	return service == "" || w.Service == "" || service == w.Service
}

// admissionOf reads the line of a request that was admitted while another one waited, which began to wait at start.
func admissionOf(l Line, start time.Time) Admission {
	arrived, waited := startTime([]Line{l}), l.integer("waited_ms")
	return Admission{
		RequestID: l.value("request_id"), Account: l.value("account"), Route: l.value("route"), Priority: l.value("priority"),
		At: arrived.Add(milliseconds(waited)), WaitedMS: waited, Later: arrived.After(start), Approximate: l.sentAgain(),
	}
}

// wasAdmitted reports whether the line is on a request that waited, was given a path and was not refused later.
func (l Line) wasAdmitted() bool {
	return l.Message == requestMessage && l.integer("waited_ms") > 0 && l.value("path") != "" && l.value("outcome") != string(refusedOutcome)
}

// sentAgain reports whether the line is on a request that may have waited several times.
func (l Line) sentAgain() bool { return l.integer("sends") > 1 || l.integer("requeued") > 0 }

// pools maps each target to its service.
type pools map[string]string

// poolsOf reads the services of the targets from the lines on replicas. Those on deleted ones name no service.
func poolsOf(all []Line) pools {
	out := pools{}
	for _, l := range all {
		if service := l.value("service"); l.Message == replicaMessage && service != "" {
			out[l.value("target")] = service
		}
	}
	return out
}

// of returns the service that a request was sent to, or an empty string if the log does not tell it.
func (p pools) of(request Line) string {
	if service := request.value("service"); service != "" {
		return service
	}
	for _, t := range request.targets() {
		if service := p[t]; service != "" {
			return service
		}
	}
	return ""
}

// refusalOf reads a line on a refusal.
func refusalOf(l Line) *Refusal {
	r := &Refusal{Cause: l.value("cause"), Waiting: l.integer("waiting"), EstimateMS: l.integer("wait_ms"), RetryAfterMS: l.integer("retry_after_ms")}
	reasons := map[string]string{
		"late":    "it was refused at once, since its estimated wait exceeded the time that its caller waits",
		"full":    "the queue was full and it was the last in order",
		"expired": "no room came for it in the time that its caller waits",
		"budget":  "an engine had refused it before it ran, and the retry budget allowed no other send in time",
	}
	reason, known := reasons[r.Cause]
	if !known {
		reason = "it was refused for the cause " + strconv.Quote(r.Cause)
	}
	estimate := "there was no estimate of its wait"
	if r.EstimateMS > 0 {
		estimate = "the estimated wait was " + milliseconds(r.EstimateMS).String()
	}
	retry := "no Retry-After, since its caller had no time left"
	if r.RetryAfterMS > 0 {
		retry = "Retry-After " + milliseconds(r.RetryAfterMS).String()
	}
	r.Reason = fmt.Sprintf("%s; %s, %s", reason, estimate, retry)
	return r
}

// WriteText writes the wait as text.
func (w *Wait) WriteText(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\nwaited %s%s for room, %d waited when it came", about(w.Approximate), milliseconds(w.WaitedMS), w.Ahead)
	if w.Requeued > 0 {
		fmt.Fprintf(&b, ", queued again %d times", w.Requeued)
	}
	fmt.Fprintf(&b, "\naccount %s, priority %s, priority of its route %s, pool %s\n", orUnknown(w.Account), orUnknown(w.Priority), orUnknown(w.Rank), orUnknown(w.Service))
	if r := w.Refusal; r != nil {
		fmt.Fprintf(&b, "refused (%s): %s; %d were left waiting\n", r.Cause, r.Reason, r.Waiting)
	}
	fmt.Fprintf(&b, "while it waited, %d others that waited were admitted, %d of which had come after it\n", w.Admitted, w.AdmittedLater)
	for _, a := range w.Admissions {
		order := "came before it"
		if a.Later {
			order = "came after it"
		}
		fmt.Fprintf(&b, "  %s%s %s account %s, route %s, priority %s, waited %s, %s\n", about(a.Approximate), a.At.Format("15:04:05.000"), a.RequestID,
			orUnknown(a.Account), orUnknown(a.Route), orUnknown(a.Priority), milliseconds(a.WaitedMS), order)
	}
	if rest := w.Admitted - len(w.Admissions); rest > 0 {
		fmt.Fprintf(&b, "  and %d more\n", rest)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func about(approximate bool) string {
	if approximate {
		return "about "
	}
	return ""
}

// orUnknown returns a value of a log line, or a word for one that the log does not have.
func orUnknown(value string) string { return cmp.Or(value, "unknown") }

// integer returns a field that is a whole number; zero if the line does not have it.
func (l Line) integer(name string) int64 {
	number, err := strconv.ParseFloat(l.value(name), 64)
	if err != nil {
		return 0 // the request did not get as far as having the field, or an older build wrote the line
	}
	return int64(number)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
