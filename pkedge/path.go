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

// targetPath is a path over engines, or the one target of a plain service.
type targetPath struct {
	stages  []pklayers.Stage
	targets []*pkreplica.Target
	hops    []pkforward.Hop
	// cost is the cost per token at the time of the choice.
	cost time.Duration
	// reserved is set if the load of the request is on the targets already.
	reserved bool
}

func (p *targetPath) add(t *pkreplica.Target, stage pklayers.Stage) {
	p.stages = append(p.stages, stage)
	p.targets = append(p.targets, t)
	p.hops = append(p.hops, pkforward.Hop{Addr: t.Addr, Stage: stage})
}

func (p targetPath) first() *pkreplica.Target { return p.targets[0] }

// String returns the path for logs: layers, data centre and kind of each engine.
func (p targetPath) String() string {
	var b strings.Builder
	for i, stage := range p.stages {
		if i > 0 {
			b.WriteByte(' ')
		}
		t := p.targets[i]
		fmt.Fprintf(&b, "%s=%d-%d@%s/%s", stage.ID, stage.Layers.First, stage.Layers.End, t.DataCenter, t.Kind)
	}
	return b.String()
}

func (p targetPath) targetIDs() []pkid.TargetID {
	out := make([]pkid.TargetID, len(p.stages))
	for i, stage := range p.stages {
		out[i] = stage.ID
	}
	return out
}

// index returns the position of a target on the path, or -1.
func (p targetPath) index(id pkid.TargetID) int {
	for i, stage := range p.stages {
		if stage.ID == id {
			return i
		}
	}
	return -1
}

// withReplaced returns the path with the stage at i replaced by the stages of another path.
func (p targetPath) withReplaced(i int, by targetPath) targetPath {
	var out targetPath
	for k := range p.stages {
		if k != i {
			out.add(p.targets[k], p.stages[k])
			continue
		}
		for n := range by.stages {
			out.add(by.targets[n], by.stages[n])
		}
	}
	return out
}

// reserve adds the load of a request, in tokens, to the path's targets and the links between their
// data centres. prompt is the number of tokens that the engines have yet to prefill; the other
// entries learn of the load after reportDelay.
func (p targetPath) reserve(now time.Time, m *pklayers.Model, usage *pklayers.LinkUsage, tokens, prompt float64, reportDelay time.Duration) {
	var before pkid.DataCenter
	for i, t := range p.targets {
		layers := p.stages[i].Layers.Len()
		prefill := time.Duration(0)
		if m != nil {
			prefill = m.PrefillTime(t.Kind, layers, prompt)
		}
		t.Begin(now, tokens*float64(layers), prefill, reportDelay)
		if i > 0 && t.DataCenter != before {
			transfer := time.Duration(0)
			if m != nil {
				transfer = m.TransferTime(prompt)
			}
			usage.Add(now, before, t.DataCenter, tokens, transfer)
		}
		before = t.DataCenter
	}
}

// release removes from the targets the load that reserve added.
func (p targetPath) release(tokens float64) {
	for i, t := range p.targets {
		t.Done(tokens * float64(p.stages[i].Layers.Len()))
	}
}
