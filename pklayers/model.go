package pklayers

import (
	"time"

	"peridotknot.example/pkid"
)

// Accelerator is the memory and speed of one kind of accelerator.
type Accelerator struct {
	// MemoryMB is the memory for layers and KV cache together.
	MemoryMB float64
	// StepFactor multiplies the time of a decode step.
	StepFactor float64
	// PrefillFactor multiplies the prefill time.
	PrefillFactor float64
}

// Model describes the size of a model and the speed of its engines.
type Model struct {
	Layers  int
	LayerMB float64
	// TokenBytes is the KV cache of one token over all layers.
	TokenBytes float64
	// EngineTokens is the declared KV-cache capacity of an engine.
	EngineTokens pkid.Tokens
	// ActivationBytes is what is sent between engines for one token.
	ActivationBytes float64
	// LinkMbps is the bandwidth of the link between two data centres, shared by all entries.
	LinkMbps float64
	// Step is the time of a decode step over all layers at factor 1.
	Step time.Duration
	// PrefillPerSecond is the prefill rate over all layers at factor 1, in tokens a second.
	PrefillPerSecond float64
	// Chunk is the number of prompt tokens in one prefill chunk.
	Chunk int
	// EventTokens is the number of tokens in an event of a stream; zero counts as one.
	EventTokens int
	// LoadTime is how long all layers take to load.
	LoadTime time.Duration
	// PromptTokens and AnswerTokens are the typical sizes of a request.
	PromptTokens pkid.Tokens
	AnswerTokens pkid.Tokens
	// Kinds maps each kind of accelerator to its properties.
	Kinds map[pkid.AcceleratorKind]Accelerator
	// delays is the one-way delay between two data centres.
	delays map[pair]time.Duration
}

// SetDelay records the one-way delay between two data centres.
func (m *Model) SetDelay(a, b pkid.DataCenter, d time.Duration) {
	if m.delays == nil {
		m.delays = map[pair]time.Duration{}
	}
	m.delays[pairOf(a, b)] = d
}

// Delay returns the one-way delay between two data centres; zero if unknown.
func (m *Model) Delay(a, b pkid.DataCenter) time.Duration { return m.delays[pairOf(a, b)] }

// AllLayers returns the range of all layers of the model.
func (m *Model) AllLayers() pkid.Range { return pkid.Range{End: pkid.Layer(m.Layers)} }

// Contains reports whether the range lies within the layers of the model.
func (m *Model) Contains(r pkid.Range) bool {
	return r.First >= 0 && r.First <= r.End && int(r.End) <= m.Layers
}

// MaxLayers returns how many layers fit on an accelerator that keeps no memory for KV cache.
func (m *Model) MaxLayers(k pkid.AcceleratorKind) int {
	if m.LayerMB <= 0 {
		return 0
	}
	return min(int(m.Kinds[k].MemoryMB/m.LayerMB), m.Layers)
}

// KVCapacity returns the KV-cache capacity, in tokens, beside n layers; negative if they do not
// fit.
func (m *Model) KVCapacity(k pkid.AcceleratorKind, n int) float64 {
	const bytesPerMB = 1e6
	if n <= 0 || m.Layers <= 0 {
		return 0
	}
	perToken := m.TokenBytes / float64(m.Layers) * float64(n)
	return (m.Kinds[k].MemoryMB - m.LayerMB*float64(n)) * bytesPerMB / perToken
}

// StepTime returns the time of a decode step over n layers.
func (m *Model) StepTime(k pkid.AcceleratorKind, n int) time.Duration {
	return time.Duration(float64(m.Step) * m.Kinds[k].StepFactor * float64(n) / float64(max(m.Layers, 1)))
}

// PrefillTime returns the time to prefill tokens over n layers.
func (m *Model) PrefillTime(k pkid.AcceleratorKind, n int, tokens float64) time.Duration {
	if m.PrefillPerSecond <= 0 {
		return 0
	}
	share := float64(n) / float64(max(m.Layers, 1))
	return time.Duration(tokens / m.PrefillPerSecond * m.Kinds[k].PrefillFactor * share * float64(time.Second))
}

// TransferTime returns how long the activations of tokens occupy the link between data centres.
func (m *Model) TransferTime(tokens float64) time.Duration {
	if m.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(tokens * m.ActivationBytes * bitsPerByte / (m.LinkMbps * bitsPerMbit) * float64(time.Second))
}
