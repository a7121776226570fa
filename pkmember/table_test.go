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

func neighbor(id string) Member {
	return Member{Entry: pkid.EntryID(id), Instance: Instance(id), Addr: id, Neighborhood: "here"}
}

func remote(id string, n int) Member {
	m := neighbor(id)
	m.Neighborhood = Neighborhood(fmt.Sprint(n))
	return m
}

// Work must move to a live member, and a silent member must be retried for as long as a partition
// between data centres may last.
func TestMemberLiveness(t *testing.T) {
	cases := map[string]struct {
		event  func(*Table)
		after  time.Duration
		alive  bool
		linked bool
	}{
		"sends":                               {func(*Table) {}, time.Second, true, true},
		"is silent briefly":                   {func(*Table) {}, 5 * time.Second, true, true},
		"is silent beyond the timeout":        {func(*Table) {}, 20 * time.Second, false, true},
		"is partitioned for an hour":          {func(*Table) {}, time.Hour, false, true},
		"is silent for three hours":           {func(*Table) {}, 3 * time.Hour, false, false},
		"its connection ends":                 {func(t *Table) { t.Disconnected("b", 1) }, time.Second, false, true},
		"leaves":                              {func(t *Table) { t.Leave(start, "b") }, time.Second, false, false},
		"is reported by others after it left": {func(t *Table) { t.Leave(start, "b"); t.AddKnown(start, []Member{neighbor("b")}) }, time.Second, false, false},
		"its previous connection ends":        {func(t *Table) { t.Connected(start, neighbor("b")); t.Disconnected("b", 1) }, time.Second, true, true},
		"disconnects and reconnects":          {func(t *Table) { t.Disconnected("b", 1); t.Connected(start, neighbor("b")) }, time.Second, true, true},
		"resumes after a pause of an hour":    {func(t *Table) { t.Connected(start.Add(time.Hour), neighbor("b")) }, time.Hour, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(neighbor("a"))
			table.Connected(start, neighbor("b"))
			c.event(table)
			now := start.Add(c.after)
			table.Prune(now)
			assert.Equal(t, len(table.Neighbors(now)) == 2, c.alive)
			assert.Equal(t, len(table.SendPeers(now)) == 1, c.linked)
		})
	}
}

// Guards against work that is assigned to a member that nobody can reach.
func TestMemberThatNeverConnectedIsNotAlive(t *testing.T) {
	table := NewTable(neighbor("a"))
	table.AddKnown(start, []Member{neighbor("b")})
	assert.Equal(t, len(table.Neighbors(start)), 1)
	assert.Equal(t, len(table.SendPeers(start)), 1)
	table.Prune(start.Add(time.Minute))
	assert.Equal(t, len(table.SendPeers(start)), 0)
}

// Counts are sent as changes on one connection. Counts left from a broken connection or a failed
// member would make a target look busy forever.
func TestCountsAreResetByConnections(t *testing.T) {
	table := NewTable(neighbor("a"))
	count := func(now time.Time) int64 { return table.Counts(now)["t"] }
	update := func(n int64) *Update { return &Update{Counts: []Count{{Target: "t", N: n}}} }
	table.Connected(start, neighbor("b"))
	table.Apply(start, "b", update(7))
	assert.Equal(t, count(start), int64(7))
	table.Connected(start, neighbor("b"))
	assert.Equal(t, count(start), int64(0))
	table.Apply(start, "b", update(3))
	assert.Equal(t, count(start.Add(time.Hour)), int64(0))
	table.Disconnected("b", 2)
	table.Apply(start, "b", &Update{})
	assert.Equal(t, count(start), int64(0))
}

// Guards against connections that grow with the size of the fleet.
func TestRemotePeersAreBounded(t *testing.T) {
	table := NewTable(neighbor("self"))
	for n := range 17 {
		for i := range 22 {
			id := fmt.Sprintf("%d-%d", n, i)
			m := remote(id, n)
			if n == 0 {
				m = neighbor(id)
			}
			table.Connected(start, m)
		}
	}
	assert.Equal(t, len(table.SendPeers(start)), 22+16*remotePeers)
}

// Guards against targets that are polled by all members or by none: members must agree on who is
// responsible, and a member that leaves must move only its own work.
func TestOnlyKeysOfARemovedMemberMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "members")
		var members []Member
		for i := range n {
			members = append(members, neighbor(fmt.Sprint("m", i)))
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		remaining := append(append([]Member{}, members[:removed]...), members[removed+1:]...)
		for i := range 50 {
			key := fmt.Sprint("target-", i)
			before, _ := Owner(members, key)
			after, _ := Owner(remaining, key)
			if before.Instance != members[removed].Instance && before != after {
				t.Fatalf("%s moved from %s to %s", key, before.Instance, after.Instance)
			}
			if TopRanked(members, key, 1)[0] != before {
				t.Fatal("the top-ranked member is not the owner")
			}
		}
	})
}

// Guards against control traffic that grows with the number of neighbors.
func TestIntervalKeepsTheSendBudget(t *testing.T) {
	for _, peers := range []int{1, 7, 21, 54} {
		for _, size := range []int{50, 500, 1500} {
			perSecond := float64(size*peers) / UpdateInterval(size, peers).Seconds()
			assert.Assert(t, perSecond <= sendBudget*1.01 || UpdateInterval(size, peers) == maxInterval, "%d peers, %d bytes: %.0f B/s", peers, size, perSecond)
		}
	}
}
