package pkmember

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
)

var start = time.Unix(1000, 0)

func near(id string) Member {
	return Member{Entry: pkid.EntryID(id), Instance: Instance(id), Addr: id, Neighborhood: "here"}
}

func far(id string, n int) Member {
	m := near(id)
	m.Neighborhood = Neighborhood(fmt.Sprint(n))
	return m
}

// A member comes and goes in the ways that VMs and links do. Work must move to
// a living member, and a member must be tried again for as long as a partition
// of data centres may last.
func TestMemberFates(t *testing.T) {
	cases := map[string]struct {
		then   func(*Table)
		after  time.Duration
		alive  bool
		linked bool
	}{
		"speaks":                      {func(*Table) {}, time.Second, true, true},
		"falls silent for a moment":   {func(*Table) {}, 5 * time.Second, true, true},
		"falls silent":                {func(*Table) {}, 20 * time.Second, false, true},
		"is cut off for an hour":      {func(*Table) {}, time.Hour, false, true},
		"never comes back":            {func(*Table) {}, 3 * time.Hour, false, false},
		"its connection breaks":       {func(t *Table) { t.Break("b", 1) }, time.Second, false, true},
		"says goodbye":                {func(t *Table) { t.Leave(start, "b") }, time.Second, false, false},
		"is rumored after a goodbye":  {func(t *Table) { t.Leave(start, "b"); t.Learn(start, []Member{near("b")}) }, time.Second, false, false},
		"its old connection breaks":   {func(t *Table) { t.Connected(start, near("b")); t.Break("b", 1) }, time.Second, true, true},
		"breaks and comes back":       {func(t *Table) { t.Break("b", 1); t.Connected(start, near("b")) }, time.Second, true, true},
		"pauses, others go on, wakes": {func(t *Table) { t.Connected(start.Add(time.Hour), near("b")) }, time.Hour, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(near("a"))
			table.Connected(start, near("b"))
			c.then(table)
			now := start.Add(c.after)
			table.Tend(now)
			assert.Equal(t, len(table.Neighbors(now)) == 2, c.alive)
			assert.Equal(t, len(table.Links(now)) == 1, c.linked)
		})
	}
}

func TestHearsayIsNotAlive(t *testing.T) {
	table := NewTable(near("a"))
	table.Learn(start, []Member{near("b")})
	assert.Equal(t, len(table.Neighbors(start)), 1)
	assert.Equal(t, len(table.Links(start)), 1)
	table.Tend(start.Add(time.Minute))
	assert.Equal(t, len(table.Links(start)), 0)
}

// A peer tells its counts as changes on one connection. If the connection
// breaks, changes are lost; counts that stayed would keep a target looking busy
// for ever. A new connection must start them over, and a dead peer's must go.
func TestCountsFollowTheConnection(t *testing.T) {
	table := NewTable(near("a"))
	count := func(now time.Time) int64 { return table.Counts(now)["t"] }
	share := func(n int64) *Share { return &Share{Counts: []Count{{Target: "t", N: n}}} }
	table.Connected(start, near("b"))
	table.Take(start, "b", share(7))
	assert.Equal(t, count(start), int64(7))
	table.Connected(start, near("b"))
	assert.Equal(t, count(start), int64(0))
	table.Take(start, "b", share(3))
	assert.Equal(t, count(start.Add(time.Hour)), int64(0))
	table.Break("b", 2)
	table.Take(start, "b", &Share{})
	assert.Equal(t, count(start), int64(0))
}

func TestLinksStayFewAsTheFleetGrows(t *testing.T) {
	table := NewTable(near("self"))
	for n := range 17 {
		for i := range 22 {
			id := fmt.Sprintf("%d-%d", n, i)
			m := far(id, n)
			if n == 0 {
				m = near(id)
			}
			table.Connected(start, m)
		}
	}
	assert.Equal(t, len(table.Links(start)), 22+16*farLinks)
}

// Everyone must agree on who looks after what, or targets are polled by all or
// by none; and a member that goes must move only its own work.
func TestOwnershipMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "members")
		var members []Member
		for i := range n {
			members = append(members, near(fmt.Sprint("m", i)))
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		left := append(append([]Member{}, members[:gone]...), members[gone+1:]...)
		for i := range 50 {
			work := fmt.Sprint("target-", i)
			before, _ := Owner(members, work)
			after, _ := Owner(left, work)
			if before.Instance != members[gone].Instance && before != after {
				t.Fatalf("%s moved from %s to %s", work, before.Instance, after.Instance)
			}
			if First(members, work, 1)[0] != before {
				t.Fatal("First and Owner disagree")
			}
		}
	})
}

func TestPaceKeepsTheBudget(t *testing.T) {
	for _, links := range []int{1, 7, 21, 54} {
		for _, size := range []int{50, 500, 1500} {
			perSecond := float64(size*links) / Pace(size, links).Seconds()
			assert.Assert(t, perSecond <= budget*1.01 || Pace(size, links) == paceMost, "%d links of %d bytes: %.0f B/s", links, size, perSecond)
		}
	}
}
