package pkshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
)

// Guards against demand that a late message brings back after it has ended: one that was overtaken on
// a replaced connection, or one of a process that has been replaced.
func TestDemandOfAnOldMessageIsIgnored(t *testing.T) {
	waiting := []Demand{{Service: "chat", Requests: 3, Tokens: 300}}
	message := func(run, sequence uint64, demands []Demand) Message {
		return Message{From: "b", Run: run, Sequence: sequence, Demands: demands}
	}
	var table Table
	assert.Assert(t, table.Apply(start, message(7, 5, nil)))
	assert.Assert(t, !table.Apply(start, message(7, 4, waiting)), "lower sequence")
	assert.Equal(t, len(table.Demands(start, "chat")), 0)
	assert.Assert(t, table.Apply(start, message(3, 1, nil)), "the sender has restarted")
	assert.Assert(t, !table.Apply(start, message(7, 6, waiting)), "earlier run")
	assert.Equal(t, len(table.Demands(start, "chat")), 0)
	assert.Assert(t, table.Apply(start, message(3, 2, waiting)))
	assert.DeepEqual(t, table.Demands(start, "chat"), waiting)
	// A run that is still heard from when the later one has fallen silent counts again.
	assert.Assert(t, table.Apply(start.Add(staleAfter), message(7, 7, nil)))
}

// Guards against a restart of a sender whose requests have broken: what waited at its earlier run must
// not be counted beside what waits now.
func TestRestartedEntryReplacesItsDemand(t *testing.T) {
	var table Table
	table.Apply(start, Message{From: "b", Run: 1, Sequence: 9, Demands: []Demand{{Service: "chat", Priority: 1, Requests: 9, Tokens: 900}}})
	now := []Demand{{Service: "chat", Requests: 1, Tokens: 100}}
	table.Apply(start, Message{From: "b", Run: 2, Sequence: 1, Demands: now})
	assert.DeepEqual(t, table.Demands(start, "chat"), now)
}

// Guards against a faulty sender whose demand would hold back all other requests.
func TestInvalidDemandIsIgnored(t *testing.T) {
	valid := []Demand{{Service: "chat", Priority: 0, Requests: 1, Tokens: 0}, {Service: "chat", Priority: 9, Requests: maxDemand, Tokens: maxDemand}}
	for _, invalid := range []Demand{
		{Service: "chat", Priority: -1, Requests: 1, Tokens: 1},
		{Service: "chat", Priority: 10, Requests: 1, Tokens: 1},
		{Service: "chat", Priority: math.MaxInt, Requests: 1, Tokens: 1},
		{Service: "chat", Priority: math.MinInt, Requests: 1, Tokens: 1},
		{Service: "chat", Requests: 1, Tokens: -1},
		{Service: "chat", Requests: 1, Tokens: math.Nextafter32(maxDemand, 2*maxDemand)},
		{Service: "chat", Requests: 1, Tokens: float32(math.Inf(1))},
		{Service: "chat", Requests: 1, Tokens: float32(math.Inf(-1))},
		{Service: "chat", Requests: 1, Tokens: float32(math.NaN())},
		{Service: "chat", Requests: -1, Tokens: 1},
		{Service: "chat", Requests: 0, Tokens: 1},
		{Service: "chat", Requests: maxDemand + 1, Tokens: 1},
		{Requests: 1, Tokens: 1},
	} {
		demands := []Demand{valid[0], invalid, valid[1]}
		sent := Message{From: "b", DataCenter: "b", Run: 1, Sequence: 1, Demands: demands}
		raw, err := pkpeer.Encode(sent)
		assert.NilError(t, err)
		received, err := pkpeer.Decode[Message](raw)
		assert.NilError(t, err)
		var direct, local, global Table
		direct.Apply(start, received)
		assert.DeepEqual(t, direct.Demands(start, "chat"), valid)
		local.Apply(start, Message{From: "b", DataCenter: "b", Run: 1, Sequence: 1, Sum: &Sum{Entries: 1, Demands: demands}})
		assert.DeepEqual(t, local.Demands(start, "chat"), valid)
		global.RecordSent(Message{Demands: []Demand{invalid}})
		global.Apply(start, Message{From: "b", DataCenter: "b", Run: 1, Sequence: 1, Sum: &Sum{Global: true, Entries: 2, Demands: demands}})
		assert.DeepEqual(t, global.Demands(start, "chat"), valid)
		_, sum := direct.Sums(start, Message{DataCenter: "b", Demands: []Demand{invalid}})
		assert.DeepEqual(t, sum.Demands, valid)
	}
}

// Guards against hubs whose total exceeds what receivers accept, who would then know of no demand at
// all in the largest bursts.
func TestLargeTotalIsStillCounted(t *testing.T) {
	var hub, spoke Table
	large := []Demand{{Service: "chat", Requests: 0.6 * maxDemand, Tokens: 0.6 * maxDemand}}
	for i := range 3 {
		hub.Apply(start, Message{From: pkid.EntryID(fmt.Sprint(i)), DataCenter: "a", Run: 1, Sequence: 1, Demands: large})
	}
	_, global := hub.Sums(start, Message{From: "hub", DataCenter: "a"})
	want := []Demand{{Service: "chat", Requests: maxDemand, Tokens: maxDemand}}
	assert.DeepEqual(t, global.Demands, want)
	assert.DeepEqual(t, hub.Demands(start, "chat"), want)
	spoke.Apply(start, Message{From: "hub", DataCenter: "a", Run: 1, Sequence: 1, Sum: &global})
	assert.DeepEqual(t, spoke.Demands(start, "chat"), want)
}

// Guards against an entry that holds back its own requests because of themselves: at a spoke the sum
// of the hub contains them, also by parts of one priority or with a part that the sum lacks yet.
func TestOwnDemandIsSubtracted(t *testing.T) {
	var table Table
	table.RecordSent(Message{From: "a", Demands: []Demand{
		{Service: "chat", Priority: 0, Requests: 2, Tokens: 200},
		{Service: "chat", Priority: 1, Requests: 3, Tokens: 300},
		{Service: "chat", Priority: 2, Requests: 7, Tokens: 700},
		{Service: "chat", Priority: 3, Requests: 2, Tokens: 200},
		{Service: "code", Priority: 4, Requests: 5, Tokens: 500},
	}})
	table.Apply(start, Message{From: "hub", Run: 1, Sequence: 1, Sum: &Sum{Global: true, Entries: 2, Demands: []Demand{
		{Service: "chat", Priority: 0, Requests: 2, Tokens: 200},
		{Service: "chat", Priority: 1, Requests: 4, Tokens: 450},
		{Service: "chat", Priority: 2, Requests: 1, Tokens: 900},
		{Service: "chat", Priority: 3, Requests: 5, Tokens: 150},
		{Service: "chat", Priority: 5, Requests: 6, Tokens: 600},
	}}})
	assert.DeepEqual(t, table.Demands(start, "chat"), []Demand{
		{Service: "chat", Priority: 1, Requests: 1, Tokens: 150},
		{Service: "chat", Priority: 3, Requests: 3, Tokens: 0},
		{Service: "chat", Priority: 5, Requests: 6, Tokens: 600},
	})
	assert.Equal(t, len(table.Demands(start, "code")), 0, "the sum does not hold it yet")
}

// Guards against partial sums that keep demand which has ended, or lose demand that has not changed,
// and against sums that are repeated between two regular ones.
func TestPartialSumsHoldAllDemand(t *testing.T) {
	var hub, entry Table
	sequence := uint64(0)
	apply := func(s Sum) {
		sequence++
		entry.Apply(start, Message{From: "hub", Run: 1, Sequence: sequence, Sum: &s})
	}
	first := []Demand{{Service: "chat", Requests: 1, Tokens: 100}}
	second := []Demand{{Service: "chat", Requests: 2, Tokens: 250}}
	sum := Sum{Global: true, Entries: 3, Loads: []Load{{Target: "t", Requests: 1, Tokens: 500}}}
	for _, demands := range [][]Demand{first, first, nil, second} {
		sum.Demands = demands
		update := hub.NextUpdate(Spoke, sum, threshold)
		assert.DeepEqual(t, update.Full.Demands, demands)
		apply(update.Delta)
		assert.DeepEqual(t, entry.Demands(start, "chat"), demands)
		repeated := hub.RepeatUpdate(Spoke, sum)
		assert.DeepEqual(t, repeated.Full.Demands, demands)
		apply(repeated.Delta)
		assert.DeepEqual(t, entry.Demands(start, "chat"), demands)
		assert.Equal(t, entry.PeerLoads(start, 3, nil)["t"].Tokens, 500.0, "loads are kept")
	}
}

// Guards against demand for a pool that is counted for another one or by its parts.
func TestDemandsOfOneService(t *testing.T) {
	var table Table
	table.Apply(start, Message{From: "b", Run: 1, Sequence: 1, Demands: []Demand{
		{Service: "chat", Priority: 2, Requests: 1, Tokens: 10},
		{Service: "chat", Priority: 0, Requests: 2, Tokens: 20},
		{Service: "code", Priority: 2, Requests: 4, Tokens: 40},
		{Service: "chat", Priority: 2, Requests: 8, Tokens: 80},
	}})
	assert.DeepEqual(t, table.Demands(start, "chat"), []Demand{
		{Service: "chat", Priority: 0, Requests: 2, Tokens: 20}, {Service: "chat", Priority: 2, Requests: 9, Tokens: 90},
	})
	assert.DeepEqual(t, table.Demands(start, "code"), []Demand{{Service: "code", Priority: 2, Requests: 4, Tokens: 40}})
	assert.Equal(t, len(table.Demands(start.Add(time.Hour), "code")), 0)
}
