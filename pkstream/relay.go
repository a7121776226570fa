package pkstream

import (
	"fmt"

	"peridotknot.example/pkid"
)

// Relay is the state of one answer; the zero value is an answer not begun.
type Relay struct {
	attempt pkid.Attempt
	next    pkid.Index
	ended   bool
	dropped int
}

// Step says what to do with a token.
type Step uint8

// Steps for a token.
const (
	// Drop means that the token is late or repeated.
	Drop Step = iota
	// Deliver means that the token is the caller's next one.
	Deliver
	// Replace means that the live attempt is faulty and must be replaced.
	Replace
)

// Begin starts the next attempt and returns its number; tokens of earlier
// attempts are dropped from here on.
func (r *Relay) Begin() pkid.Attempt {
	r.attempt++
	return r.attempt
}

// Token takes a token from an attempt and says what to do with it.
func (r *Relay) Token(attempt pkid.Attempt, index pkid.Index) Step {
	if attempt != r.attempt || r.ended {
		r.dropped++
		return Drop
	}
	switch {
	case index == r.next:
		r.next++
		return Deliver
	case index < r.next:
		// A resumed engine may send again what it was told is delivered.
		r.dropped++
		return Drop
	default:
		// A gap cannot be filled by this attempt: the caller would see a
		// sentence with words missing, and nothing later could tell.
		return Replace
	}
}

// End takes the end mark of an attempt, with the number of tokens that the
// engine says the whole answer has. An answer is whole only with this mark.
func (r *Relay) End(attempt pkid.Attempt, total pkid.Index) error {
	if attempt != r.attempt || r.ended {
		return fmt.Errorf("end mark of attempt %d while attempt %d is live", attempt, r.attempt)
	}
	if total != r.next {
		return fmt.Errorf("end mark counts %d tokens, %d were delivered", total, r.next)
	}
	r.ended = true
	return nil
}

// Next returns the index that the caller needs next.
func (r *Relay) Next() pkid.Index { return r.next }

// Ended says whether the answer is whole.
func (r *Relay) Ended() bool { return r.ended }

// Dropped returns how many late or repeated tokens were dropped.
func (r *Relay) Dropped() int { return r.dropped }
