package pkedge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkshare"
)

// scaleDaemon returns a daemon that knows the given number of engines and has requests at some.
func scaleDaemon(engines int) (*Daemon, *pkconfig.Service) {
	m := mixedModel()
	kinds := []pkid.AcceleratorKind{"h100", "a100s", "a100s", "l4", "l4", "l4", "l4", "l4", "t4", "t4", "t4", "t4"}
	var placements []pklayers.Placement
	for i := range engines {
		dc := pkid.DataCenter(fmt.Sprintf("d%d", i%3))
		placements = append(placements, pklayers.Placement{ID: pkid.TargetID(fmt.Sprintf("i-%08d", i)), DataCenter: dc, Kind: kinds[i/3%len(kinds)]})
	}
	plan := pklayers.Plan(m, placements, time.Minute)
	var infos []pkreplica.Info
	for _, c := range placements {
		infos = append(infos, pkreplica.Info{ID: c.ID, DataCenter: c.DataCenter, Kind: c.Kind, Held: plan[c.ID]})
	}
	d, _ := poolDaemon(infos...)
	d.settings.DataCenter = "d0"
	d.members.census.HearHub(engines / 10)
	d.gossip.withHubs.Store(true)
	now := time.Now()
	for i, t := range d.roster.All() {
		if i%40 == 0 {
			t.Begin(now, 7000, 0, time.Second)
		}
	}
	return d, &pkconfig.Service{ID: "models", Engine: m}
}

// BenchmarkChoose measures the choice of a path, including the reading of the state of targets.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{98, 300, 1000, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d, s := scaleDaemon(engines)
			for b.Loop() {
				_, found := d.choosePath(time.Now(), s, 940, 0)
				assert.Check(b, found)
			}
		})
	}
}

// BenchmarkBroadcast measures building a message and summing the loads of the other entries.
func BenchmarkBroadcast(b *testing.B) {
	for _, engines := range []int{98, 300, 1000, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d, _ := scaleDaemon(engines)
			for b.Loop() {
				now := time.Now()
				d.broadcast(now, d.message(now), true, true)
				d.sumLoads(now)
			}
		})
	}
}

// BenchmarkSumLoads measures summing the loads of the other entries, which a hub reports on a
// quarter of the engines.
func BenchmarkSumLoads(b *testing.B) {
	for _, engines := range []int{98, 300, 1000, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d, _ := scaleDaemon(engines)
			now := time.Now()
			sum := pkshare.Sum{Global: true, Entries: engines / 10}
			for i, t := range d.roster.All() {
				if i%4 == 0 {
					sum.Loads = append(sum.Loads, pkshare.Load{Target: t.ID, Requests: 1, Tokens: 7000})
				}
			}
			d.gossip.table.Apply(now, pkshare.Message{From: "hub", Addr: "hub", Sequence: 1, Following: true, Members: engines / 10, Sum: &sum})
			for b.Loop() {
				d.sumLoads(now)
			}
		})
	}
}
