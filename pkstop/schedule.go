package pkstop

import "time"

const (
	// acceptTime is how long a stopping daemon accepts connections: the load balancer removes it after two failed
	// readiness checks a second apart.
	acceptTime = 3 * time.Second
	// exitMargin is the part of the grace period that is left for the process to exit by itself.
	exitMargin = 700 * time.Millisecond
	// answerMargin is the time before the end in which requests without an answer are answered.
	answerMargin = 200 * time.Millisecond
	// deviations is how many mean deviations above the mean most requests end by.
	deviations = 2
)

// Schedule is the course of one stop.
type Schedule struct {
	// Began is when the stop began.
	Began time.Time
	// Grace is the time from Began after which the platform kills the process.
	Grace time.Duration
}

// Extend returns the schedule with a grace period that has changed during the stop. A shorter one does not apply, since
// requests were accepted for the one in force when the stop began.
func (s Schedule) Extend(grace time.Duration) Schedule {
	s.Grace = max(s.Grace, grace)
	return s
}

// AcceptsUntil returns when the daemon closes its listener and idle connections.
func (s Schedule) AcceptsUntil() time.Time {
	return s.Began.Add(min(acceptTime, s.serveTime()))
}

// AnswersAt returns when requests that have no answer yet are given up and answered.
func (s Schedule) AnswersAt() time.Time { return s.Began.Add(max(s.serveTime()-answerMargin, 0)) }

// Allows reports whether a request that takes e may be sent to a target at now. Until AcceptsUntil the load balancer still
// sends requests here, and they need only end before AnswersAt if they take as long as the mean. Later ones must also if they
// take longer than most, and may not be sent if nothing is known of their kind.
func (s Schedule) Allows(now time.Time, e Estimate) bool {
	if now.Before(s.AcceptsUntil()) {
		return now.Add(e.Mean).Before(s.AnswersAt())
	}
	return e != Estimate{} && now.Add(e.Mean+deviations*e.Deviation).Before(s.AnswersAt())
}

// EndsAt returns when requests still in progress are broken off.
func (s Schedule) EndsAt() time.Time { return s.Began.Add(s.serveTime()) }

func (s Schedule) serveTime() time.Duration { return max(s.Grace-exitMargin, 0) }
