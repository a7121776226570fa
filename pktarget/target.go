package pktarget

import (
	"sync/atomic"
	"time"

	"peridotknot.example/pkid"
)

// Info holds the properties of a target that are fixed while it runs.
type Info struct {
	ID         pkid.TargetID        `json:"id"`
	Addr       string               `json:"addr"`
	Pool       pkid.PoolID          `json:"pool"`
	Kind       pkid.AcceleratorKind `json:"kind"`
	DataCenter pkid.DataCenter      `json:"data_center"`
}

// Holding describes what an engine has loaded: the model version, its adapters and the range of
// layers.
type Holding struct {
	Model    pkid.ModelID     `json:"model"`
	Version  pkid.Version     `json:"version"`
	Adapters []pkid.AdapterID `json:"adapters,omitempty"`
	Role     pkid.Role        `json:"role,omitempty"`
	Range    pkid.Range       `json:"range"`
}

// Report is a target's report on its load.
type Report struct {
	Active   int
	Queued   int
	MaxBatch int
	// Step is the duration of a decoding step at Active sequences, PerSeq what one more sequence
	// adds to it, Prefill the prefill time per prompt token.
	Step    time.Duration
	PerSeq  time.Duration
	Prefill time.Duration
}

// NewReport returns a report from the values of the wire format: counts, and times in
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

// Target is one target and its state. Info does not change; the methods are safe for concurrent
// use.
type Target struct {
	Info Info

	holding      atomic.Pointer[Holding]
	report       atomic.Pointer[reportSample]
	ownRequests  atomic.Int64
	peerRequests atomic.Int64
	health       health
	// leavingBy is the set of sources, one bit each, that report the target as leaving.
	leavingBy atomic.Uint32
}

// reportSample is a report with its time and the request counts at that time.
type reportSample struct {
	Report
	at    time.Time
	own   int64
	peers int64
}

// LeavingSource is a source of the information that a target is leaving; the values are bits of a
// set.
type LeavingSource uint32

// Sources that can mark a target as leaving: the VM list, the target itself and the manifest.
const (
	SourceVMList LeavingSource = 1 << iota
	SourceTarget
	SourceManifest
)

// NewTarget returns a target that has not reported yet.
func NewTarget(info Info) *Target { return &Target{Info: info} }

// Holding returns what the target has loaded; nil before its first report.
func (t *Target) Holding() *Holding { return t.holding.Load() }

// SetHolding records what the target has loaded and returns whether that changed.
func (t *Target) SetHolding(h Holding) bool {
	old := t.holding.Load()
	if old != nil && old.equal(h) {
		return false
	}
	t.holding.Store(&h)
	return true
}

func (h *Holding) equal(o Holding) bool {
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

// Observe records a report received at now, with the request counts of that moment.
func (t *Target) Observe(r Report, now time.Time) {
	t.report.Store(&reportSample{Report: r, at: now, own: t.ownRequests.Load(), peers: t.peerRequests.Load()})
}

// Snapshot returns the target's last report and what it has loaded, as sent to peers; the holding
// is nil before the first report.
func (t *Target) Snapshot() (Report, *Holding) {
	s := t.report.Load()
	if s == nil {
		return Report{}, nil
	}
	return s.Report, t.holding.Load()
}

// LastReport returns the last report, its age at now and whether there is one.
func (t *Target) LastReport(now time.Time) (Report, time.Duration, bool) {
	s := t.report.Load()
	if s == nil {
		return Report{}, 0, false
	}
	return s.Report, now.Sub(s.at), true
}

// Begin counts a request that this entry starts on the target; Done must be called at its end.
func (t *Target) Begin() { t.ownRequests.Add(1) }

// Done counts the end of a request that Begin counted.
func (t *Target) Done() { t.ownRequests.Add(-1) }

// OwnRequests returns the number of requests that this entry has in flight on the target.
func (t *Target) OwnRequests() int64 { return t.ownRequests.Load() }

// PeerRequests returns the number of requests that other entries have in flight on the target.
func (t *Target) PeerRequests() int64 { return t.peerRequests.Load() }

// SetPeerRequests records the number of requests that other entries have in flight on the target.
func (t *Target) SetPeerRequests(n int64) { t.peerRequests.Store(n) }

// Load returns the estimated number of sequences on the target: the last report corrected by the
// requests that started and ended since, but at least the number that the entries have in flight.
// Uncorrected, all entries would choose the target that was idle in its last report.
func (t *Target) Load() int64 {
	own, peers := t.ownRequests.Load(), t.peerRequests.Load()
	s := t.report.Load()
	if s == nil {
		return own + peers
	}
	corrected := int64(s.Active+s.Queued) + own - s.own + peers - s.peers
	return max(corrected, own+peers)
}

// StepTime returns the estimated duration of a decoding step with one more sequence; 0 before the
// first report.
func (t *Target) StepTime() time.Duration {
	s := t.report.Load()
	if s == nil {
		return 0
	}
	extra := t.Load() + 1 - int64(s.Active)
	step := s.Step + time.Duration(extra)*s.PerSeq
	return max(step, s.PerSeq)
}

// FreeSlots returns how many more sequences fit into the target's batch; a negative number is the
// length of its queue.
func (t *Target) FreeSlots() int64 {
	s := t.report.Load()
	if s == nil {
		return 0
	}
	return int64(s.MaxBatch) - t.Load()
}

// TokenRate returns the tokens per second that the target generates with a full batch; 0 if
// unknown.
func (t *Target) TokenRate() float64 {
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

// SetLeaving records whether a source reports the target as leaving.
func (t *Target) SetLeaving(s LeavingSource, leaving bool) {
	for {
		old := t.leavingBy.Load()
		next := old &^ uint32(s)
		if leaving {
			next |= uint32(s)
		}
		if t.leavingBy.CompareAndSwap(old, next) {
			return
		}
	}
}

// LeavingBy returns whether the given source reports the target as leaving.
func (t *Target) LeavingBy(s LeavingSource) bool { return t.leavingBy.Load()&uint32(s) != 0 }

// Leaving returns whether any source reports the target as leaving.
func (t *Target) Leaving() bool { return t.leavingBy.Load() != 0 }

// Usable returns whether the target may get new requests at now.
func (t *Target) Usable(now time.Time) bool {
	return !t.Leaving() && !t.health.ejected(now)
}

// RecordFailure records a call that failed at now, which ejects the target unless it is ejected
// already.
func (t *Target) RecordFailure(now time.Time) { t.health.recordFailure(now) }

// RecordSuccess records a successful call, which ends the ejection and resets its backoff.
func (t *Target) RecordSuccess() { t.health.recordSuccess() }

// Failing returns whether calls have failed and none has succeeded since. When most of a pool is
// missing from the VM list, a target is dropped only if its calls fail as well.
func (t *Target) Failing() bool { return t.health.failures.Load() > 0 }
