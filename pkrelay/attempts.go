package pkrelay

import "time"

const (
	// maxTaken bounds the entries that take a request and fail, maxPassedBack those that pass it back at once.
	maxTaken      = 3
	maxPassedBack = 16
	// maxUnconfirmed bounds the entries that pass it back before only those are asked whose links a hub has reported as
	// whole: where that many are cut off, most others are as well.
	maxUnconfirmed = 4
)

// Attempts counts the entries that a request was passed on to. The zero value is ready to use.
type Attempts struct {
	taken, passedBack int
	passedBackAt      time.Time
}

// Allowed reports whether the request may be passed on once more.
func (a *Attempts) Allowed() bool { return a.taken < maxTaken && a.passedBack < maxPassedBack }

// NeedsConfirmed reports whether only confirmed entries are worth asking.
func (a *Attempts) NeedsConfirmed() bool { return a.passedBack >= maxUnconfirmed }

// Record counts an entry that has passed the request back unsent by now, or has taken it.
func (a *Attempts) Record(now time.Time, passedBack bool) {
	if !passedBack {
		a.taken++
		return
	}
	a.passedBack++
	a.passedBackAt = now
}

// PassedBackAt returns when an entry last passed the request back: reports from before that are out of date. It is zero if
// none has.
func (a *Attempts) PassedBackAt() time.Time { return a.passedBackAt }

// Count returns the number of entries that the request was passed on to.
func (a *Attempts) Count() int { return a.taken + a.passedBack }
