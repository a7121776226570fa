package pktarget

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

var start = time.Unix(1000, 0)

func list(ids ...string) []Listed {
	var out []Listed
	for _, id := range ids {
		out = append(out, Listed{Info: Info{ID: pkid.TargetID(id), Pool: "p", Addr: id}})
	}
	return out
}

// The platform's list comes back empty or short after a fault of its own. All
// targets are alive. If the entry dropped what is missing, every caller would
// be refused; so only what also fails calls may go when most of a pool is gone.
func TestApplyKeepsAPoolThatVanishes(t *testing.T) {
	cases := map[string]struct {
		next    []Listed
		failing []pkid.TargetID
		left    int
		kept    int
	}{
		"empty list":                      {nil, nil, 4, 4},
		"empty list, one fails calls too": {nil, []pkid.TargetID{"a"}, 3, 3},
		"empty list, all fail calls":      {nil, []pkid.TargetID{"a", "b", "c", "d"}, 0, 0},
		"one gone":                        {list("b", "c", "d"), nil, 3, 0},
		"half gone":                       {list("c", "d"), nil, 2, 0},
		"three of four gone":              {list("d"), nil, 4, 3},
		"replaced by new ones":            {list("e", "f", "g", "h"), nil, 4, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var table Table
			table.Apply(list("a", "b", "c", "d"))
			for _, id := range c.failing {
				one, _ := table.Find(id)
				one.Failed(start)
			}
			change := table.Apply(c.next)
			assert.Equal(t, len(table.All()), c.left)
			assert.Equal(t, change.Kept, c.kept)
		})
	}
}

// A report says that a target is idle. Before the next one, this entry and its
// peers send to it. The load must count them, or every entry goes on choosing
// the one target that looked idle.
func TestLoadCorrectsOldReports(t *testing.T) {
	one := NewTarget(Info{})
	one.Begin()
	one.Observe(Report{Active: 1, MaxBatch: 4, Step: 10 * time.Millisecond, PerSeq: time.Millisecond}, start)
	assert.Equal(t, one.Load(), int64(1))
	one.Begin()
	one.Begin()
	one.SetPeers(5)
	assert.Equal(t, one.Load(), int64(8))
	assert.Equal(t, one.Room(), int64(-4))
	assert.Equal(t, one.StepTime(), 18*time.Millisecond)
	one.Done()
	one.Done()
	one.SetPeers(0)
	assert.Equal(t, one.Load(), int64(1))
}

func TestEjectionDoublesAndHeals(t *testing.T) {
	one := NewTarget(Info{})
	one.Failed(start)
	for range 10 {
		one.Failed(start) // all streams of the target fail in one moment
	}
	assert.Assert(t, !one.Usable(start.Add(499*time.Millisecond)))
	assert.Assert(t, one.Usable(start.Add(500*time.Millisecond)))
	again := start.Add(time.Second)
	one.Failed(again)
	assert.Assert(t, !one.Usable(again.Add(999*time.Millisecond)))
	one.Succeeded()
	assert.Assert(t, one.Usable(again))
}

func TestLeavingNeedsOneWitness(t *testing.T) {
	one := NewTarget(Info{})
	one.Leave(WitnessSelf, true)
	one.Leave(WitnessList, true)
	one.Leave(WitnessList, false)
	assert.Assert(t, !one.Usable(start))
	one.Leave(WitnessSelf, false)
	assert.Assert(t, one.Usable(start))
}

func TestTableSeesMovedTarget(t *testing.T) {
	var table Table
	table.Apply(list("a"))
	before := table.Changes()
	moved := list("a")
	moved[0].Addr = "elsewhere"
	table.Apply(moved)
	one, _ := table.Find("a")
	assert.Equal(t, one.Info.Addr, "elsewhere")
	assert.Assert(t, table.Changes() > before)
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 4500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table
			var all []Listed
			for i := range n {
				all = append(all, Listed{Info: Info{ID: pkid.TargetID(fmt.Sprint(i)), Pool: "p"}})
			}
			for b.Loop() {
				table.Apply(all)
			}
		})
	}
}
