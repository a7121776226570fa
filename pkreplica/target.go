package pkreplica

import (
	"math"
	"sync"
	"time"
)

const (
	// initialBackoff is how long a target is avoided after its first failure. A retry takes some
	// ten milliseconds, and one lost packet is no reason for more.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff bounds the exponential backoff, so that a recovered target is used again within
	// seconds.
	maxBackoff = 4 * time.Second
	// latencyWeight is the weight of a new sample in the moving average of the latency. Ten calls
	// make up most of it.
	latencyWeight = 0.2
	// reportTTL is how long a target's own load report counts, with decreasing weight. Calls to
	// plain services take some ten milliseconds.
	reportTTL = 300 * time.Millisecond
)

// Target is a replica together with the state that this entry has observed. Its Info does not
// change; a changed record makes a new Target that shares the state.
type Target struct {
	Info
	*state
}

// state is what this entry has observed of a replica.
type state struct {
	mu sync.Mutex
	// inFlight and tokens are this entry's requests and the memory they will hold, in tokens times
	// layers.
	inFlight int
	tokens   float64
	// peerLoad is the load of the other entries as they last reported it.
	peerLoad Load
	// reported is the number of requests beyond this entry's own that the target last reported.
	reported   float64
	reportedAt time.Time
	latency    time.Duration
	failures   int
	// backoffUntil is until when the target is avoided for its failures.
	backoffUntil time.Time
	// avoidUntil is until when it is avoided for another reason, last given at avoidedAt.
	avoidUntil time.Time
	avoidedAt  time.Time
	// restUntil is until when the target has asked this entry for no requests.
	restUntil time.Time
	// deletedAt is when the record was deleted; recordInvalid is set if it exists but is unusable.
	deletedAt     time.Time
	recordInvalid bool
	probedAt      time.Time
	// answeredProbeAt is when the last answered probe was sent.
	answeredProbeAt time.Time
	deadUntil       time.Time
	goneUntil       time.Time
	leavingAt       time.Time
	// announcedLeaving is set once a response has announced the leaving of the target.
	announcedLeaving bool
	// ended is set if a later start is known under the same id, restarted if this start followed
	// another, displaced if a later process has the address.
	ended     bool
	restarted bool
	displaced bool
	// staleRecord is set while the target is avoided until its record lists other layers.
	staleRecord bool
	// prefillUntil is when the target will have prefilled this entry's prompts.
	prefillUntil time.Time
	// recent is the memory of requests that began recently, decaying exponentially from recentAt.
	recent   float64
	recentAt time.Time
	// propagationDelay is the delay until other entries learn of a request.
	propagationDelay time.Duration
}

// Load is the load that requests place on a target.
type Load struct {
	Requests int
	// Tokens is the memory in tokens times layers.
	Tokens float64
}

// Begin counts a request that will hold tokens (tokens times layers) and whose prompt takes prefill
// to process. propagationDelay is the delay until the other entries learn of it.
func (t *Target) Begin(now time.Time, tokens float64, prefill, propagationDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.propagationDelay = propagationDelay
	if t.prefillUntil.Before(now) {
		t.prefillUntil = now
	}
	t.prefillUntil = t.prefillUntil.Add(prefill)
	t.inFlight++
	t.tokens += tokens
	t.recent = t.decayedRecent(now) + tokens
	t.recentAt = now
}

func (t *Target) decayedRecent(now time.Time) float64 {
	if t.propagationDelay <= 0 {
		return 0
	}
	age := max(now.Sub(t.recentAt), 0)
	return t.recent * math.Exp(-float64(age)/float64(t.propagationDelay))
}

// Backlog estimates how long the target needs to prefill the prompts that all entries have sent, which is
// senders times what this one has sent.
func (t *Target) Backlog(now time.Time, senders float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(max(t.prefillUntil.Sub(now), 0)) * senders)
}

// ExpectedMemory estimates the memory that requests of all entries will hold, in tokens times
// layers. It assumes that all have begun senders times as much as this one since their last exchange:
// when an engine fails, all entries fail over at the same moment and could overload a single
// target.
func (t *Target) ExpectedMemory(now time.Time, senders float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens + t.peerLoad.Tokens + t.decayedRecent(now)*(senders-1)
}

// RecentMemory returns the memory that this entry's requests will hold which the other entries do not know of
// yet, in tokens times layers.
func (t *Target) RecentMemory(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(t.decayedRecent(now), t.tokens)
}

// PeerLoad returns the load of all other entries.
func (t *Target) PeerLoad() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerLoad
}

// Done ends a request counted by Begin.
func (t *Target) Done(tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.tokens -= tokens
}

// OwnLoad returns the load of this entry's requests.
func (t *Target) OwnLoad() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Load{Requests: t.inFlight, Tokens: t.tokens}
}

// SetPeerLoad sets the load of all other entries.
func (t *Target) SetPeerLoad(l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerLoad = l
}

// RecordReport records the number of requests that the target itself reported at now.
func (t *Target) RecordReport(now time.Time, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = float64(max(requests-t.inFlight, 0))
	t.reportedAt = now
}

// RecordSuccess records a successful call that was sent at sentAt, and its latency. It ends an
// avoidance for failures, and one for another reason that was given before the call was sent.
func (t *Target) RecordSuccess(sentAt time.Time, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.backoffUntil = time.Time{}
	if sentAt.After(t.avoidedAt) {
		t.avoidUntil = time.Time{}
	}
	if t.latency == 0 {
		t.latency = took
	}
	t.latency += time.Duration(latencyWeight * float64(took-t.latency))
}

// RecordSlow records a call that has had no reply for at least took.
func (t *Target) RecordSlow(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took > t.latency {
		t.latency += time.Duration(latencyWeight * float64(took-t.latency))
	}
}

// RecordFailure records a failure and returns until when the target is avoided.
func (t *Target) RecordFailure(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	backoff := min(initialBackoff<<min(t.failures, 8), maxBackoff)
	t.failures++
	if until := now.Add(backoff); until.After(t.backoffUntil) {
		t.backoffUntil = until
	}
	return t.avoidedUntilLocked()
}

// Avoid excludes the target from selection from now until a time.
func (t *Target) Avoid(now, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidedAt = now
	if until.After(t.avoidUntil) {
		t.avoidUntil = until
	}
}

// MarkAnnouncedLeaving records that a response received at now announces the leaving of the target, and
// reports whether that is new. A target that leaves does not come back under this start.
func (t *Target) MarkAnnouncedLeaving(now time.Time) bool {
	t.markLeaving(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.announcedLeaving
	t.announcedLeaving = true
	return !before
}

// AnnouncedLeaving reports whether a response has announced the leaving of the target.
func (t *Target) AnnouncedLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announcedLeaving
}

// Rest records that the target has asked this entry for no requests until a time.
func (t *Target) Rest(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.restUntil) {
		t.restUntil = until
	}
}

// RestsFor returns how long from now the target takes no requests of this entry.
func (t *Target) RestsFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.restUntil.Sub(now), 0)
}

// MarkStaleRecord avoids the target from now until a time, or until its record lists other layers, because
// it does not hold the layers that its record lists.
func (t *Target) MarkStaleRecord(now, until time.Time) {
	t.Avoid(now, until)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.staleRecord = true
}

// AllowProbe reports whether the target may be probed for liveness at now, at most once per
// interval.
func (t *Target) AllowProbe(now time.Time, interval time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.probedAt) < interval {
		return false
	}
	t.probedAt = now
	return true
}

// ProbeAnswered records that the target answered a probe sent at sentAt.
func (t *Target) ProbeAnswered(sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt.After(t.answeredProbeAt) {
		t.answeredProbeAt = sentAt
	}
}

// LastAnsweredProbe returns when the last answered probe was sent.
func (t *Target) LastAnsweredProbe() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answeredProbeAt
}

// MarkDead avoids the target from now until a time because it failed a liveness probe.
func (t *Target) MarkDead(now, until time.Time) {
	t.Avoid(now, until)
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.deadUntil) {
		t.deadUntil = until
	}
}

// ForgetSilence uses the target again at now if it is avoided for having been silent, or for failures, which a
// fault of this entry's links explains.
func (t *Target) ForgetSilence(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil, t.failures = time.Time{}, 0
	t.endSilenceLocked(now)
}

// EndSilence uses the target again at now if it is avoided for having been silent, since it has answered.
func (t *Target) EndSilence(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endSilenceLocked(now)
}

// endSilenceLocked ends the mark of a silent target; the caller holds the lock.
func (t *Target) endSilenceLocked(now time.Time) {
	if now.Before(t.goneUntil) || !now.Before(t.deadUntil) {
		return
	}
	if !t.avoidUntil.After(t.deadUntil) {
		t.avoidUntil = time.Time{}
	}
	t.deadUntil = time.Time{}
}

// IsSilent reports whether the target is considered dead at now for having been silent only.
func (t *Target) IsSilent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && !t.displaced && now.Before(t.deadUntil) && !now.Before(t.goneUntil)
}

// MarkGone avoids the target from now until a time because its process has ended.
func (t *Target) MarkGone(now, until time.Time) {
	t.MarkDead(now, until)
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.goneUntil) {
		t.goneUntil = until
	}
}

// IsGone reports whether the target's process is known at now to have ended.
func (t *Target) IsGone(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended || t.displaced || now.Before(t.goneUntil)
}

// IsDead reports whether the target is considered dead at now.
func (t *Target) IsDead(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended || t.displaced || now.Before(t.deadUntil)
}

// Avoided reports whether the target is excluded from selection at now.
func (t *Target) Avoided(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.avoidedUntilLocked())
}

// avoidedUntilLocked returns until when the target is avoided; the caller holds the lock.
func (t *Target) avoidedUntilLocked() time.Time {
	if t.backoffUntil.After(t.avoidUntil) {
		return t.backoffUntil
	}
	return t.avoidUntil
}

// Excluded reports whether the target is avoided at now for more than a transient failure: it is
// dead, or does not hold the layers that its record lists.
func (t *Target) Excluded(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended || t.displaced || now.Before(t.deadUntil) || (t.staleRecord && now.Before(t.avoidUntil))
}

// expectedWait estimates how long a call takes: the mean latency scaled by the load per slot.
func (t *Target) expectedWait(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	const defaultLatency = 20 * time.Millisecond
	queue := float64(t.inFlight) + t.decayedReport(now)
	latency := t.latency
	if latency == 0 {
		latency = defaultLatency
	}
	slots := float64(max(t.Slots, 1))
	return time.Duration(float64(latency) * (1 + queue/slots))
}

// decayedReport returns the last reported load weighted by its age.
func (t *Target) decayedReport(now time.Time) float64 {
	age := now.Sub(t.reportedAt)
	if age >= reportTTL {
		return 0
	}
	return t.reported * (1 - float64(age)/float64(reportTTL))
}
