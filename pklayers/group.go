package pklayers

import "peridotknot.example/pkid"

// group is the data centres whose engines run all layers among themselves.
type group map[pkid.DataCenter]bool

// groups returns each data centre that holds the model with room for requests, and all
// others together. What passes between data centres is the whole prompt, a megabyte for
// fifty tokens, and the tokens of all streams wait behind it in the pipe; so a path should
// leave its data centre only where that lacks layers.
func groups(m *Model, cards []Card) []group {
	var own []group
	layers := map[pkid.DataCenter]int{}
	usual := map[pkid.Kind]int{}
	var centers []pkid.DataCenter
	for i := range cards {
		dc := cards[i].DataCenter
		if layers[dc] == 0 {
			centers = append(centers, dc)
		}
		k := cards[i].Kind
		if _, known := usual[k]; !known {
			usual[k] = m.usualLayers(k)
		}
		layers[dc] += usual[k]
	}
	rest := group{}
	for _, dc := range centers {
		if layers[dc] >= m.Layers {
			own = append(own, group{dc: true})
		} else {
			rest[dc] = true
		}
	}
	if len(rest) > 0 {
		own = append(own, rest)
	}
	return own
}

// usualRoom returns how many tokens an engine should have room for beside its layers: what
// the pool declares. With much less, requests are refused while layers stand twice; with much
// more, hardly a layer is held by two engines, and each crash sends streams through the pipes.
func (m *Model) usualRoom() float64 {
	if m.EngineTokens > 0 {
		return float64(m.EngineTokens)
	}
	return engineRequests * float64(m.PromptTokens+m.AnswerTokens)
}

// usualLayers returns how many layers an accelerator holds with the usual room beside
// them, or in a share of its memory where the pool says nothing of its requests.
func (m *Model) usualLayers(k pkid.Kind) int {
	n := m.Most(k)
	if m.usualRoom() == 0 {
		return max(int(layerShare*float64(n)), 1)
	}
	for n > 1 && m.Room(k, n) < m.usualRoom() {
		n--
	}
	return n
}

// leastRoomLayers returns how many layers an accelerator holds where room for a few
// requests must do.
func (m *Model) leastRoomLayers(k pkid.Kind) int {
	n := m.Most(k)
	for n > 1 && m.Room(k, n) < leastRoomShare*m.usualRoom() {
		n--
	}
	return n
}
