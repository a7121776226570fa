package pklayers

import "peridotknot.example/pkid"

// group is a set of data centres that is planned as a unit.
type group map[pkid.DataCenter]bool

// groups returns one group for each data centre that can hold the whole model at nominal capacity,
// and one for all others together. Between data centres the activations of the whole prompt are
// transferred and delay the tokens of all other streams on the link, so a path should leave its
// data centre only for layers that are missing there.
func groups(m *Model, engines []Placement) []group {
	var out []group
	layers := map[pkid.DataCenter]int{}
	nominal := map[pkid.AcceleratorKind]int{}
	var dataCenters []pkid.DataCenter
	for i := range engines {
		dc := engines[i].DataCenter
		if layers[dc] == 0 {
			dataCenters = append(dataCenters, dc)
		}
		k := engines[i].Kind
		if _, known := nominal[k]; !known {
			nominal[k] = m.nominalLayers(k)
		}
		layers[dc] += nominal[k]
	}
	remaining := group{}
	for _, dc := range dataCenters {
		if layers[dc] >= m.Layers {
			out = append(out, group{dc: true})
		} else {
			remaining[dc] = true
		}
	}
	if len(remaining) > 0 {
		out = append(out, remaining)
	}
	return out
}

// nominalCapacity returns how many tokens of KV cache an engine should have beside its layers: the
// declared capacity, or else enough for defaultConcurrency requests.
func (m *Model) nominalCapacity() float64 {
	if m.EngineTokens > 0 {
		return float64(m.EngineTokens)
	}
	return defaultConcurrency * float64(m.PromptTokens+m.AnswerTokens)
}

// nominalLayers returns how many layers an accelerator holds beside the nominal capacity, or in
// defaultLayerShare of its memory where the nominal capacity is unknown.
func (m *Model) nominalLayers(k pkid.AcceleratorKind) int {
	n := m.MaxLayers(k)
	if m.nominalCapacity() == 0 {
		return max(int(defaultLayerShare*float64(n)), 1)
	}
	for n > 1 && m.KVCapacity(k, n) < m.nominalCapacity() {
		n--
	}
	return n
}

// minCapacityLayers returns how many layers an accelerator holds if it keeps only minCapacityShare
// of the nominal capacity.
func (m *Model) minCapacityLayers(k pkid.AcceleratorKind) int {
	n := m.MaxLayers(k)
	for n > 1 && m.KVCapacity(k, n) < minCapacityShare*m.nominalCapacity() {
		n--
	}
	return n
}
