package pkrelay

const (
	// maxTaken bounds the entries that take a request and fail, maxPassedBack those that pass it back at once.
	maxTaken      = 3
	maxPassedBack = 8
)

// Attempts counts the entries that a request was passed on to. The zero value is ready to use.
type Attempts struct {
	taken, passedBack int
}

// Allowed reports whether the request may be passed on once more.
func (a *Attempts) Allowed() bool { return a.taken < maxTaken && a.passedBack < maxPassedBack }

// Record counts an entry that has passed the request back unsent, or has taken it.
func (a *Attempts) Record(passedBack bool) {
	if passedBack {
		a.passedBack++
	} else {
		a.taken++
	}
}

// Count returns the number of entries that the request was passed on to.
func (a *Attempts) Count() int { return a.taken + a.passedBack }
