package pkreplica

import (
	"math"
	"sync"
	"time"
)

const (
	// firstAvoid is how long a target is passed over after its first failure: a
	// retry takes some ten milliseconds, and one lost packet is no reason for more.
	firstAvoid = 200 * time.Millisecond
	// mostAvoid bounds the doubling with each failure in a row, so that a target
	// that is sound again is found within seconds.
	mostAvoid = 4 * time.Second
	// latencyWeight is the weight of a new sample of latency: ten calls make a view.
	latencyWeight = 0.2
	// loadFades is how fast a target's own word on its load loses weight; calls to
	// plain services take some ten milliseconds.
	loadFades = 300 * time.Millisecond
)

// Target is a replica together with what this entry has seen of it. Its Info does
// not change; a new entry in the list makes a new Target that shares what was
// seen.
type Target struct {
	Info
	*seen
}

// seen is what this entry has seen of a replica.
type seen struct {
	mu sync.Mutex
	// inFlight and tokens are this entry's requests and the memory that they will
	// hold, in tokens times layers.
	inFlight int
	tokens   float64
	// others is the same of the other entries, as they last said.
	others Load
	// reported is what the target last said of requests beyond ours.
	reported   float64
	reportedAt time.Time
	latency    time.Duration
	failures   int
	avoidUntil time.Time
	// goneAt is when the entry lapsed, goneForCertain that it is there and names no replica.
	goneAt         time.Time
	goneForCertain bool
	askedAt        time.Time
	// answeredAt is when it was last asked something that it answered.
	answeredAt time.Time
	deadUntil  time.Time
	goneUntil  time.Time
	leavingAt  time.Time
	// ended says that another start has come under the same id, restarted that this is one,
	// displaced that another process has its address.
	ended     bool
	restarted bool
	displaced bool
	// misplaced says that it is passed over until its entry says that it holds other layers.
	misplaced bool
	// readUntil is when this entry's prompts will have been read.
	readUntil time.Time
	// recent is tokens that began lately, fading from recentAt on.
	recent   float64
	recentAt time.Time
	// toldAfter is how long it takes until other entries know of a request.
	toldAfter time.Duration
}

// Load is what requests take of a target.
type Load struct {
	Requests int
	// Tokens is memory in tokens times layers.
	Tokens float64
}

// Begin counts a request that will hold tokens times layers from now on, and whose
// prompt takes a time to read. The other entries know of it after toldAfter.
func (t *Target) Begin(now time.Time, tokens float64, read, toldAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.toldAfter = toldAfter
	if t.readUntil.Before(now) {
		t.readUntil = now
	}
	t.readUntil = t.readUntil.Add(read)
	t.inFlight++
	t.tokens += tokens
	t.recent = t.faded(now) + tokens
	t.recentAt = now
}

func (t *Target) faded(now time.Time) float64 {
	if t.toldAfter <= 0 {
		return 0
	}
	age := max(now.Sub(t.recentAt), 0)
	return t.recent * math.Exp(-float64(age)/float64(t.toldAfter))
}

// Backlog returns how long prompts take to be read that all entries have probably
// sent already.
func (t *Target) Backlog(now time.Time, entries int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.readUntil.Sub(now), 0) * time.Duration(entries)
}

// Likely returns the memory that requests of all entries will hold, in tokens
// times layers. What this entry began since it last told the others, each of them
// has probably begun too: when an engine is lost, all look for another at the same
// moment, and one that took the streams of all entries stood still for two seconds.
func (t *Target) Likely(now time.Time, entries int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens + t.others.Tokens + t.faded(now)*float64(entries-1)
}

// Done ends what Begin counted.
func (t *Target) Done(tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.tokens -= tokens
}

// Own returns the load of this entry's requests.
func (t *Target) Own() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Load{Requests: t.inFlight, Tokens: t.tokens}
}

// SetOthers records the load of all other entries.
func (t *Target) SetOthers(l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others = l
}

// Reported records a target's own count of requests at now.
func (t *Target) Reported(now time.Time, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = float64(max(requests-t.inFlight, 0))
	t.reportedAt = now
}

// Succeeded records a sound answer after a time.
func (t *Target) Succeeded(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.avoidUntil = time.Time{}
	if t.latency == 0 {
		t.latency = took
	}
	t.latency += time.Duration(latencyWeight * float64(took-t.latency))
}

// Slow records a call that took at least so long without an answer.
func (t *Target) Slow(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took > t.latency {
		t.latency += time.Duration(latencyWeight * float64(took-t.latency))
	}
}

// Failed records a failure and returns until when the target is passed over.
func (t *Target) Failed(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	pause := min(firstAvoid<<min(t.failures, 8), mostAvoid)
	t.failures++
	if until := now.Add(pause); until.After(t.avoidUntil) {
		t.avoidUntil = until
	}
	return t.avoidUntil
}

// Avoid passes the target over until a time.
func (t *Target) Avoid(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.avoidUntil) {
		t.avoidUntil = until
	}
}

// Misplaced passes the target over until a time, or until its entry names other layers, as one
// that does not hold what its entry says.
func (t *Target) Misplaced(until time.Time) {
	t.Avoid(until)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.misplaced = true
}

// Ask says whether the target may be asked for a sign of life at now, at most once
// in a pause.
func (t *Target) Ask(now time.Time, pause time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.askedAt) < pause {
		return false
	}
	t.askedAt = now
	return true
}

// Answered notes that the target answered a question that was asked at a time.
func (t *Target) Answered(asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asked.After(t.answeredAt) {
		t.answeredAt = asked
	}
}

// AnsweredAt returns when the target was last asked something that it answered.
func (t *Target) AnsweredAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answeredAt
}

// Dead passes the target over until a time, as one that gives no sign of life.
func (t *Target) Dead(until time.Time) {
	t.Avoid(until)
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.deadUntil) {
		t.deadUntil = until
	}
}

// Gone passes the target over until a time, as one whose process is gone.
func (t *Target) Gone(until time.Time) {
	t.Dead(until)
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.goneUntil) {
		t.goneUntil = until
	}
}

// IsGone says whether the target's process is gone, as far as is known at now.
func (t *Target) IsGone(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended || t.displaced || now.Before(t.goneUntil)
}

// IsDead says whether the target gives no sign of life, as far as is known at now.
func (t *Target) IsDead(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended || t.displaced || now.Before(t.deadUntil)
}

// Avoided says whether the target is passed over at now.
func (t *Target) Avoided(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.avoidUntil)
}

// Hopeless says whether the target is passed over at now for more than a failure that may not
// come again: it is dead, or does not hold what its entry says.
func (t *Target) Hopeless(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended || t.displaced || now.Before(t.deadUntil) || (t.misplaced && now.Before(t.avoidUntil))
}

// wait returns an estimate of how long a call takes here: its place in line times
// what a call takes.
func (t *Target) wait(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	const unknown = 20 * time.Millisecond
	queue := float64(t.inFlight) + t.fresh(now)
	each := t.latency
	if each == 0 {
		each = unknown
	}
	slots := float64(max(t.Slots, 1))
	return time.Duration(float64(each) * (1 + queue/slots))
}

// fresh returns what is left of the last report's weight.
func (t *Target) fresh(now time.Time) float64 {
	age := now.Sub(t.reportedAt)
	if age >= loadFades {
		return 0
	}
	return t.reported * (1 - float64(age)/float64(loadFades))
}
