package pkretry

import (
	"math"
	"sync"
	"time"

	"gonum.org/v1/gonum/floats"

	"peridotknot.example/pkrate"
)

// Limits are the configured limits on retries.
type Limits struct {
	// Ratio is the number of retries that each request in the window allows.
	Ratio float64
	// Slack is the number of additional retries per window for all entries together.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Share is this entry's part in the slack.
	Share pkrate.Share
	// Started is when this process began to count; zero if that is longer ago than a window.
	Started time.Time
	// SharesSince is from when on this entry may use its share of the slack; before that, the others may use it too.
	SharesSince time.Time
}

// Usage is what a budget counts in a window, and the number of retries that it allows there.
type Usage struct {
	Requests float64
	Retries  float64
	Allowed  float64
	// InFlight are those of the retries that have no response yet, Unconfirmed those that were given up without one more than a
	// window ago.
	InFlight    float64
	Unconfirmed float64
	// Inherited is set if Allowed is that of a start, since sends of an earlier process of this entry may still arrive.
	Inherited bool
}

// turnWindows is the number of windows in which each entry has its turn. A window then covers the
// turns of a twentieth of the entries more than one moment does.
const turnWindows = 20

// minTurnSlack is the slack from which entries take turns. With less, the number of entries that
// have their turn differs by chance by more than utilization leaves.
const minTurnSlack = 600

// hasTurn reports whether it is this entry's turn at now for a retry of which its share is less than
// one. Without turns, the entries of a fleet with more entries than slack would allow none at all.
func (l Limits) hasTurn(now time.Time, share float64) bool {
	period := turnWindows * l.Window
	if period <= 0 || l.Slack < minTurnSlack {
		return false
	}
	passed := float64(now.UnixNano()%int64(period)) / float64(period)
	_, place := math.Modf(l.Share.Place + passed)
	return place < share-1.0/turnWindows
}

const (
	// bucketCount is the number of buckets in a window.
	bucketCount = 10
	// keptBuckets includes the bucket before the window, whose retries count as well. Without it
	// the window is up to one bucket short, and two bursts almost a window apart could together
	// exceed the limit. Two such bursts of 69 entries made 899 retries in ten seconds where 822
	// were allowed.
	keptBuckets = bucketCount + 1
	// storedBuckets includes the requests of the window before each that begins in one of those.
	storedBuckets = keptBuckets + bucketCount
	// utilization is the share of the limit that is used. The remainder covers processes that have
	// just started, and requests and retries counted on different sides of a window boundary.
	utilization = 0.85
	// startUtilization is the share of the limit that a process may use in the first window after its
	// start, spread evenly over that window. Together with utilization it stays within the limit,
	// however often processes restart, although what their predecessors have spent is not known.
	startUtilization = 0.1
)

type bucket struct {
	number   int64
	requests float64
	retries  float64
}

// Budget counts the requests and retries of one service at one entry; the zero value is empty.
type Budget struct {
	mu sync.Mutex
	// began is when the first bucket began; buckets are counted on the monotonic clock. They are tenths of window.
	began   time.Time
	window  time.Duration
	buckets [storedBuckets]bucket
	// unsettled is the number of charges that are not settled.
	unsettled int
	pending   pending
	// inherited is what is known of sends of an earlier process.
	inherited inherited
}

// RecordRequest counts a request to the service.
func (b *Budget) RecordRequest(now time.Time, l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inherited.expire(now, l)
	b.bucket(now, l).requests++
}

// HasRetries reports whether the budget allows the given number of retries at now, without counting
// them.
func (b *Budget) HasRetries(now time.Time, l Limits, retries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, l, retries)
}

// retryWaitStep is the precision of RetryWait.
const retryWaitStep = 100 * time.Millisecond

// RetryWait returns how long from now it takes until the budget allows a retry if none is made meanwhile, and
// whether that is within the given time.
func (b *Budget) RetryWait(now time.Time, l Limits, within time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now, l)
	for wait := time.Duration(0); wait <= within; wait += retryWaitStep {
		at := now.Add(wait)
		if b.usageOf(at, l, b.number(at, l)).allows(at, l, 1) {
			return wait, true
		}
	}
	return 0, false
}

// Usage returns what the budget counts in the window that holds now and has the fewest retries left.
func (b *Budget) Usage(now time.Time, l Limits) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now, l)
}

func (b *Budget) allows(now time.Time, l Limits, n int) bool {
	return b.usage(now, l).allows(now, l, n)
}

func (u Usage) allows(now time.Time, l Limits, n int) bool {
	if u.Allowed < 1 && n == 1 {
		return u.Retries == 0 && l.hasTurn(now, u.Allowed)
	}
	return u.Retries+float64(n) <= u.Allowed
}

func (b *Budget) usage(now time.Time, l Limits) Usage {
	return b.usageOf(now, l, b.bucket(now, l).number)
}

// usageOf returns what the budget counts in the tightest of the windows that hold now, in the bucket of the given number.
// One that has begun later holds fewer retries, but may not hold all requests of the one that ends now either.
func (b *Budget) usageOf(now time.Time, l Limits, current int64) Usage {
	requests, retries := b.counts(current)
	inherited := b.inherited.mayArrive(now, l)
	latest := floats.Sum(requests[:bucketCount])
	tightest := Usage{Allowed: math.Inf(1)}
	inFlight, unconfirmed := float64(b.unsettled), b.unconfirmed(current)
	began, sent := 0.0, inFlight+unconfirmed
	for age := range keptBuckets {
		began += requests[age]
		sent += retries[age]
		before := floats.Sum(requests[age+1 : age+1+bucketCount])
		half := floats.Sum(requests[max(age+1-bucketCount/2, 0) : age+1+bucketCount/2])
		u := Usage{Requests: min(latest, max(began, before, half)), Retries: sent, InFlight: inFlight, Unconfirmed: unconfirmed, Inherited: inherited}
		u.Allowed = l.allowed(now, u.Requests, inherited)
		if u.left() < tightest.left() {
			tightest = u
		}
	}
	return tightest
}

func (u Usage) left() float64 { return u.Allowed - u.Retries }

// counts returns the requests and the retries by the age of their bucket when the one of the given number is current.
func (b *Budget) counts(current int64) (requests, retries [storedBuckets]float64) {
	for _, one := range b.buckets {
		if age := max(current-one.number, 0); age < storedBuckets {
			requests[age] += one.requests
			retries[age] += one.retries
		}
	}
	return requests, retries
}

// allowed returns the number of retries that this process may make in the window that ends at now
// and holds the given number of requests. While sends of an earlier process may arrive, it is that of a start.
func (l Limits) allowed(now time.Time, requests float64, inherited bool) float64 {
	slack := l.Share.Of(l.Slack)
	age := now.Sub(l.Started)
	if l.Started.IsZero() || (age >= l.Window && !inherited) {
		slackUtilization := utilization
		if now.Before(l.SharesSince) {
			slackUtilization = startUtilization
		}
		return utilization*l.Ratio*requests + slackUtilization*slack
	}
	return startUtilization * (l.Ratio*requests + slack*min(age.Seconds()/l.Window.Seconds(), 1))
}

// bucket returns the current bucket.
func (b *Budget) bucket(now time.Time, l Limits) *bucket {
	if b.began.IsZero() {
		b.began, b.window = now, l.Window
	}
	if b.window != l.Window {
		b.changeWindow(now, l.Window)
	}
	number := b.number(now, l)
	current := &b.buckets[number%storedBuckets]
	if current.number != number {
		*current = bucket{number: number}
	}
	return current
}

// changeWindow begins at now to count by another window. The retries of the present one count as if they were made now, its
// requests not at all: neither allows a retry that the bound does not.
func (b *Budget) changeWindow(now time.Time, window time.Duration) {
	current := b.number(now, Limits{Window: b.window})
	_, retries := b.counts(current)
	count := floats.Sum(retries[:keptBuckets])
	b.began, b.window, b.buckets = now, window, [storedBuckets]bucket{}
	b.buckets[1] = bucket{number: 1, retries: count}
	for target, sends := range b.pending {
		n := 0.0
		for number, one := range sends {
			if current-number < keptBuckets {
				b.buckets[1].retries -= one // counted with the pending ones
			}
			n += one
		}
		b.pending[target] = map[int64]float64{1: n}
		b.buckets[1].retries += n
	}
}

// number returns the number of the bucket at now; buckets are numbered from one, since a zero bucket is unused.
func (b *Budget) number(now time.Time, l Limits) int64 {
	return 1 + int64(max(now.Sub(b.began), 0)/max(l.Window/bucketCount, time.Millisecond))
}
