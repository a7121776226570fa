package pkedge

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotknot.example/pkconfig"
	"peridotknot.example/pkreplica"
)

// roomCollector computes the unused KV-cache memory of the engines of all pools when it is scraped.
type roomCollector struct {
	d      *Daemon
	unused *prometheus.Desc
	layer  *prometheus.Desc
}

func newRoomCollector(d *Daemon) *roomCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"data_center"}, nil)
	}
	return &roomCollector{
		d:      d,
		unused: desc("peridotknot_room_unused", "Unused share of the KV-cache memory of the usable engines in a data centre; 0 if it has none."),
		layer:  desc("peridotknot_layer_room_unused", "Unused share of the KV-cache memory for the layer that has the least unused memory in a data centre."),
	}
}

// Describe sends the descriptions of the metrics.
func (r *roomCollector) Describe(out chan<- *prometheus.Desc) {
	out <- r.unused
	out <- r.layer
}

// Collect sends the metrics of each data centre.
func (r *roomCollector) Collect(out chan<- prometheus.Metric) {
	for dc, one := range r.d.unusedRoom(time.Now()) {
		out <- prometheus.MustNewConstMetric(r.unused, prometheus.GaugeValue, one.all.share(), dc)
		if one.hasLayers {
			out <- prometheus.MustNewConstMetric(r.layer, prometheus.GaugeValue, one.weakest.share(), dc)
		}
	}
}

// memory is KV-cache memory of engines, in tokens or in tokens times layers.
type memory struct {
	unused   float64
	capacity float64
}

func (m *memory) add(other memory) {
	m.unused += other.unused
	m.capacity += other.capacity
}

// share returns the unused share; zero if there is no memory.
func (m memory) share() float64 {
	if m.capacity <= 0 {
		return 0
	}
	return m.unused / m.capacity
}

// centerRoom is the memory of the engines in one data centre.
type centerRoom struct {
	all memory
	// weakest is the memory for the layer of any pool that has the least unused memory; hasLayers is set if
	// engines in the data centre hold layers.
	weakest   memory
	hasLayers bool
}

// unusedRoom returns the memory of the engines of all pools at now by data centre.
func (d *Daemon) unusedRoom(now time.Time) map[string]*centerRoom {
	out := map[string]*centerRoom{}
	table := d.configs.Table()
	if table == nil {
		return out
	}
	for i := range table.Services {
		if s := &table.Services[i]; s.Engine != nil {
			d.addPoolRoom(now, s, out)
		}
	}
	return out
}

// addPoolRoom adds the memory of the engines of a pool at now to that of their data centres. Avoided engines
// have no memory to use. A layer that no engine in a data centre holds is not one of its layers, since
// small data centres share pipelines; a layer whose engines are all avoided has no memory.
func (d *Daemon) addPoolRoom(now time.Time, s *pkconfig.Service, out map[string]*centerRoom) {
	layers := map[string][]*memory{}
	for _, t := range d.liveEngines(now, s.ID, s.Engine) {
		// Label values must be valid UTF-8, or the whole scrape fails.
		dc := strings.ToValidUTF8(string(t.DataCenter), "?")
		if out[dc] == nil {
			out[dc] = &centerRoom{}
		}
		if layers[dc] == nil {
			layers[dc] = make([]*memory, s.Engine.Layers)
		}
		m := engineMemory(now, s, t)
		out[dc].all.add(m)
		held := float64(t.Held.Len())
		perLayer := memory{unused: m.unused / max(held, 1), capacity: m.capacity / max(held, 1)}
		for l := t.Held.First; l < t.Held.End; l++ {
			if layers[dc][l] == nil {
				layers[dc][l] = &memory{}
			}
			layers[dc][l].add(perLayer)
		}
	}
	for dc, all := range layers {
		out[dc].addLayers(all)
	}
}

// addLayers takes the layer with the least unused memory as the weakest if it has less than the present one.
func (c *centerRoom) addLayers(layers []*memory) {
	for _, one := range layers {
		if one != nil && (!c.hasLayers || one.unused < c.weakest.unused) {
			c.weakest, c.hasLayers = *one, true
		}
	}
}

// engineMemory returns the memory of an engine that requests may use at now, in tokens times layers.
func engineMemory(now time.Time, s *pkconfig.Service, t *pkreplica.Target) memory {
	capacity := s.Engine.KVCapacity(t.Kind, t.Held.Len()) * float64(t.Held.Len())
	if capacity <= 0 || t.Avoided(now) {
		return memory{}
	}
	used := t.OwnLoad().Tokens + t.PeerLoad().Tokens
	return memory{unused: min(max(capacity-used, 0), capacity), capacity: capacity}
}
