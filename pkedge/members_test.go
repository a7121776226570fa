package pkedge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkshare"
)

// Guards against a retry budget that grows when the hubs that report the number of members are
// lost, and against an owner of the pools that does not follow the members and misses its
// successor.
func TestHubsReportTheNumberOfMembers(t *testing.T) {
	d, _ := poolDaemon()
	d.settings.Entry = "own"
	now := time.Now()
	hub := pkshare.Message{From: "hub", Sequence: 1, Following: true, Members: 78, Sum: &pkshare.Sum{Global: true}}
	d.receiveMessage(now, hub)
	assert.Assert(t, !d.membersRelayed(now), "the members were not read yet")
	d.members.known = true
	assert.Assert(t, d.membersRelayed(now))
	assert.Equal(t, d.entryCount(now), 78)

	hub.Sequence, hub.Members = 2, 90
	d.receiveMessage(now, hub)
	assert.Equal(t, d.entryCount(now), 90)

	later := now.Add(time.Minute)
	assert.Assert(t, !d.membersRelayed(later))
	assert.Equal(t, d.entryCount(later), 90, "the hubs are lost")
	d.members.reportedCount = 0 // the list was read
	assert.Equal(t, d.entryCount(later), 1)

	d.members.owner = "own"
	hub.Sequence = 3
	d.receiveMessage(later, hub)
	assert.Assert(t, !d.membersRelayed(later), "the owner follows the members itself")
}
