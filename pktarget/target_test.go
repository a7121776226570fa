package pktarget

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var start = time.Unix(1000, 0)

func list(ids ...string) []ListedTarget {
	var out []ListedTarget
	for _, id := range ids {
		out = append(out, ListedTarget{Info: Info{ID: pkid.TargetID(id), Pool: "p", Addr: id}})
	}
	return out
}

// Guards against dropping live targets when a platform fault makes the VM list empty or short: if
// most of a pool is missing, only targets whose calls fail may be dropped.
func TestApplyKeepsPoolMissingFromList(t *testing.T) {
	cases := map[string]struct {
		next    []ListedTarget
		failing []pkid.TargetID
		left    int
		kept    int
	}{
		"empty list":                    {nil, nil, 4, 4},
		"empty list, calls to one fail": {nil, []pkid.TargetID{"a"}, 3, 3},
		"empty list, calls to all fail": {nil, []pkid.TargetID{"a", "b", "c", "d"}, 0, 0},
		"one missing":                   {list("b", "c", "d"), nil, 3, 0},
		"half missing":                  {list("c", "d"), nil, 2, 0},
		"three of four missing":         {list("d"), nil, 4, 3},
		"replaced by others":            {list("e", "f", "g", "h"), nil, 4, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var table Table
			table.Apply(list("a", "b", "c", "d"))
			for _, id := range c.failing {
				target, _ := table.Find(id)
				target.RecordFailure(start)
			}
			change := table.Apply(c.next)
			assert.Equal(t, len(table.All()), c.left)
			assert.Equal(t, change.Kept, c.kept)
		})
	}
}

// Guards against overloading a target that was idle in its last report: the load must include the
// requests that this entry and its peers have started since.
func TestLoadCorrectsStaleReports(t *testing.T) {
	target := NewTarget(Info{})
	target.Begin()
	target.Observe(Report{Active: 1, MaxBatch: 4, Step: 10 * time.Millisecond, PerSeq: time.Millisecond}, start)
	assert.Equal(t, target.Load(), int64(1))
	target.Begin()
	target.Begin()
	target.SetPeerRequests(5)
	assert.Equal(t, target.Load(), int64(8))
	assert.Equal(t, target.FreeSlots(), int64(-4))
	assert.Equal(t, target.StepTime(), 18*time.Millisecond)
	target.Done()
	target.Done()
	target.SetPeerRequests(0)
	assert.Equal(t, target.Load(), int64(1))
}

// Guards against a target ejected for seconds because all its streams failed at once.
func TestEjectionDoublesAndResets(t *testing.T) {
	target := NewTarget(Info{})
	target.RecordFailure(start)
	for range 10 {
		target.RecordFailure(start) // all streams of the target fail at once
	}
	assert.Assert(t, !target.Usable(start.Add(499*time.Millisecond)))
	assert.Assert(t, target.Usable(start.Add(500*time.Millisecond)))
	again := start.Add(time.Second)
	target.RecordFailure(again)
	assert.Assert(t, !target.Usable(again.Add(999*time.Millisecond)))
	target.RecordSuccess()
	assert.Assert(t, target.Usable(again))
}

// Guards against requests to a leaving target because another source does not list it as leaving.
func TestOneSourceMarksTargetAsLeaving(t *testing.T) {
	target := NewTarget(Info{})
	target.SetLeaving(SourceTarget, true)
	target.SetLeaving(SourceVMList, true)
	target.SetLeaving(SourceVMList, false)
	assert.Assert(t, !target.Usable(start))
	target.SetLeaving(SourceTarget, false)
	assert.Assert(t, target.Usable(start))
}

// Guards against requests and route plans that keep the former address of a target.
func TestApplyReplacesMovedTarget(t *testing.T) {
	var table Table
	table.Apply(list("a"))
	before := table.Generation()
	moved := list("a")
	moved[0].Addr = "elsewhere"
	table.Apply(moved)
	target, _ := table.Find("a")
	assert.Equal(t, target.Info.Addr, "elsewhere")
	assert.Assert(t, table.Generation() > before)
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 4500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table
			var all []ListedTarget
			for i := range n {
				all = append(all, ListedTarget{Info: Info{ID: pkid.TargetID(fmt.Sprint(i)), Pool: "p"}})
			}
			for b.Loop() {
				table.Apply(all)
			}
		})
	}
}
