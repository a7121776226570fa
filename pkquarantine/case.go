package pkquarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// CrashLimit is the number of replicas that must have crashed while running a request, or requests
	// with a part, before it is quarantined. Two crashes are not enough: one attempt of a caller may
	// meet as many for other reasons, as do all requests that run beside a poison request.
	CrashLimit = 3
	// Period is how long a request is quarantined after its last crash. It bounds what a caller
	// loses by a false positive. A poison request that is retried forever crashes at most one
	// replica per period, since the first crash after the period quarantines it again.
	Period = 10 * time.Minute
	// retention is how long a case is kept after its last crash.
	retention = 2 * Period
	// maxCrashes bounds the crashes kept per case; the oldest are dropped.
	maxCrashes = 16
	// ageTolerance is how much younger a crash must be than the oldest of a full case to replace it.
	// Entries differ in the ages by the time that messages take. Without a tolerance they would replace
	// each other's crashes forever.
	ageTolerance = time.Second
	// crashesPerMoment bounds the crashes of one moment that are kept of a part. The loss of a data
	// centre at the target size has hundreds, for each of hundreds of parts.
	crashesPerMoment = 2
)

// StartID identifies one start of a replica; zero means none.
type StartID uint64

// StartIDOf returns the identifier of a replica's start.
func StartIDOf(id pkid.TargetID, born pkid.StartTime) StartID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never returns an error
	_ = binary.Write(h, binary.BigEndian, int64(born))
	return max(StartID(h.Sum64()), 1)
}

// Crash is the crash of a replica that was running a request.
type Crash struct {
	Start StartID `cbor:"1,keyasint" json:"start"`
	// AgoMS is how many milliseconds ago the replica crashed. Entries exchange ages instead of
	// times because their clocks differ.
	AgoMS int64 `cbor:"2,keyasint" json:"ago_ms"`
	// Cleared is set if the request has run successfully since, so that the crash no longer counts.
	Cleared bool `cbor:"3,keyasint,omitempty" json:"cleared,omitempty"`
}

// Case is the record of a request, or of a part of prompts, that crashed replicas, as exchanged between
// entries.
type Case struct {
	Digest  Digest  `cbor:"1,keyasint" json:"digest"`
	Crashes []Crash `cbor:"2,keyasint" json:"crashes"`
	// Part is the position of a part in the prompt, starting at 1; zero is a whole request.
	Part int `cbor:"3,keyasint,omitempty" json:"part,omitempty"`
	// SucceededAgoMS is how many milliseconds ago a request with the part last ran successfully, plus
	// one; zero if that is not known.
	SucceededAgoMS int64 `cbor:"4,keyasint,omitempty" json:"succeeded_ago_ms,omitempty"`
	// Completed is set if a request with the part was answered whole.
	Completed bool `cbor:"5,keyasint,omitempty" json:"completed,omitempty"`
	// Request is a request with the part that crashed replicas, and Several is set, in place of it, if
	// there were several.
	Request Digest `cbor:"6,keyasint,omitempty" json:"request,omitempty"`
	Several bool   `cbor:"7,keyasint,omitempty" json:"several,omitempty"`
}

// Aged returns the case with its crashes aged by a duration. Negative durations, as from clock
// skew, count as zero.
func (c Case) Aged(by time.Duration) Case {
	out := c
	out.Crashes = slices.Clone(c.Crashes)
	if c.SucceededAgoMS > 0 {
		out.SucceededAgoMS = min(c.SucceededAgoMS, retention.Milliseconds()) + max(by, 0).Milliseconds()
	}
	for i := range out.Crashes {
		ago := min(out.Crashes[i].AgoMS, retention.Milliseconds())
		out.Crashes[i].AgoMS = ago + max(by, 0).Milliseconds()
	}
	return out
}

// crash is a Crash with its time on this entry's clock.
type crash struct {
	start   StartID
	at      time.Time
	cleared bool
}

// record is a table's state of one request, or of one part of prompts.
type record struct {
	// part is the position of a part in the prompt; zero for a whole request.
	part int
	// request is a request with the part that crashed replicas, several is set if there were others.
	request Digest
	several bool
	// successes is how well requests with the part ran.
	successes successes
	// crashes are sorted by time, newest first.
	crashes []crash
	// changedAt is when the record last changed, timesSent in how many messages it was sent since.
	changedAt time.Time
	timesSent int
	// contradicted is set if a peer lacks a success that is known here.
	contradicted bool
}

// add adds or updates a crash and reports whether the record changed.
func (r *record) add(c crash) bool {
	for i := range r.crashes {
		if r.crashes[i].start != c.start {
			continue
		}
		old := &r.crashes[i]
		changed := c.cleared && !old.cleared
		old.cleared = old.cleared || c.cleared
		// The time that messages are under way is missing in the ages that they hold, so that the
		// earliest time is the right one.
		if c.at.Before(old.at) {
			old.at = c.at
			r.sortCrashes()
		}
		return changed
	}
	if r.part > 0 && r.crashesAround(c.at) >= crashesPerMoment {
		return false
	}
	if len(r.crashes) >= maxCrashes {
		oldest := r.crashes[len(r.crashes)-1]
		if c.at.Sub(oldest.at) < ageTolerance {
			return false
		}
		r.crashes = r.crashes[:len(r.crashes)-1]
	}
	r.crashes = append(r.crashes, c)
	r.sortCrashes()
	return true
}

// countCrashes returns the number of crashes that are not cleared and the time of the latest.
func (r *record) countCrashes() (n int, last time.Time) {
	for _, c := range r.crashes {
		if c.cleared {
			continue
		}
		if n == 0 {
			last = c.at
		}
		n++
	}
	return n, last
}

// crashesAround returns the number of crashes at the moment of a time.
func (r *record) crashesAround(at time.Time) int {
	n := 0
	for _, c := range r.crashes {
		if c.at.Sub(at).Abs() <= momentLength {
			n++
		}
	}
	return n
}

// addRequest adds what a case says of the requests with the part that crashed replicas, and reports whether the
// record changed.
func (r *record) addRequest(c Case) bool {
	several := r.several || c.Several || (r.request != 0 && c.Request != 0 && c.Request != r.request)
	changed := several != r.several || (r.request == 0 && c.Request != 0)
	r.several = several
	if r.request == 0 {
		r.request = c.Request
	}
	return changed
}

func (r *record) sortCrashes() {
	slices.SortFunc(r.crashes, func(a, b crash) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.start, b.start)) })
}

// countedTimes returns the times of the crashes that are not cleared, the latest first.
func (r *record) countedTimes() []time.Time {
	var out []time.Time
	for _, c := range r.crashes {
		if !c.cleared {
			out = append(out, c.at)
		}
	}
	return out
}

// soundBefore reports whether a request with the part ran successfully within Period before a time.
func (r *record) soundBefore(at time.Time) bool {
	return r.successes.provenAt.Before(at) && at.Sub(r.successes.provenAt) < Period
}

// succeed records how well a request ran, and reports whether that changed the record. A success clears the
// crashes of a part before it, and all known crashes of a request, which runs at one replica at a time.
func (r *record) succeed(one successes) bool {
	changed := false
	for i := range r.crashes {
		before := !r.crashes[i].at.After(one.provenAt) || (r.part == 0 && !one.provenAt.IsZero())
		if before && !r.crashes[i].cleared {
			r.crashes[i].cleared, changed = true, true
		}
	}
	if r.part > 0 {
		before := r.successes
		r.successes = before.merge(one)
		changed = changed || before.provenAt.IsZero() != r.successes.provenAt.IsZero() || before.completed != r.successes.completed
	}
	return changed
}

// knowsMoreThan reports whether the record has a success, or a cleared crash, that a case lacks.
func (r *record) knowsMoreThan(c Case) bool {
	if (!r.successes.provenAt.IsZero() && c.SucceededAgoMS <= 0) || (r.successes.completed && !c.Completed) {
		return true
	}
	for _, reported := range c.Crashes {
		for _, known := range r.crashes {
			if known.start == reported.Start && known.cleared && !reported.Cleared {
				return true
			}
		}
	}
	return false
}

// isKnownTo reports whether a case of a peer holds all that the record does.
func (r *record) isKnownTo(c Case) bool {
	if r.knowsMoreThan(c) || (r.several && !c.Several) {
		return false
	}
	return !slices.ContainsFunc(r.crashes, func(known crash) bool {
		return !slices.ContainsFunc(c.Crashes, func(reported Crash) bool { return reported.Start == known.start })
	})
}

// timesSentAfter returns how often the record counts as sent after a peer has sent a case to all entries; sent is
// how often it was sent before, and changed is set if the case changed it. What is new in the case counts as sent
// but for one message, for peers that do not hear the sender. A case that holds all that the record does counts as
// a message with the record.
func (r *record) timesSentAfter(c Case, sent int, changed bool) int {
	switch {
	case changed:
		return min(sent, gossipCount-1)
	case r.isKnownTo(c):
		return sent + 1
	default:
		return sent
	}
}

// isExpired reports whether the record can be dropped at now.
func (r *record) isExpired(now time.Time) bool {
	return len(r.crashes) == 0 || now.Sub(r.crashes[0].at) >= retention
}

// toCase returns the record in the form exchanged between entries.
func (r *record) toCase(now time.Time, d Digest) Case {
	out := Case{Digest: d, Crashes: make([]Crash, len(r.crashes)), Part: r.part, Completed: r.successes.completed, Request: r.request, Several: r.several}
	if r.several {
		out.Request = 0
	}
	if at := r.successes.provenAt; !at.IsZero() {
		out.SucceededAgoMS = max(now.Sub(at).Milliseconds(), 0) + 1
	}
	for i, c := range r.crashes {
		out.Crashes[i] = Crash{Start: c.start, AgoMS: now.Sub(c.at).Milliseconds(), Cleared: c.cleared}
	}
	return out
}
