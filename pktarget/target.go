package pktarget

import (
	"sync/atomic"
	"time"

	"peridotknot.example/pkid"
)

// Info is what is fixed about a target while it runs.
type Info struct {
	ID         pkid.TargetID   `json:"id"`
	Addr       string          `json:"addr"`
	Pool       pkid.PoolID     `json:"pool"`
	Kind       pkid.Kind       `json:"kind"`
	DataCenter pkid.DataCenter `json:"data_center"`
}

// Holding is what an engine holds at present.
type Holding struct {
	Model    pkid.ModelID     `json:"model"`
	Version  pkid.Version     `json:"version"`
	Adapters []pkid.AdapterID `json:"adapters,omitempty"`
	Role     pkid.Role        `json:"role,omitempty"`
	Range    pkid.Range       `json:"range"`
}

// Report is what a target last said of its load.
type Report struct {
	Active   int
	Queued   int
	MaxBatch int
	// Step is the time of a decoding step at Active sequences, PerSeq what
	// one more sequence adds to it, Prefill the time of a prompt token.
	Step    time.Duration
	PerSeq  time.Duration
	Prefill time.Duration
}

// NewReport returns a report from numbers as they travel: counts, and times in
// microseconds.
func NewReport(active, queued, maxBatch int, stepUS, perSeqUS, prefillUS int64) Report {
	return Report{
		Active:   active,
		Queued:   queued,
		MaxBatch: maxBatch,
		Step:     time.Duration(stepUS) * time.Microsecond,
		PerSeq:   time.Duration(perSeqUS) * time.Microsecond,
		Prefill:  time.Duration(prefillUS) * time.Microsecond,
	}
}

// Target is one target and its state. Info is fixed; the rest is safe for use
// by many goroutines.
type Target struct {
	Info Info

	holding atomic.Pointer[Holding]
	report  atomic.Pointer[stamped]
	own     atomic.Int64
	peers   atomic.Int64
	health  health
	// leavingBy is a set of Witness bits.
	leavingBy atomic.Uint32
}

// stamped is a report with the counts that stood when it was taken.
type stamped struct {
	Report
	at    time.Time
	own   int64
	peers int64
}

// Witness is a source that says that a target is leaving.
type Witness uint32

// Witnesses of a target's leaving.
const (
	WitnessList Witness = 1 << iota
	WitnessSelf
	WitnessManifest
)

// NewTarget returns a target that has not reported yet.
func NewTarget(info Info) *Target { return &Target{Info: info} }

// Holding returns what the target holds; nil before its first report.
func (t *Target) Holding() *Holding { return t.holding.Load() }

// Hold records what the target holds and says whether that changed.
func (t *Target) Hold(h Holding) bool {
	old := t.holding.Load()
	if old != nil && old.same(h) {
		return false
	}
	t.holding.Store(&h)
	return true
}

func (h *Holding) same(o Holding) bool {
	if h.Model != o.Model || h.Version != o.Version || h.Role != o.Role || h.Range != o.Range {
		return false
	}
	if len(h.Adapters) != len(o.Adapters) {
		return false
	}
	for i := range h.Adapters {
		if h.Adapters[i] != o.Adapters[i] {
			return false
		}
	}
	return true
}

// Observe records a report taken at now.
func (t *Target) Observe(r Report, now time.Time) {
	t.report.Store(&stamped{Report: r, at: now, own: t.own.Load(), peers: t.peers.Load()})
}

// Numbers returns the target's last report and what it holds, for peers; the
// holding is nil if the target did not report yet.
func (t *Target) Numbers() (Report, *Holding) {
	s := t.report.Load()
	if s == nil {
		return Report{}, nil
	}
	return s.Report, t.holding.Load()
}

// Reported returns the last report and its age at now.
func (t *Target) Reported(now time.Time) (Report, time.Duration, bool) {
	s := t.report.Load()
	if s == nil {
		return Report{}, 0, false
	}
	return s.Report, now.Sub(s.at), true
}

// Begin counts one more request of this entry on the target.
func (t *Target) Begin() { t.own.Add(1) }

// Done counts one request less.
func (t *Target) Done() { t.own.Add(-1) }

// Own returns how many requests this entry has on the target.
func (t *Target) Own() int64 { return t.own.Load() }

// Peers returns how many requests other entries have on the target.
func (t *Target) Peers() int64 { return t.peers.Load() }

// SetPeers records how many requests other entries have on the target.
func (t *Target) SetPeers(n int64) { t.peers.Store(n) }

// Load returns the number of sequences that the target probably has: the last
// report corrected by what began and ended since, but never less than what the
// entries know to be in flight. Without the correction all entries send to the
// one target that looked idle in a report, until the next report.
func (t *Target) Load() int64 {
	own, peers := t.own.Load(), t.peers.Load()
	s := t.report.Load()
	if s == nil {
		return own + peers
	}
	corrected := int64(s.Active+s.Queued) + own - s.own + peers - s.peers
	return max(corrected, own+peers)
}

// StepTime returns the probable time of one step with one more sequence.
func (t *Target) StepTime() time.Duration {
	s := t.report.Load()
	if s == nil {
		return 0
	}
	more := t.Load() + 1 - int64(s.Active)
	step := s.Step + time.Duration(more)*s.PerSeq
	return max(step, s.PerSeq)
}

// Room returns how many more sequences fit into the target's batch; a negative
// number is the length of its queue.
func (t *Target) Room() int64 {
	s := t.report.Load()
	if s == nil {
		return 0
	}
	return int64(s.MaxBatch) - t.Load()
}

// Rate returns the tokens a second that the target makes with a full batch.
func (t *Target) Rate() float64 {
	s := t.report.Load()
	if s == nil || s.MaxBatch == 0 {
		return 0
	}
	full := s.Step + time.Duration(s.MaxBatch-s.Active)*s.PerSeq
	if full <= 0 {
		return 0
	}
	return float64(s.MaxBatch) / full.Seconds()
}

// Leave records that a witness says that the target is leaving, or no longer
// says so.
func (t *Target) Leave(w Witness, leaving bool) {
	for {
		old := t.leavingBy.Load()
		next := old &^ uint32(w)
		if leaving {
			next |= uint32(w)
		}
		if t.leavingBy.CompareAndSwap(old, next) {
			return
		}
	}
}

// LeavingBy says whether one witness says that the target is leaving.
func (t *Target) LeavingBy(w Witness) bool { return t.leavingBy.Load()&uint32(w) != 0 }

// Leaving says whether any witness says that the target is leaving.
func (t *Target) Leaving() bool { return t.leavingBy.Load() != 0 }

// Usable says whether the target may get new work at now.
func (t *Target) Usable(now time.Time) bool {
	return !t.Leaving() && !t.health.ejected(now)
}

// Failed records a failed call at now.
func (t *Target) Failed(now time.Time) { t.health.failed(now) }

// Succeeded records a call that went well.
func (t *Target) Succeeded() { t.health.succeeded() }

// Silent says whether calls to the target have failed lately without one that
// went well: the second witness for dropping it from a shrunken VM list.
func (t *Target) Silent() bool { return t.health.fails.Load() > 0 }
