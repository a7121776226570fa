package pklayers

import (
	"time"

	"peridotknot.example/pkid"
)

// Accelerator is what one kind of accelerator can do.
type Accelerator struct {
	// MemoryMB is the memory for layers and requests together.
	MemoryMB float64
	// StepFactor multiplies the time of a token step.
	StepFactor float64
	// ReadFactor multiplies the time to read a prompt.
	ReadFactor float64
}

// Model is the size of a model and the speed of its engines.
type Model struct {
	Layers  int
	LayerMB float64
	// TokenBytes is the memory of one token over all layers.
	TokenBytes float64
	// EngineTokens is the memory for requests that an engine is declared to have.
	EngineTokens pkid.Tokens
	// ActivationBytes is what passes between engines for one token.
	ActivationBytes float64
	// PipeMbps is the bandwidth between two data centres, shared by all.
	PipeMbps float64
	// Step is the time of a token step over all layers at factor 1.
	Step time.Duration
	// ReadPerSecond is how many prompt tokens are read over all layers at factor 1.
	ReadPerSecond float64
	// Chunk is how many prompt tokens are read at a time.
	Chunk int
	// EventTokens is how many tokens an event of a stream holds; zero counts as one.
	EventTokens int
	// LoadTime is how long all layers take to load.
	LoadTime time.Duration
	// PromptTokens and AnswerTokens are the usual sizes of a request.
	PromptTokens pkid.Tokens
	AnswerTokens pkid.Tokens
	// Kinds are the accelerators by name.
	Kinds map[pkid.Kind]Accelerator
	// delays is the time of one way between two data centres.
	delays map[pair]time.Duration
}

// SetDelay records the time of one way between two data centres.
func (m *Model) SetDelay(a, b pkid.DataCenter, d time.Duration) {
	if m.delays == nil {
		m.delays = map[pair]time.Duration{}
	}
	m.delays[pairOf(a, b)] = d
}

// Delay returns the time of one way between two data centres; zero where none is known.
func (m *Model) Delay(a, b pkid.DataCenter) time.Duration { return m.delays[pairOf(a, b)] }

// All returns all layers of the model.
func (m *Model) All() pkid.Range { return pkid.Range{End: pkid.Layer(m.Layers)} }

// Has says whether the model has all layers of a range.
func (m *Model) Has(r pkid.Range) bool {
	return r.First >= 0 && r.First <= r.End && int(r.End) <= m.Layers
}

// Most returns how many layers an accelerator can hold with no memory left.
func (m *Model) Most(k pkid.Kind) int {
	if m.LayerMB <= 0 {
		return 0
	}
	return min(int(m.Kinds[k].MemoryMB/m.LayerMB), m.Layers)
}

// Room returns how many tokens of requests fit beside n layers.
func (m *Model) Room(k pkid.Kind, n int) float64 {
	const bytesPerMB = 1e6
	if n <= 0 || m.Layers <= 0 {
		return 0
	}
	perToken := m.TokenBytes / float64(m.Layers) * float64(n)
	return (m.Kinds[k].MemoryMB - m.LayerMB*float64(n)) * bytesPerMB / perToken
}

// StepTime returns the time of a token step over n layers.
func (m *Model) StepTime(k pkid.Kind, n int) time.Duration {
	return time.Duration(float64(m.Step) * m.Kinds[k].StepFactor * float64(n) / float64(max(m.Layers, 1)))
}

// ReadTime returns the time to read tokens of a prompt over n layers.
func (m *Model) ReadTime(k pkid.Kind, n int, tokens float64) time.Duration {
	if m.ReadPerSecond <= 0 {
		return 0
	}
	share := float64(n) / float64(max(m.Layers, 1))
	return time.Duration(tokens / m.ReadPerSecond * m.Kinds[k].ReadFactor * share * float64(time.Second))
}

// TransferTime returns how long tokens take through the pipe between data centres.
func (m *Model) TransferTime(tokens float64) time.Duration {
	if m.PipeMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return time.Duration(tokens * m.ActivationBytes * bitsPerByte / (m.PipeMbps * bitsPerMbit) * float64(time.Second))
}
