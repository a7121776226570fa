package pkshare

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkpeer"
	"peridotknot.example/pkstore"
)

// waitingDemands returns the demand of some entries for one pool, in three priorities.
func waitingDemands(entries int) []Demand {
	var out []Demand
	for priority := range 3 {
		out = append(out, Demand{Service: "chat-large", Priority: priority, Requests: 12 * entries, Tokens: float32(12 * entries * 1850)})
	}
	return out
}

// sizedMessage returns a message of an entry with loads on its targets.
func sizedMessage(targets int) Message {
	revision := pkstore.Revision(9000000)
	m := Message{
		From: "entry-a-017", Addr: "10.20.30.40:7946", Run: 1<<63 + 12345, Sequence: 123456, Config: 9012345, List: 9123456,
		Following: true, Relays: true, QuarantineChecksum: 1 << 60, Version: 42, Owns: &revision, DataCenter: "dc-a", ProcessorShare: 0.192,
	}
	for i := range targets {
		m.Loads = append(m.Loads, Load{Target: pkid.TargetID(fmt.Sprintf("engine-%04d", i)), Requests: 2, Tokens: 51234})
	}
	return m
}

func encodedSize(t testing.TB, m Message) int {
	t.Helper()
	raw, err := pkpeer.Encode(m)
	assert.NilError(t, err)
	return len(raw)
}

// Guards against messages that grow with the fleet by what waits, and against any growth while nothing
// waits: the message of a hub goes to all entries of its data centre three times a second.
func TestBytesOfDemands(t *testing.T) {
	const maxBytes = 90
	for _, size := range []fleetSize{{3, 23}, {5, 60}, {5, 197}} {
		entries := size.dataCenters * size.each
		var hub Table
		report := func(name string, with, without Message) {
			added := encodedSize(t, with) - encodedSize(t, without)
			t.Logf("%d entries, %s: %d bytes, %d with demands (+%d)", entries, name, encodedSize(t, without), encodedSize(t, with), added)
			assert.Assert(t, added <= maxBytes, "%s at %d entries: %d bytes", name, entries, added)
			assert.Equal(t, encodedSize(t, withoutDemands(with)), encodedSize(t, without), "without demands")
		}
		spoke := sizedMessage(8)
		waiting := spoke
		waiting.Demands = waitingDemands(1)
		report("message of a spoke", waiting, spoke)
		loads := sizedMessage(entries * 98 / 69).Loads
		for _, one := range []struct {
			name string
			role Role
			sum  Sum
			n    int
		}{
			{"local sum", RemoteHub, Sum{Entries: size.each, Loads: loads}, size.each},
			{"global sum", Spoke, Sum{Global: true, Entries: entries, Loads: loads}, entries},
		} {
			hub.NextUpdate(one.role, one.sum, threshold)
			for i := range one.sum.Loads {
				if i%10 == 0 {
					one.sum.Loads[i].Tokens += 2 * testThreshold // a tenth of the loads has changed
				}
			}
			without := hub.NextUpdate(one.role, one.sum, threshold)
			with := without
			with.Delta.Demands, with.Full.Demands = waitingDemands(one.n), waitingDemands(one.n)
			m := sizedMessage(0)
			message := func(s Sum) Message { m.Sum = &s; return m }
			report(one.name+", full", message(with.Full), message(without.Full))
			report(one.name+", partial", message(with.Delta), message(without.Delta))
		}
	}
}

// BenchmarkDemands measures how long a hub takes to add up what others report, which it does in each
// decision on a waiting request, with three priorities waiting at each entry of its data centre.
func BenchmarkDemands(b *testing.B) {
	for _, entries := range []int{69, 300, 985} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var table Table
			for i := range entries / 5 {
				table.Apply(start, Message{From: pkid.EntryID(fmt.Sprint(i)), Run: 1, Sequence: 1, DataCenter: "a", Demands: waitingDemands(1)})
			}
			for dc := range 4 {
				sum := Sum{Entries: entries / 5, Demands: waitingDemands(entries / 5)}
				table.Apply(start, Message{From: pkid.EntryID(fmt.Sprintf("hub-%d", dc)), Run: 1, Sequence: 1, DataCenter: pkid.DataCenter('b' + rune(dc)), Sum: &sum})
			}
			for b.Loop() {
				table.Demands(start.Add(time.Millisecond), "chat-large")
			}
		})
	}
}
