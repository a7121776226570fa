package pkstop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against estimates that requests of another kind change, and that do not follow what requests take.
func TestDurations(t *testing.T) {
	var d Durations[string]
	assert.Equal(t, d.Of("call"), Estimate{})
	d.Record("call", time.Second)
	assert.Equal(t, d.Of("call"), Estimate{Mean: time.Second, Deviation: 500 * time.Millisecond})
	for range 50 {
		d.Record("call", time.Second)
	}
	got := d.Of("call")
	assert.Equal(t, got.Mean, time.Second)
	assert.Assert(t, got.Deviation < time.Millisecond, "%v", got)
	for range 25 {
		d.Record("call", 200*time.Millisecond)
		d.Record("call", 2*time.Second)
	}
	got = d.Of("call")
	assert.Assert(t, got.Mean > time.Second && got.Mean < 1300*time.Millisecond, "%v", got)
	assert.Assert(t, got.Mean+deviations*got.Deviation > 2*time.Second, "%v", got)
	assert.Equal(t, d.Of("stream"), Estimate{})
}

// Guards against requests that are sent though they cannot end within the grace period, and against those that are refused
// though they can.
func TestRequestsOfAStop(t *testing.T) {
	began := time.Unix(1000, 0)
	s := Schedule{Began: began, Grace: 8 * time.Second}
	for _, row := range []struct {
		after, mean, deviation time.Duration
		want                   bool
	}{
		{after: 0, want: true},
		{after: 2900 * time.Millisecond, want: true},
		{after: 3 * time.Second},
		{after: 0, mean: 7 * time.Second, deviation: time.Second, want: true},
		{after: 0, mean: 7100 * time.Millisecond},
		{after: 2900 * time.Millisecond, mean: 4 * time.Second, deviation: time.Second, want: true},
		{after: 3 * time.Second, mean: 4 * time.Second, deviation: 100 * time.Millisecond},
		{after: 3 * time.Second, mean: 4 * time.Second, deviation: 40 * time.Millisecond, want: true},
		{after: 5200 * time.Millisecond, mean: 2 * time.Second},
		{after: 7 * time.Second, mean: 20 * time.Millisecond, deviation: 10 * time.Millisecond, want: true},
		{after: 7100 * time.Millisecond, mean: 20 * time.Millisecond},
	} {
		assert.Equal(t, s.Allows(began.Add(row.after), Estimate{Mean: row.mean, Deviation: row.deviation}), row.want, "%+v", row)
	}
	assert.Assert(t, s.Extend(16*time.Second).Allows(began.Add(10*time.Second), Estimate{Mean: 2 * time.Second}))
	assert.Equal(t, Schedule{Began: began, Grace: 100 * time.Millisecond}.AnswersAt(), began)
}
