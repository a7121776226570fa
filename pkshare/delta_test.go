package pkshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkid"
)

const testThreshold = 100

func threshold(pkid.TargetID) float64 { return testThreshold }

// Guards against receivers that keep ended loads or differ by more than the threshold, across
// reconnects and repeated sums.
func TestReceiverLoadsStayWithinThreshold(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 5))
		var hub, entry Table
		truth := map[pkid.TargetID]float64{}
		sequence := uint64(0)
		for round := range 60 {
			for range 1 + r.IntN(5) {
				id := pkid.TargetID(fmt.Sprint(r.IntN(20)))
				switch r.IntN(4) {
				case 0:
					delete(truth, id)
				default:
					truth[id] = max(truth[id]+400*(r.Float64()-0.4), 1)
				}
			}
			s := Sum{Global: true, Entries: 3}
			for id, tokens := range truth {
				s.Loads = append(s.Loads, Load{Target: id, Tokens: float32(tokens)})
			}
			update := hub.NextUpdate(Spoke, s, threshold)
			message := update.Delta
			if round == 0 || r.IntN(10) == 0 {
				message = update.Full // on a new connection
			}
			if r.IntN(10) == 0 {
				message = hub.RepeatUpdate(Spoke, s).Full // repeated before the next sum
			}
			sequence++
			now := time.Unix(1000, 0).Add(time.Duration(round) * HubInterval)
			assert.Assert(t, entry.Apply(now, Message{From: "hub", Run: 1, Sequence: sequence, Sum: &message}))
			got := entry.PeerLoads(now, 3, nil)
			for id, l := range got {
				_, exists := truth[id]
				assert.Assert(t, exists, "seed %d: %s has ended", seed, id)
				assert.Assert(t, math.Abs(l.Tokens-truth[id]) <= testThreshold+1, "seed %d: tokens of %s: want %f, got %f", seed, id, truth[id], l.Tokens)
			}
			for id, tokens := range truth {
				assert.Assert(t, got[id].Tokens > 0 || tokens <= testThreshold+1, "seed %d: %s with %f tokens is missing", seed, id, tokens)
			}
		}
	}
}

// The traffic of a hub must grow with the number of changed loads and not with the size of the
// pool.
func TestSmallChangesAreNotSent(t *testing.T) {
	var hub Table
	s := Sum{Global: true}
	for i := range 1000 {
		s.Loads = append(s.Loads, Load{Target: pkid.TargetID(fmt.Sprintf("%04d", i)), Tokens: 5000})
	}
	assert.Equal(t, len(hub.NextUpdate(Spoke, s, threshold).Delta.Changed), 1000)
	for i := range s.Loads {
		s.Loads[i].Tokens += testThreshold / 2
	}
	s.Loads[7].Tokens += testThreshold
	assert.Equal(t, len(hub.NextUpdate(Spoke, s, threshold).Delta.Changed), 1)
	assert.Equal(t, len(hub.NextUpdate(RemoteHub, s, threshold).Delta.Changed), 1000, "other receivers")
}

// Loads of a hub's earlier run must not be kept beside those of its new run.
func TestRestartedHubReplacesItsLoads(t *testing.T) {
	var entry Table
	now := time.Unix(1000, 0)
	first := Sum{Global: true, Entries: 2, Loads: []Load{{Target: "a", Tokens: 7}}}
	entry.Apply(now, Message{From: "hub", Run: 1, Sequence: 9, Sum: &first})
	second := Sum{Global: true, Entries: 2, Partial: true, Changed: []Load{{Target: "b", Tokens: 5}}}
	entry.Apply(now, Message{From: "hub", Run: 2, Sequence: 1, Sum: &second})
	got := entry.PeerLoads(now, 2, nil)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got["b"].Tokens, 5.0)
}
