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
	// silenceShare is the share of the longest pause that callers accept after which a stream
	// without an event counts as silent. The rest must suffice to probe engines and for the first
	// event of another attempt. With a smaller share, healthy engines of slow streams would be
	// probed. Healthy engines that are probed look dead to entries that are slow themselves. Probes
	// take 5 to 40 ms.
	silenceShare = 0.3
	// defaultSilence applies where the caller states no limit.
	defaultSilence = 60 * time.Millisecond
	// meanGapFactor multiplies the mean gap between a stream's events, so that a slow path is not
	// taken for a dead one. A stream that is merely slow costs a probe only, since engines that
	// answer are not avoided.
	meanGapFactor = 2.2
	// drainTime is how long after a stream fell silent another must have progressed to prove that
	// an engine is alive: events that had passed a dead engine still arrive for a while. That takes
	// 30 ms.
	drainTime = 45 * time.Millisecond
	// minSilentStreams is how many silent streams must share an engine.
	minSilentStreams = 2
	// maxProbes bounds the engines that are probed at once. Engines of a pipeline share all their
	// streams, so each dead one leaves the whole pipeline as candidates; those with the most silent
	// streams come first, the rest are probed in the next round. Taking more candidates for a sign
	// that all engines are slow delays detection: six of 38 engines that died together were then
	// found one after the other, over 1.8 s.
	maxProbes = 12
	// firstEventShare is the share of the longest wait for the first event that callers accept
	// after which a stream without one counts as silent. A stream that was sent again over another
	// dead engine would wait for firstEventTimeout otherwise.
	firstEventShare = 0.4
	// defaultFirstEvent applies where the caller states no limit.
	defaultFirstEvent = 200 * time.Millisecond
)

// Stream is the progress of one stream.
type Stream struct {
	Path []pkid.TargetID
	// Started is set once an event has arrived; LastProgress is when the last event arrived, or
	// when the request was sent.
	Started      bool
	LastProgress time.Time
	// MeanGap is the mean time between events; zero before the second one.
	MeanGap time.Duration
	// MaxGap is the longest pause that the caller accepts, MaxFirstWait the longest wait for the
	// first event; zero if not stated.
	MaxGap       time.Duration
	MaxFirstWait time.Duration
}

// Silent reports whether the stream counts as silent at now.
func (s Stream) Silent(now time.Time) bool {
	silence := now.Sub(s.LastProgress)
	if !s.Started {
		return silence >= shareOf(firstEventShare, s.MaxFirstWait, defaultFirstEvent)
	}
	return silence >= max(shareOf(silenceShare, s.MaxGap, defaultSilence), time.Duration(meanGapFactor*float64(s.MeanGap)))
}

// shareOf returns a share of a duration, or the fallback if the duration is zero.
func shareOf(share float64, total, fallback time.Duration) time.Duration {
	if total == 0 {
		return fallback
	}
	return time.Duration(share * float64(total))
}

// Evidence is what is known of the engines besides their streams.
type Evidence struct {
	// Answered returns when an engine last gave a sign of life, zero if never; nil means never for
	// all engines.
	Answered func(pkid.TargetID) time.Time
	// Seed orders engines with equally many silent streams. Entries with different seeds probe
	// different engines first.
	Seed uint64
}

// candidate is an engine that silent streams may be waiting for.
type candidate struct {
	id     pkid.TargetID
	silent int
	// stalledAt is when the last of its silent streams fell silent.
	stalledAt time.Time
	rank      uint64
}

// ProbeTargets returns the engines to probe at now, those with the most silent streams first.
// Engines that another stream has passed since, or that gave another sign of life, are left out.
func ProbeTargets(now time.Time, streams []Stream, e Evidence) []pkid.TargetID {
	candidates := candidatesOf(now, streams)
	if candidates == nil {
		return nil
	}
	dropLive(candidates, streams, e)
	var sorted []*candidate
	for _, c := range candidates {
		if c.silent >= minSilentStreams {
			c.rank = tieBreak(e.Seed, c.id)
			sorted = append(sorted, c)
		}
	}
	slices.SortFunc(sorted, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.silent, a.silent), cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
	})
	var out []pkid.TargetID
	for _, c := range sorted[:min(len(sorted), maxProbes)] {
		out = append(out, c.id)
	}
	return out
}

// candidatesOf returns the engines of silent streams; nil if too few streams are silent.
func candidatesOf(now time.Time, streams []Stream) map[pkid.TargetID]*candidate {
	out := map[pkid.TargetID]*candidate{}
	silent := 0
	for _, s := range streams {
		if !s.Silent(now) {
			continue
		}
		silent++
		for _, id := range s.Path {
			if out[id] == nil {
				out[id] = &candidate{id: id}
			}
			out[id].silent++
			if s.LastProgress.After(out[id].stalledAt) {
				out[id].stalledAt = s.LastProgress
			}
		}
	}
	if silent < minSilentStreams {
		return nil
	}
	return out
}

// dropLive removes the engines that were alive after the last of their silent streams stopped.
func dropLive(candidates map[pkid.TargetID]*candidate, streams []Stream, e Evidence) {
	for _, s := range streams {
		for _, id := range s.Path {
			if c := candidates[id]; c != nil && s.Started && s.LastProgress.Sub(c.stalledAt) > drainTime {
				delete(candidates, id)
			}
		}
	}
	if e.Answered == nil {
		return
	}
	for id, c := range candidates {
		if e.Answered(id).After(c.stalledAt) {
			delete(candidates, id)
		}
	}
}

// tieBreak hashes an ID with a seed; with seed zero, ties are ordered by ID.
func tieBreak(seed uint64, id pkid.TargetID) uint64 {
	if seed == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, seed)) // Write on a hash never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// Dead reports whether a probed engine is dead, given the error of the probe and that of a control
// probe to another engine at the same time.
//
// A refused or broken connection is the engine's own fault. A timeout may be due to overload of
// this VM, so it counts only if the control probe succeeded.
func Dead(probe, control error) bool {
	if probe == nil {
		return false
	}
	if errors.Is(probe, context.DeadlineExceeded) {
		return control == nil
	}
	return true
}
