package pkstall

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// silentShare is the share of the longest pause that callers accept after which a
	// stream without an event counts as silent: what is left must do for asking the
	// engines, 5 to 40 ms, and for the first event of another attempt, 70 ms. At 60 of
	// 200 ms rather than 90, and asked for 40 ms rather than 80, the median pause of streams
	// that left a dead engine was 279 ms instead of 358 (one day, 131 and 143 streams).
	silentShare = 0.3
	// silentDefault is the same where callers have said nothing.
	silentDefault = 60 * time.Millisecond
	// silentTimes multiplies a stream's own mean pause, so that a slow path is not
	// taken for a dead one. Engines that answer are not passed over, so that a stream that
	// is merely slow costs a question.
	silentTimes = 2.2
	// passed is how long after a stream fell silent another must have moved to show that
	// an engine still runs: what had passed the dead one before comes out for 30 ms.
	passed = 45 * time.Millisecond
	// leastSilent is how many streams must have fallen silent together.
	leastSilent = 2
	// mostCulprits bounds the engines that are in question at once; more mean that
	// something else is slow. Engines of a row share all of their streams, so each silent
	// stream of one that died leaves its whole row in question. With a bound of four nobody
	// asked, and 58 streams stood still for a second instead of 0.2 s.
	mostCulprits = 12
)

// Flow is one stream as the search sees it.
type Flow struct {
	Path []pkid.TargetID
	// Last is when its last event came.
	Last time.Time
	// Pause is the mean time between its events; zero before there are two.
	Pause time.Duration
	// Most is the longest pause that its caller accepts; zero where none is stated.
	Most time.Duration
}

// Silent says whether a stream has fallen silent at now.
func (f Flow) Silent(now time.Time) bool {
	least := time.Duration(silentShare * float64(f.Most))
	if least == 0 {
		least = silentDefault
	}
	return now.Sub(f.Last) >= max(least, time.Duration(silentTimes*float64(f.Pause)))
}

// Culprits returns the engines that silent streams may wait for: those on the most of
// them, on no stream that has moved since they fell silent. It returns none where
// the streams leave too many to choose from.
func Culprits(now time.Time, flows []Flow) []pkid.TargetID {
	silent := map[pkid.TargetID]int{}
	onset := map[pkid.TargetID]time.Time{}
	n := 0
	for _, f := range flows {
		if !f.Silent(now) {
			continue
		}
		n++
		for _, id := range f.Path {
			silent[id]++
			if f.Last.After(onset[id]) {
				onset[id] = f.Last
			}
		}
	}
	if n < leastSilent {
		return nil
	}
	for _, f := range flows {
		for _, id := range f.Path {
			// The engine has run since the last of its silent streams stopped.
			if at, suspected := onset[id]; suspected && f.Last.Sub(at) > passed {
				delete(silent, id)
			}
		}
	}
	return most(silent)
}

func most(silent map[pkid.TargetID]int) []pkid.TargetID {
	best := 0
	for _, n := range silent {
		best = max(best, n)
	}
	if best < leastSilent {
		return nil
	}
	var out []pkid.TargetID
	for id, n := range silent {
		if n == best {
			out = append(out, id)
		}
	}
	if len(out) > mostCulprits {
		return nil
	}
	slices.SortFunc(out, cmp.Compare[pkid.TargetID])
	return out
}

// Dead says whether an engine that was asked for a sign of life is dead, by the
// failure of the question and that of the same question to another engine at the
// same time.
//
// A refused or broken connection is the engine's own. A question that merely took
// too long can be this VM's: after all entries had returned together, each busy with
// all its callers, six live engines were taken for dead and 186 streams moved. So it
// counts only where another engine answered meanwhile.
func Dead(asked, control error) bool {
	if asked == nil {
		return false
	}
	if errors.Is(asked, context.DeadlineExceeded) {
		return control == nil
	}
	return true
}
