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

// targetPath is a path with its targets.
type targetPath struct {
	parts   []pklayers.Stage
	targets []*pkreplica.Target
	hops    []pkforward.Hop
	// cost is the cost per token at the time of the choice.
	cost time.Duration
}

func (p *targetPath) add(t *pkreplica.Target, part pklayers.Stage) {
	p.parts = append(p.parts, part)
	p.targets = append(p.targets, t)
	p.hops = append(p.hops, pkforward.Hop{Addr: t.Addr, Stage: part})
}

func (p targetPath) first() *pkreplica.Target { return p.targets[0] }

// String returns the path for logs: layers, data centre and kind of each engine.
func (p targetPath) String() string {
	var b strings.Builder
	for i, part := range p.parts {
		if i > 0 {
			b.WriteByte(' ')
		}
		t := p.targets[i]
		fmt.Fprintf(&b, "%s=%d-%d@%s/%s", part.ID, part.Layers.First, part.Layers.End, t.DataCenter, t.Kind)
	}
	return b.String()
}

func (p targetPath) targetIDs() []pkid.TargetID {
	out := make([]pkid.TargetID, len(p.parts))
	for i, part := range p.parts {
		out[i] = part.ID
	}
	return out
}

// index returns the position of a target on the path, or -1.
func (p targetPath) index(id pkid.TargetID) int {
	for i, part := range p.parts {
		if part.ID == id {
			return i
		}
	}
	return -1
}

// withReplaced returns the path with the part at i replaced by the parts of another path.
func (p targetPath) withReplaced(i int, by targetPath) targetPath {
	var out targetPath
	for k := range p.parts {
		if k != i {
			out.add(p.targets[k], p.parts[k])
			continue
		}
		for n := range by.parts {
			out.add(by.targets[n], by.parts[n])
		}
	}
	return out
}

// reserve adds the load of a request, in tokens, to the path's targets and pipes; its prompt is yet
// to be read, and the other entries learn of it after reportDelay.
func (p targetPath) reserve(now time.Time, m *pklayers.Model, pipes *pklayers.LinkUsage, tokens, prompt float64, reportDelay time.Duration) {
	var before pkid.DataCenter
	for i, t := range p.targets {
		layers := p.parts[i].Layers.Len()
		read := time.Duration(0)
		if m != nil {
			read = m.PrefillTime(t.Kind, layers, prompt)
		}
		t.Begin(now, tokens*float64(layers), read, reportDelay)
		if i > 0 && t.DataCenter != before {
			transfer := time.Duration(0)
			if m != nil {
				transfer = m.TransferTime(prompt)
			}
			pipes.Add(now, before, t.DataCenter, tokens, transfer)
		}
		before = t.DataCenter
	}
}

// release removes from the targets the load that reserve added.
func (p targetPath) release(tokens float64) {
	for i, t := range p.targets {
		t.Done(tokens * float64(p.parts[i].Layers.Len()))
	}
}
