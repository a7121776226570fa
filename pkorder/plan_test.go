package pkorder

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotknot.example/pkid"
	"peridotknot.example/pkmanifest"
	"peridotknot.example/pktarget"
)

var start = time.Unix(1000, 0)

const slots = 10

func model(version pkid.Version, atOnce int) *pkmanifest.Model {
	return &pkmanifest.Model{
		ID: "m", Version: version, Pool: "p", Layers: 8, LoadsAtOnce: atOnce,
		Splits: []pkmanifest.Split{{First: 0, End: 4, Weight: 1}, {First: 4, End: 8, Weight: 1}},
	}
}

func engine(i int, version pkid.Version, first, end pkid.Layer) *pktarget.Target {
	t := pktarget.NewTarget(pktarget.Info{ID: pkid.TargetID(fmt.Sprint(i)), Pool: "p"})
	t.Observe(pktarget.Report{MaxBatch: slots, Step: time.Millisecond, PerSeq: time.Microsecond}, start)
	t.Hold(pktarget.Holding{Model: "m", Version: version, Range: pkid.Range{First: first, End: end}})
	return t
}

func halves(n int, version pkid.Version) []*pktarget.Target {
	var out []*pktarget.Target
	for i := range n {
		first := pkid.Layer(i%2) * 4
		out = append(out, engine(i, version, first, first+4))
	}
	return out
}

// A nightly upgrade reloads every engine while callers go on. Whatever the
// demand is, the engines that still serve must meet it after each order, only
// so many may load at once, and the roll-out must end with all on the new
// version if the demand leaves any room.
func TestRollOutKeepsTheDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := 2 * rapid.IntRange(2, 8).Draw(t, "pairs")
		atOnce := rapid.IntRange(1, 4).Draw(t, "at once")
		demand := float64(rapid.IntRange(0, (n/2-1)*slots).Draw(t, "demand")) / reserve * 0.99
		targets := halves(n, "1")
		m := model("2", atOnce)
		loading := map[pkid.TargetID]pkid.Range{}
		for range 4 * n {
			told := Next(Situation{Model: m, Targets: targets, Loading: loading, Demand: demand})
			for _, one := range told {
				loading[one.Target.Info.ID] = pkid.Range{First: one.Order.First, End: one.Order.End}
			}
			if len(loading) > atOnce {
				t.Fatalf("%d engines load at once", len(loading))
			}
			var serving []*pktarget.Target
			for _, one := range targets {
				if _, is := loading[one.Info.ID]; !is {
					serving = append(serving, one)
				}
			}
			p := newPlan(Situation{Model: m, Targets: serving})
			if got := p.slots.flow(8); len(told) > 0 && got < demand {
				t.Fatalf("%g slots are left for a demand of %g", got, demand)
			}
			for _, one := range told {
				r := pkid.Range{First: one.Order.First, End: one.Order.End}
				one.Target.Hold(pktarget.Holding{Model: "m", Version: one.Order.Version, Range: r})
				delete(loading, one.Target.Info.ID)
			}
		}
		have := newPlan(Situation{Model: m, Targets: targets}).have
		if have[pkid.Range{First: 0, End: 4}] != n/2 || have[pkid.Range{First: 4, End: 8}] != n/2 {
			t.Fatalf("the roll-out ended with %v of %d", have, n)
		}
	})
}

func TestNext(t *testing.T) {
	cases := map[string]struct {
		targets []*pktarget.Target
		loading map[pkid.TargetID]pkid.Range
		demand  float64
		want    int
	}{
		"all is as wanted":              {halves(4, "2"), nil, 0, 0},
		"an empty engine is used":       {append(halves(4, "2"), engine(9, "", 0, 0)), nil, 20, 1},
		"a small pool goes one by one":  {halves(4, "1"), nil, 0, 1},
		"a large pool goes by its rate": {halves(40, "1"), nil, 0, 2},
		"others load already":           {halves(4, "1"), map[pkid.TargetID]pkid.Range{"0": {End: 4}, "1": {First: 4, End: 8}}, 0, 0},
		"the demand needs them all":     {halves(4, "1"), nil, 20, 0},
		"a range has too many":          {[]*pktarget.Target{engine(0, "2", 0, 4), engine(1, "2", 0, 4), engine(2, "2", 0, 4), engine(3, "2", 4, 8)}, nil, 0, 1},
		"a range nobody wants":          {append(halves(4, "2"), engine(9, "2", 2, 6), engine(10, "2", 2, 6)), nil, 0, 2},
		"another model's leftover":      {append(halves(3, "2"), engine(9, "old", 0, 4)), nil, 0, 1},
		"no engines":                    {nil, nil, 0, 0},
		"no reload without any spare":   {halves(2, "1"), nil, 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Next(Situation{Model: model("2", 2), Targets: c.targets, Loading: c.loading, Demand: c.demand, Fence: 3})
			assert.Equal(t, len(got), c.want)
			for _, one := range got {
				assert.Equal(t, one.Order.Fence, pkid.Fence(3))
				assert.Equal(t, one.Order.Version, pkid.Version("2"))
			}
		})
	}
}
