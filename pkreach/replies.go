package pkreach

// Replies are what came over connections to targets of a sample that were accepted or refused.
type Replies struct {
	// Answered and Refused count those that were answered, and those that were refused or reset; Missing those that were
	// accepted and not answered in time.
	Answered, Refused, Missing int
}

// MayBeLate reports whether the missing replies may be resets that are late: a link that is cut may accept connections and
// reset them once they are used. That nothing has answered shows only busy targets otherwise.
func (r Replies) MayBeLate(cutOff bool) bool {
	return r.Missing > 0 && r.Answered == 0 && (cutOff || r.Refused > 0)
}
