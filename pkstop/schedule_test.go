package pkstop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop that outlasts its grace period, ends before a longer one, or is cut short by a new one.
func TestSchedule(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, c := range []struct {
		grace, later        time.Duration
		wantAccept, wantEnd time.Duration
	}{
		{grace: 8 * time.Second, wantAccept: 3 * time.Second, wantEnd: 7300 * time.Millisecond},
		{grace: 2 * time.Second, wantAccept: 1300 * time.Millisecond, wantEnd: 1300 * time.Millisecond},
		{grace: 500 * time.Millisecond},
		{grace: 8 * time.Second, later: 16 * time.Second, wantAccept: 3 * time.Second, wantEnd: 15300 * time.Millisecond},
		{grace: 8 * time.Second, later: 2 * time.Second, wantAccept: 3 * time.Second, wantEnd: 7300 * time.Millisecond},
	} {
		s := Schedule{Began: began, Grace: c.grace}.Extend(c.later)
		assert.Equal(t, s.AcceptsUntil().Sub(began), c.wantAccept, "%+v", c)
		assert.Equal(t, s.EndsAt().Sub(began), c.wantEnd, "%+v", c)
	}
}
