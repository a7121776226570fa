package pkshare

import (
	"fmt"
	"testing"
	"time"

	"peridotknot.example/pkid"
)

// BenchmarkRoles measures how long a hub takes to determine its roles in a fleet where all entries
// are registered.
func BenchmarkRoles(b *testing.B) {
	for _, entries := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			f := newFleet(5, entries/5)
			var table Table
			now := start
			for i, m := range f.members {
				table.Apply(now, Message{From: m.ID, Addr: m.Addr, Run: 1, Sequence: uint64(i + 1), DataCenter: m.DataCenter})
			}
			self := f.members[entries/5-1] // the largest VMs are the last ones
			others := f.others(self.ID)
			for b.Loop() {
				table.Roles(now, self, others)
			}
		})
	}
}

// BenchmarkSums measures how long a hub takes to add up what its entries and the hubs of other data
// centres report, with one load in four entries.
func BenchmarkSums(b *testing.B) {
	for _, entries := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var table Table
			now := start
			for i := range entries / 5 {
				m := Message{From: pkid.EntryID(fmt.Sprint(i)), Run: 1, Sequence: 1, DataCenter: "a"}
				if i%4 == 0 {
					for j := range 8 {
						m.Loads = append(m.Loads, Load{Target: pkid.TargetID(fmt.Sprintf("i-%d", (i*8+j)%(3*entries))), Requests: 1, Tokens: 800})
					}
				}
				table.Apply(now, m)
			}
			for dc := range 4 {
				sum := Sum{Entries: entries / 5}
				for j := range 3 * entries {
					sum.Loads = append(sum.Loads, Load{Target: pkid.TargetID(fmt.Sprintf("i-%d", j)), Requests: 1, Tokens: 800})
				}
				table.Apply(now, Message{From: pkid.EntryID(fmt.Sprintf("hub-%d", dc)), Run: 1, Sequence: 1, DataCenter: pkid.DataCenter('b' + rune(dc)), Sum: &sum})
			}
			own := Message{From: "self", DataCenter: "a"}
			for b.Loop() {
				table.Sums(now.Add(time.Millisecond), own)
			}
		})
	}
}
