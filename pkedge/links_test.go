package pkedge

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkowner"
	"peridotknot.example/pkreach"
)

// pausedEngines are probed by a process that is stopped while it waits for some of them.
type pausedEngines struct {
	pkowner.Engines
	// answered is how many probes have their answer before the process stops, and silent is set if none of the
	// others ever gets one.
	answered int64
	silent   bool
	stop     func()
	resumed  chan struct{}
	probes   atomic.Int64
}

func (e *pausedEngines) Connect(ctx context.Context, _ string) error {
	switch n := e.probes.Add(1); {
	case n <= e.answered:
		return nil
	case n < pkreach.SampleSize:
		<-e.resumed
	case n == pkreach.SampleSize:
		e.stop()
		close(e.resumed)
	}
	if e.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	// The timeout is handled first, as is possible where an answer has arrived meanwhile.
	if deadline, _ := ctx.Deadline(); time.Now().After(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

func (e *pausedEngines) Report(context.Context, string) (pkowner.Report, error) {
	return pkowner.Report{AcceptedOrders: 1}, nil
}

// pausedDaemon returns a daemon with a pool of twelve engines whose process stops during the first check of its links,
// for more than their timeout and less than twice that.
func pausedDaemon(t *testing.T, e *pausedEngines) *Daemon {
	t.Helper()
	d, _ := twelveEngines(t)
	e.resumed = make(chan struct{})
	e.stop = func() {
		pid, pause := os.Getpid(), (linkTimeout + linkTimeout/10).Seconds()
		script := fmt.Sprintf("kill -STOP %d; sleep %.3f; kill -CONT %d", pid, pause, pid)
		assert.Check(t, exec.Command("sh", "-c", script).Run())
	}
	d.Engines = e
	return d
}

// Guards against an entry that takes its links for cut off, or for lossy, since its VM has stalled while it checked
// them: it would pass requests on, and pass back those of the others. The test is not parallel, as it stops all of its process.
func TestStalledCheckShowsNoImpairedLinks(t *testing.T) {
	for name, answered := range map[string]int64{"before all answers": 0, "after half of the answers": pkreach.SampleSize / 2} {
		t.Run(name, func(t *testing.T) {
			d := pausedDaemon(t, &pausedEngines{answered: answered})
			c, _ := d.linkCondition(t.Context(), "models", "")
			assert.Equal(t, c, pkreach.Whole)
			assert.Equal(t, len(d.links.ImpairedServices()), 0)
		})
	}
}

// Guards against an entry that is cut off and does not find out, as its VM has stalled while it checked its links.
func TestCutOffEntryWhoseCheckHasStalledFindsOut(t *testing.T) {
	d := pausedDaemon(t, &pausedEngines{silent: true})
	var c pkreach.Condition
	for end := time.Now().Add(20 * time.Second); c != pkreach.CutOff && time.Now().Before(end); {
		c, _ = d.linkCondition(t.Context(), "models", "")
	}
	assert.Equal(t, c, pkreach.CutOff)
}

// unansweringEngines accept connections and answer nothing but for resets of some.
type unansweringEngines struct {
	pkowner.Engines
	// resets is how many connections are reset in time.
	resets int64
	asked  atomic.Int64
}

func (*unansweringEngines) Connect(context.Context, string) error { return nil }

func (e *unansweringEngines) Report(ctx context.Context, _ string) (pkowner.Report, error) {
	if e.asked.Add(1) <= e.resets {
		return pkowner.Report{}, syscall.ECONNRESET
	}
	<-ctx.Done()
	return pkowner.Report{}, ctx.Err()
}

// Guards against an entry that is cut off and takes its links for whole since most resets of its connections come late, as
// where it is short of processor time; and against taking busy engines for a cut.
func TestUnansweredProbesDoNotEndACut(t *testing.T) {
	for name, row := range map[string]struct {
		cutOff bool
		resets int64
		want   pkreach.Condition
	}{
		"busy engines":                   {want: pkreach.Whole},
		"a reset beside busy engines":    {resets: 1, want: pkreach.Whole},
		"a cut with late resets":         {cutOff: true, resets: 1, want: pkreach.CutOff},
		"busy engines after a cut's end": {cutOff: true, want: pkreach.Whole},
		"a cut with all resets in time":  {cutOff: true, resets: pkreach.SampleSize, want: pkreach.CutOff},
		"links that are cut just now":    {resets: pkreach.SampleSize, want: pkreach.CutOff},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := twelveEngines(t)
			d.Engines = &unansweringEngines{resets: row.resets}
			if row.cutOff {
				d.links.Record(time.Now(), "models", pkreach.Sample{Failed: pkreach.SampleSize})
			}
			assert.NilError(t, d.checkLinks(t.Context(), "models", ""))
			assert.Equal(t, d.links.Condition("models"), row.want)
		})
	}
}
