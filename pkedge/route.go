package pkedge

import (
	"fmt"
	"strings"
	"time"

	"peridotknot.example/pkforward"
	"peridotknot.example/pkid"
	"peridotknot.example/pklayers"
	"peridotknot.example/pkreplica"
)

// route is a path with its targets.
type route struct {
	parts   []pklayers.Part
	targets []*pkreplica.Target
	hops    []pkforward.Hop
	// cost is what a token takes over it, as it was chosen.
	cost time.Duration
}

func (r *route) add(t *pkreplica.Target, part pklayers.Part) {
	r.parts = append(r.parts, part)
	r.targets = append(r.targets, t)
	r.hops = append(r.hops, pkforward.Hop{Addr: t.Addr, Part: part})
}

func (r route) first() *pkreplica.Target { return r.targets[0] }

// String returns the path as it stands in logs: layers, data centre and kind of each
// engine.
func (r route) String() string {
	var b strings.Builder
	for i, p := range r.parts {
		if i > 0 {
			b.WriteByte(' ')
		}
		t := r.targets[i]
		fmt.Fprintf(&b, "%s=%d-%d@%s/%s", p.ID, p.Layers.First, p.Layers.End, t.DataCenter, t.Kind)
	}
	return b.String()
}

// ids returns the targets of the path.
func (r route) ids() []pkid.TargetID {
	out := make([]pkid.TargetID, len(r.parts))
	for i, p := range r.parts {
		out[i] = p.ID
	}
	return out
}

// find returns the place of a target on the path, or -1.
func (r route) find(id pkid.TargetID) int {
	for i, p := range r.parts {
		if p.ID == id {
			return i
		}
	}
	return -1
}

// replaced returns the path with the part at i replaced by other parts.
func (r route) replaced(i int, by route) route {
	var out route
	for k := range r.parts {
		if k != i {
			out.add(r.targets[k], r.parts[k])
			continue
		}
		for n := range by.parts {
			out.add(by.targets[n], by.parts[n])
		}
	}
	return out
}

// begin counts a request of some tokens on the path's targets and pipes, of which
// the prompt has yet to be read; the other entries know of it after toldAfter.
func (r route) begin(now time.Time, m *pklayers.Model, pipes *pklayers.Pipes, tokens, prompt float64, toldAfter time.Duration) {
	var before pkid.DataCenter
	for i, t := range r.targets {
		layers := r.parts[i].Layers.Len()
		read := time.Duration(0)
		if m != nil {
			read = m.ReadTime(t.Kind, layers, prompt)
		}
		t.Begin(now, tokens*float64(layers), read, toldAfter)
		if i > 0 && t.DataCenter != before {
			takes := time.Duration(0)
			if m != nil {
				takes = m.TransferTime(prompt)
			}
			pipes.Add(now, before, t.DataCenter, tokens, takes)
		}
		before = t.DataCenter
	}
}

// done ends what begin counted on the targets.
func (r route) done(tokens float64) {
	for i, t := range r.targets {
		t.Done(tokens * float64(r.parts[i].Layers.Len()))
	}
}
