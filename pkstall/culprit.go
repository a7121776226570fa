package pkstall

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"peridotknot.example/pkid"
)

const (
	// silentShare is the share of the longest pause that callers accept after which a
	// stream without an event counts as silent: what is left must do for asking the
	// engines, 5 to 40 ms, and for the first event of another attempt. With less, streams that are
	// merely slow have sound engines asked, which then look dead to entries that are slow themselves.
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
	// mostCulprits bounds the engines that are asked at once. Engines of a row share all of
	// their streams, so each silent stream of one that died leaves its whole row in question.
	// Where more are, those with the most silent streams are asked first and the others after
	// them: taken for a sign that all is slow, six engines of 38 that fell silent together were
	// found one after the other over 1.8 s.
	mostCulprits = 12
	// firstShare is the share of the time within which callers expect the first event after
	// which a stream without one counts as silent. A stream that was sent again over another
	// dead engine waited 0.9 s until it was looked after.
	firstShare = 0.4
	// firstDefault is the same where callers have said nothing.
	firstDefault = 200 * time.Millisecond
)

// Flow is one stream as the search sees it.
type Flow struct {
	Path []pkid.TargetID
	// Begun says that an event has come; Last is when the last one did, or when the stream was
	// sent.
	Begun bool
	Last  time.Time
	// Pause is the mean time between its events; zero before there are two.
	Pause time.Duration
	// Most is the longest pause that its caller accepts, First the longest wait for the first
	// event; zero where none is stated.
	Most  time.Duration
	First time.Duration
}

// Silent says whether a stream has fallen silent at now.
func (f Flow) Silent(now time.Time) bool {
	silence := now.Sub(f.Last)
	if !f.Begun {
		return silence >= share(firstShare, f.First, firstDefault)
	}
	return silence >= max(share(silentShare, f.Most, silentDefault), time.Duration(silentTimes*float64(f.Pause)))
}

// share returns a part of a time, or the default where there is none.
func share(part float64, of, otherwise time.Duration) time.Duration {
	if of == 0 {
		return otherwise
	}
	return time.Duration(part * float64(of))
}

// Evidence is what else is known when streams are silent.
type Evidence struct {
	// Answered returns when an engine last gave a sign of life, zero where it never did; nil
	// says never.
	Answered func(pkid.TargetID) time.Time
	// Turn orders engines that are equally in question. Entries that draw it ask different
	// ones first, and tell one another what they find.
	Turn uint64
}

// doubt is an engine that silent streams may wait for.
type doubt struct {
	id     pkid.TargetID
	silent int
	// onset is when the last of them fell silent.
	onset time.Time
	turn  uint64
}

// Culprits returns the engines that silent streams may wait for and that should be asked at
// now, those on the most of them first: on no stream that has moved since they fell silent,
// and without another sign of life.
func Culprits(now time.Time, flows []Flow, e Evidence) []pkid.TargetID {
	doubts := doubtsOf(now, flows)
	if doubts == nil {
		return nil
	}
	acquit(doubts, flows, e)
	var sorted []*doubt
	for _, one := range doubts {
		if one.silent >= leastSilent {
			one.turn = turn(e.Turn, one.id)
			sorted = append(sorted, one)
		}
	}
	slices.SortFunc(sorted, func(a, b *doubt) int {
		return cmp.Or(cmp.Compare(b.silent, a.silent), cmp.Compare(a.turn, b.turn), cmp.Compare(a.id, b.id))
	})
	var out []pkid.TargetID
	for _, one := range sorted[:min(len(sorted), mostCulprits)] {
		out = append(out, one.id)
	}
	return out
}

// doubtsOf returns the engines of silent streams, where there are enough of those.
func doubtsOf(now time.Time, flows []Flow) map[pkid.TargetID]*doubt {
	out := map[pkid.TargetID]*doubt{}
	n := 0
	for _, f := range flows {
		if !f.Silent(now) {
			continue
		}
		n++
		for _, id := range f.Path {
			if out[id] == nil {
				out[id] = &doubt{id: id}
			}
			out[id].silent++
			if f.Last.After(out[id].onset) {
				out[id].onset = f.Last
			}
		}
	}
	if n < leastSilent {
		return nil
	}
	return out
}

// acquit takes out the engines that have run since the last of their silent streams stopped.
func acquit(doubts map[pkid.TargetID]*doubt, flows []Flow, e Evidence) {
	for _, f := range flows {
		for _, id := range f.Path {
			if one := doubts[id]; one != nil && f.Begun && f.Last.Sub(one.onset) > passed {
				delete(doubts, id)
			}
		}
	}
	if e.Answered == nil {
		return
	}
	for id, one := range doubts {
		if e.Answered(id).After(one.onset) {
			delete(doubts, id)
		}
	}
}

// turn mixes a draw into an id; the draw zero keeps to the order of ids.
func turn(draw uint64, id pkid.TargetID) uint64 {
	if draw == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, draw)) // a hash takes everything
	_, _ = h.Write([]byte(id))                                  // here too
	return h.Sum64()
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
