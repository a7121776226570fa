package pkquarantine

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// Limit is how many replicas must have ended under a request before it is held. One ends
	// for many reasons, and two are as many as one attempt of a caller meets, along with all
	// that stands beside a request which crashes them.
	Limit = 3
	// HoldFor is how long a request is held after the last crash. It bounds what a caller
	// loses that is held by mistake, and what a request that is sent for ever may crash: one
	// replica in that time, since the first crash after it holds the request again.
	HoldFor = 10 * time.Minute
	// keepFor is how long a case is remembered after its last crash.
	keepFor = 2 * HoldFor
	// mostCrashes bounds the crashes of a case; those that are older add nothing.
	mostCrashes = 8
)

// Start tells one start of a replica from all others; zero is none.
type Start uint64

// StartOf returns what tells a start of a replica from others.
func StartOf(id pkid.TargetID, born pkid.Birth) Start {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	_ = binary.Write(h, binary.BigEndian, int64(born))
	return max(Start(h.Sum64()), 1)
}

// Crash is a replica that ended under a request.
type Crash struct {
	Start Start `cbor:"1,keyasint" json:"start"`
	// AgoMS is how many milliseconds ago it ended. Spans pass between entries in place of
	// times, since their clocks differ.
	AgoMS int64 `cbor:"2,keyasint" json:"ago_ms"`
	// Cleared says that the request has run well since, so that the crash speaks of another.
	Cleared bool `cbor:"3,keyasint,omitempty" json:"cleared,omitempty"`
}

// Case is what one entry tells another of a request under which replicas have ended.
type Case struct {
	Digest  Digest  `cbor:"1,keyasint" json:"digest"`
	Crashes []Crash `cbor:"2,keyasint" json:"crashes"`
}

// Older returns the case as it stands a span later; clocks that disagree make it no younger.
func (c Case) Older(by time.Duration) Case {
	out := Case{Digest: c.Digest, Crashes: slices.Clone(c.Crashes)}
	for i := range out.Crashes {
		ago := min(out.Crashes[i].AgoMS, keepFor.Milliseconds())
		out.Crashes[i].AgoMS = ago + max(by, 0).Milliseconds()
	}
	return out
}

// crash is a Crash at a time of this entry's clock.
type crash struct {
	start   Start
	at      time.Time
	cleared bool
}

// record is what a table knows of one request.
type record struct {
	// crashes are sorted by their time, the newest first.
	crashes []crash
	// changed is when it last changed, told in how many messages it was told since.
	changed time.Time
	told    int
}

// add takes a crash and says whether it is news.
func (r *record) add(c crash) bool {
	for i := range r.crashes {
		if r.crashes[i].start != c.start {
			continue
		}
		news := c.cleared && !r.crashes[i].cleared
		r.crashes[i].cleared = r.crashes[i].cleared || c.cleared
		return news
	}
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b crash) int { return b.at.Compare(a.at) })
	if len(r.crashes) <= mostCrashes {
		return true
	}
	last := r.crashes[mostCrashes]
	r.crashes = r.crashes[:mostCrashes]
	return last.start != c.start
}

// counted returns how many crashes speak against the request, and when the last of them was.
func (r *record) counted() (n int, last time.Time) {
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

// heldUntil returns until when the request is held; zero where it never was.
func (r *record) heldUntil() time.Time {
	n, last := r.counted()
	if n < Limit {
		return time.Time{}
	}
	return last.Add(HoldFor)
}

func (r *record) isHeld(now time.Time) bool { return now.Before(r.heldUntil()) }

// isOver says whether nothing that is known of the request matters any more at now.
func (r *record) isOver(now time.Time) bool {
	return len(r.crashes) == 0 || now.Sub(r.crashes[0].at) >= keepFor
}

// tell returns the record as it is told at now.
func (r *record) tell(now time.Time, d Digest) Case {
	out := Case{Digest: d, Crashes: make([]Crash, len(r.crashes))}
	for i, c := range r.crashes {
		out.Crashes[i] = Crash{Start: c.start, AgoMS: now.Sub(c.at).Milliseconds(), Cleared: c.cleared}
	}
	return out
}
