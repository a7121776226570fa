package pkedge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkshare"
)

// Entries of a large fleet are told by hubs how many they are, and follow the members no
// more: the store counts a call of each of them for each entry that comes or goes. What
// they share, the retry budget, must neither grow when the hubs are lost nor when the store is
// lost with them, and the owner of the pools must see who comes after it.
func TestAnEntryIsToldOfTheMembers(t *testing.T) {
	d, _ := poolDaemon()
	d.settings.Entry = "own"
	now := time.Now()
	hub := pkshare.Message{From: "hub", Sequence: 1, Following: true, Members: 78, Sum: &pkshare.Sum{All: true}}
	d.hear(now, hub)
	assert.Assert(t, !d.membersLed(now), "nothing was read yet")
	d.members.known = true
	assert.Assert(t, d.membersLed(now))
	assert.Equal(t, d.entries(now), 78)

	hub.Sequence, hub.Members = 2, 90
	d.hear(now, hub)
	assert.Equal(t, d.entries(now), 90)

	later := now.Add(time.Minute)
	assert.Assert(t, !d.membersLed(later))
	assert.Equal(t, d.entries(later), 90, "the hubs are lost")
	d.members.told = 0 // the list was read
	assert.Equal(t, d.entries(later), 1)

	d.members.owner = "own"
	hub.Sequence = 3
	d.hear(later, hub)
	assert.Assert(t, !d.membersLed(later), "the owner follows")
}
