package pktrace

import "time"

// Class is what became of a request.
type Class uint8

// Classes. A request has exactly one; a doubled or crossed one is not whole.
const (
	Lost Class = iota
	Whole
	Late
	Refused
	Doubled
	Crossed
)

// Classes lists all classes in the order of reports.
var Classes = []Class{Whole, Refused, Late, Lost, Doubled, Crossed}

// String returns the class as it stands in reports.
func (c Class) String() string {
	return [...]string{"lost", "whole", "late", "refused", "doubled", "crossed"}[c]
}

// Result is one replayed request.
type Result struct {
	Line  Line
	Call  string
	Class Class
	// Began and Ended are offsets from the start of the replay.
	Began time.Duration
	Ended time.Duration
	// FirstToken is from the request to its first token, Gap the longest time
	// between two tokens and GapAt when it ended.
	FirstToken time.Duration
	Gap        time.Duration
	GapAt      time.Duration
	Tokens     int
	Detail     string
}
