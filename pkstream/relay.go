package pkstream

import (
	"fmt"

	"peridotknot.example/pkid"
)

// Relay is the state of one answer; the zero value is an answer that has not begun.
type Relay struct {
	attempt pkid.Attempt
	next    pkid.TokenIndex
	ended   bool
	dropped int
}

// Action is the action to take for a token.
type Action uint8

// Actions for a token.
const (
	// Drop means that the token is late or repeated.
	Drop Action = iota
	// Deliver means that the token is the caller's next one.
	Deliver
	// Replace means that the live attempt is faulty and must be replaced.
	Replace
)

// Begin starts the next attempt and returns its number; tokens of earlier attempts are dropped from
// then on.
func (r *Relay) Begin() pkid.Attempt {
	r.attempt++
	return r.attempt
}

// Token records a token of an attempt and returns what to do with it.
func (r *Relay) Token(attempt pkid.Attempt, index pkid.TokenIndex) Action {
	if attempt != r.attempt || r.ended {
		r.dropped++
		return Drop
	}
	switch {
	case index == r.next:
		r.next++
		return Deliver
	case index < r.next:
		// A resumed engine may resend tokens that were already delivered.
		r.dropped++
		return Drop
	default:
		// This attempt cannot fill the gap; delivering the token would silently skip text.
		return Replace
	}
}

// End records the end marker of an attempt with the total number of tokens that the engine reports.
// An answer without it is incomplete.
func (r *Relay) End(attempt pkid.Attempt, total pkid.TokenIndex) error {
	if attempt != r.attempt || r.ended {
		return fmt.Errorf("end mark of attempt %d while attempt %d is live", attempt, r.attempt)
	}
	if total != r.next {
		return fmt.Errorf("end mark counts %d tokens, %d were delivered", total, r.next)
	}
	r.ended = true
	return nil
}

// Next returns the index of the next token to deliver.
func (r *Relay) Next() pkid.TokenIndex { return r.next }

// Ended reports whether the answer is complete.
func (r *Relay) Ended() bool { return r.ended }

// Dropped returns the number of late or repeated tokens dropped.
func (r *Relay) Dropped() int { return r.dropped }
