package pkedge

import (
	"context"
	"slices"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// Guards against calls that are refused, though nothing has reached a target, because one packet of a connection
// attempt to each was lost; and against calls that go on trying targets which refuse or never answer.
func TestTargetIsTriedAgainOnceIfItsConnectionHadNoAnswer(t *testing.T) {
	unreachable := func(err error) error {
		return &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonUnreachable, Err: err}
	}
	for _, row := range []struct {
		errs  []error
		tried bool
	}{
		{[]error{unreachable(context.DeadlineExceeded)}, false},
		{[]error{unreachable(context.DeadlineExceeded), unreachable(context.DeadlineExceeded)}, true},
		{[]error{unreachable(syscall.ECONNREFUSED)}, true},
		{[]error{lostSend(context.DeadlineExceeded)}, true},
	} {
		d, _ := poolDaemon(engine("a", "x", 0, 80))
		d.metrics = newMetrics(d)
		c := newCall(d, 1)
		for _, err := range row.errs {
			c.recordSendFailure(d.target(t, "a"), err)
		}
		assert.Equal(t, slices.Contains(c.tried, pkid.TargetID("a")), row.tried, "%v", row.errs)
	}
}
