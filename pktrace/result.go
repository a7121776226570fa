package pktrace

import "time"

// Class is the result class of a request.
type Class uint8

// Result classes. A request has exactly one.
const (
	// Lost requests got no complete answer.
	Lost Class = iota
	// Whole requests were answered completely and in time.
	Whole
	// Late requests were answered completely after their deadline.
	Late
	// Refused requests were rejected with the verdict that they had not run.
	Refused
	// Doubled requests ran more than once without being idempotent, or their stream repeated or
	// skipped tokens.
	Doubled
	// Crossed requests got an answer, or a part of one, that is not theirs.
	Crossed
)

// Classes lists all classes in the order in which reports show them.
var Classes = []Class{Whole, Refused, Late, Lost, Doubled, Crossed}

// String returns the name of the class in reports.
func (c Class) String() string {
	return [...]string{"lost", "whole", "late", "refused", "doubled", "crossed"}[c]
}

// Result is the result of a replayed request, or of a fault that could not be injected.
type Result struct {
	Line  Line
	Call  string
	Class Class
	// Began and Ended are offsets from the start of the replay.
	Began time.Duration
	Ended time.Duration
	// FirstToken is the time to the first token, Gap the longest time between two tokens, and GapAt
	// the offset at which that gap ended.
	FirstToken time.Duration
	Gap        time.Duration
	GapAt      time.Duration
	Tokens     int
	Detail     string
}
