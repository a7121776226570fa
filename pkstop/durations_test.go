package pkstop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against estimates below what requests take, of one kind by those of another, and without a sample.
func TestDurations(t *testing.T) {
	var d Durations[string]
	_, known := d.Expected("call")
	assert.Assert(t, !known)
	d.Record("call", time.Second)
	got, known := d.Expected("call")
	assert.Assert(t, known)
	assert.Equal(t, got, 2*time.Second)
	for range 50 {
		d.Record("call", time.Second)
	}
	got, _ = d.Expected("call")
	assert.Assert(t, got >= time.Second && got < 1100*time.Millisecond, "%v", got)
	for range 25 {
		d.Record("call", 200*time.Millisecond)
		d.Record("call", 2*time.Second)
	}
	got, _ = d.Expected("call")
	assert.Assert(t, got > 2*time.Second, "%v", got)
	_, known = d.Expected("stream")
	assert.Assert(t, !known)
}

// Guards against requests that are sent though they cannot end within the grace period, and against those that are refused
// though they can.
func TestRequestsOfAStop(t *testing.T) {
	began := time.Unix(1000, 0)
	s := Schedule{Began: began, Grace: 8 * time.Second}
	for _, row := range []struct {
		after, duration time.Duration
		known, want     bool
	}{
		{after: 0, want: true},
		{after: 2900 * time.Millisecond, want: true},
		{after: 3 * time.Second},
		{after: 0, duration: 7 * time.Second, known: true, want: true},
		{after: 0, duration: 7100 * time.Millisecond, known: true},
		{after: 5 * time.Second, duration: 2 * time.Second, known: true, want: true},
		{after: 5200 * time.Millisecond, duration: 2 * time.Second, known: true},
		{after: 7 * time.Second, duration: 20 * time.Millisecond, known: true, want: true},
		{after: 7100 * time.Millisecond, known: true},
	} {
		assert.Equal(t, s.Allows(began.Add(row.after), row.duration, row.known), row.want, "%+v", row)
	}
	assert.Assert(t, s.Extend(16*time.Second).Allows(began.Add(10*time.Second), 2*time.Second, true))
	assert.Equal(t, Schedule{Began: began, Grace: 100 * time.Millisecond}.AnswersAt(), began)
}
