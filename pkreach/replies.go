package pkreach

// Replies are what came over connections to targets of a sample that were accepted or refused.
type Replies struct {
	// Answered and Refused count those that were answered, and those that were refused or reset; Missing those that were
	// accepted and not answered in time.
	Answered, Refused, Missing int
}

// MayBeLate reports whether the condition depends on missing replies that may be late resets: a link that is cut may accept
// connections and reset them once they are used. Links that were cut are so still if one was reset; others are whole unless
// some were, since busy targets do not answer either.
func (r Replies) MayBeLate(cutOff bool) bool {
	return r.Missing > 0 && r.Answered == 0 && cutOff == (r.Refused == 0)
}
