package pkshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkquarantine"
)

// catchUpTimes returns the times since start at which a peer is sent a catch-up of quarantined requests.
// The peer and this entry send a message each interval; checksum returns the one in the peer's message.
func catchUpTimes(interval, span time.Duration, checksum func(at time.Duration) pkquarantine.Checksum) []time.Duration {
	var table Table
	var out []time.Duration
	for at := time.Duration(0); at < span; at += interval {
		now := start.Add(at)
		m := newMessage("z", uint64(at/interval)+1, 1, 0)
		m.QuarantineChecksum = checksum(at)
		table.Apply(now, m)
		if table.CatchUpFor(now, "z", LocalState{Self: "a", Config: 1, List: 1, QuarantineChecksum: 9, Hub: true}).Quarantine {
			out = append(out, at)
		}
	}
	return out
}

// Guards against waiting for catchUpRetry after each lost catch-up: where both hubs lost two in a row, an entry
// quarantined a request after more than three seconds. Guards also against catch-ups that are repeated early
// without end, or sooner than a peer can have answered.
func TestLostQuarantineCatchUpIsRepeatedEarly(t *testing.T) {
	never := func(time.Duration) pkquarantine.Checksum { return 1 }
	ms := func(all ...int) (out []time.Duration) {
		for _, one := range all {
			out = append(out, time.Duration(one)*time.Millisecond)
		}
		return out
	}
	assert.DeepEqual(t, catchUpTimes(HubInterval, 5*time.Second, never), ms(300, 600, 900, 1200, 2400, 3600, 4800))
	assert.DeepEqual(t, catchUpTimes(50*time.Millisecond, 4*time.Second, never), ms(250, 400, 550, 700, 1700, 2700, 3700))
	none := func(time.Duration) pkquarantine.Checksum { return 0 }
	assert.Equal(t, len(catchUpTimes(HubInterval, 5*time.Second, none)), 0, "a build without a quarantine")
}

// Guards against more than one catch-up in catchUpRetry where none is known to be lost: the peer's set of
// quarantined requests changes all the time, or is the same as this entry's at times.
func TestQuarantineCatchUpsOfChangingSetsAreBounded(t *testing.T) {
	const span = 12 * time.Second
	changing := func(at time.Duration) pkquarantine.Checksum { return pkquarantine.Checksum(10 + at/HubInterval) }
	assert.Assert(t, len(catchUpTimes(HubInterval, span, changing)) <= int(span/catchUpRetry))
	alternating := func(at time.Duration) pkquarantine.Checksum {
		if at/(2*HubInterval)%2 == 1 {
			return 9
		}
		return 1
	}
	assert.Assert(t, len(catchUpTimes(HubInterval, span, alternating)) <= int(span/catchUpRetry))
}
