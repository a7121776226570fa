package pkedge

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
	"peridotknot.example/pkqueue"
	"peridotknot.example/pkshare"
)

// Guards against demand that is only reported with the next heartbeat, and against messages that hold
// the same demand as the one before.
func TestChangedDemandMustBeSent(t *testing.T) {
	waiting := pkshare.Message{Demands: []pkshare.Demand{{Service: "chat", Requests: 1, Tokens: 100}}}
	more := pkshare.Message{Demands: []pkshare.Demand{{Service: "chat", Requests: 1, Tokens: 200}}}
	assert.Assert(t, hasChanges(pkshare.Message{}, waiting), "requests wait")
	assert.Assert(t, hasChanges(waiting, more))
	assert.Assert(t, hasChanges(more, pkshare.Message{}), "nothing waits any more")
	assert.Assert(t, !hasChanges(waiting, pkshare.Message{Demands: append([]pkshare.Demand(nil), waiting.Demands...)}))
	assert.Assert(t, !hasChanges(pkshare.Message{}, pkshare.Message{}))
}

// Guards against a burst at another entry that this one does not take into account, and against
// messages out of turn because of it: at 69 entries they would go to all of them several times.
func TestDemandOfOthersIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, others := range []int{2, 14} {
			d := fleetDaemon("a-hub", others)
			d.receiveMessage(time.Now(), pkshare.Message{From: "m-01", Addr: "m-01", DataCenter: "a", Sequence: 2, Demands: []pkshare.Demand{
				{Service: "chat", Priority: 2, Requests: 3, Tokens: 300}, {Service: "chat", Priority: 0, Requests: 1, Tokens: 100},
			}})
			assert.DeepEqual(t, d.othersDemand(time.Now(), "chat"), []pkqueue.Level{{Priority: 0, Requests: 1, Tokens: 100}, {Priority: 2, Requests: 3, Tokens: 300}})
			assert.Equal(t, len(d.othersDemand(time.Now(), pkid.ServiceID("code"))), 0)
			assert.Assert(t, !d.gossip.urgent.Load())
			assert.Equal(t, len(d.gossip.sendNow), 0)
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(d.othersDemand(time.Now(), "chat")), 0, "the sender has fallen silent")
		}
	})
}
