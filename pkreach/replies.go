package pkreach

// Reply is what came over a connection to a target.
type Reply uint8

// Replies of a target.
const (
	// Answered means that the target was reached and answered.
	Answered Reply = iota
	// Unanswered means that a connection was accepted and not answered in time.
	Unanswered
	// Refused means that a connection was refused or reset.
	Refused
	// Silent means that a connection attempt had no answer.
	Silent
	replyKinds
)

// Replies are those of a sample of targets. The zero value has none.
type Replies struct {
	// CutOff is set if the links were cut off before.
	CutOff bool
	counts [replyKinds]int
}

// Add counts the reply of a target.
func (r *Replies) Add(one Reply) { r.counts[one]++ }

// Sample returns what the replies so far show. Where links that are cut reset some connections, the resets of those without
// an answer are taken to be late.
func (r *Replies) Sample() Sample {
	s := Sample{Reached: r.counts[Answered], Failed: r.counts[Refused] + r.counts[Silent], Silent: r.counts[Silent]}
	if r.CutOff && r.counts[Refused] > 0 {
		s.Failed += r.counts[Unanswered]
	} else {
		s.Reached += r.counts[Unanswered]
	}
	s.Answered = s.Reached
	return s
}

// MayBeLate reports whether the condition depends on missing replies that may be late resets: a link that is cut may accept
// connections and reset them once they are used. Links that were cut are so still if one was reset; others are whole unless
// some were, since busy targets do not answer either.
func (r *Replies) MayBeLate() bool {
	return r.counts[Unanswered] > 0 && r.counts[Answered] == 0 && r.CutOff == (r.counts[Refused] == 0)
}
