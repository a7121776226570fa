package pkverdict

// Sends counts the failed sends of one request. The zero value has none.
type Sends struct {
	runs, delivered int
	// unanswered counts those of the runs that ended before any response, cutOff those of which it is known that the links of
	// the sender were cut.
	unanswered, cutOff int
}

// NewSends returns the sends of a request with runs that another entry has counted.
func NewSends(runs int) Sends { return Sends{runs: runs} }

// Record counts a failed send.
func (s *Sends) Record(e *Error) {
	if e.Verdict != NotRun {
		s.runs++
		if e.Unanswered {
			s.unanswered++
		}
	}
	if e.Reason == ReasonCutOff {
		s.cutOff++
	}
	if e.MayHaveArrived() {
		s.delivered++
	}
}

// RecordCut records that the links of the sender are cut, which explains why sends had no response.
func (s *Sends) RecordCut() {
	s.cutOff += s.unanswered
	s.unanswered = 0
}

// Runs returns the number of sends whose targets may have run the request.
func (s *Sends) Runs() int { return s.runs }

// Delivered returns the number of sends that may have reached a target.
func (s *Sends) Delivered() int { return s.delivered }

// Attempts returns the number of runs that count towards the limit of attempts. A target that was cut off from the sender
// before it answered does not.
func (s *Sends) Attempts() int { return s.runs - s.cutOff }

// HasUnanswered reports whether links that are cut could explain some of the attempts.
func (s *Sends) HasUnanswered() bool { return s.unanswered > 0 }
