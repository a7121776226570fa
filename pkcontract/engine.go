package pkcontract

import (
	"errors"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"peridotknot.example/pkengine"
	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// EngineUnderTest is an adapter and an engine that holds a whole model alone
// and refuses old fencing numbers.
type EngineUnderTest struct {
	Engine pkengine.Engine
	Addr   string
	Target pkid.TargetID
}

// Engine tests an adapter of pkengine.Engine; open returns a fresh engine.
func Engine(t *testing.T, open func(*testing.T) EngineUnderTest) {
	t.Run("a stream has every token once and its end", func(t *testing.T) { streamIsWhole(t, open(t)) })
	t.Run("a stream resumes at an index", func(t *testing.T) { streamResumes(t, open(t)) })
	t.Run("what the engine does not hold is refused as not run", func(t *testing.T) { refusesWrongVersion(t, open(t)) })
	t.Run("an order is carried out and an older one refused", func(t *testing.T) { ordersAreFenced(t, open(t)) })
	t.Run("nobody at the address is not run", func(t *testing.T) { unreachable(t, open(t)) })
}

func (e EngineUnderTest) request(t *testing.T, tokens pkid.Tokens) pkengine.Open {
	t.Helper()
	l, err := e.Engine.Load(t.Context(), e.Addr)
	assert.NilError(t, err)
	hop := pkengine.Hop{Target: e.Target, Addr: e.Addr, First: l.First, End: l.End}
	return pkengine.Open{
		Stream: "s", Attempt: 1, Model: l.Model, Version: l.Version, Route: []pkengine.Hop{hop},
		Prompt: "p", PromptTokens: 1, MaxTokens: tokens, DeadlineMS: 10_000,
	}
}

// texts reads a stream to its end and returns its tokens by index.
func (e EngineUnderTest) texts(t *testing.T, o pkengine.Open) map[pkid.Index]string {
	t.Helper()
	s, err := e.Engine.Open(t.Context(), e.Addr, o)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	out := map[pkid.Index]string{}
	for {
		ev, err := s.Next()
		assert.NilError(t, err)
		switch {
		case ev.Beat:
		case ev.End != "":
			assert.Equal(t, ev.Total, pkid.Index(o.MaxTokens))
			return out
		default:
			_, twice := out[ev.Index]
			assert.Assert(t, !twice, "token %d came twice", ev.Index)
			out[ev.Index] = ev.Text
		}
	}
}

func streamIsWhole(t *testing.T, e EngineUnderTest) {
	const tokens = 20
	out := e.texts(t, e.request(t, tokens))
	assert.Equal(t, len(out), tokens)
	for i := range pkid.Index(tokens) {
		assert.Assert(t, out[i] != "", strconv.Itoa(int(i)))
	}
}

func streamResumes(t *testing.T, e EngineUnderTest) {
	whole := e.texts(t, e.request(t, 10))
	o := e.request(t, 10)
	o.Attempt = 2
	o.Next = 6
	for i := range o.Next {
		o.Delivered += whole[i]
	}
	rest := e.texts(t, o)
	assert.Equal(t, len(rest), 4)
	for i, text := range rest {
		assert.Equal(t, text, whole[i])
	}
}

func refusesWrongVersion(t *testing.T, e EngineUnderTest) {
	o := e.request(t, 1)
	o.Version += "-other"
	_, err := e.Engine.Open(t.Context(), e.Addr, o)
	var failure *pkverdict.Error
	assert.Assert(t, errors.As(err, &failure), err)
	assert.Equal(t, failure.Verdict, pkverdict.NotRun)
}

func ordersAreFenced(t *testing.T, e EngineUnderTest) {
	l, err := e.Engine.Load(t.Context(), e.Addr)
	assert.NilError(t, err)
	o := pkengine.Order{Fence: 5, Model: l.Model, Version: l.Version + "-next", First: l.First, End: l.End}
	assert.NilError(t, e.Engine.Order(t.Context(), e.Addr, o))
	for !o.Met(l) {
		l, err = e.Engine.Load(t.Context(), e.Addr)
		assert.NilError(t, err)
	}
	old := o
	old.Fence = 4
	old.Version = "old"
	assert.ErrorIs(t, e.Engine.Order(t.Context(), e.Addr, old), pkengine.ErrFenced)
	assert.NilError(t, e.Engine.Order(t.Context(), e.Addr, o), "the same order again is harmless")
}

func unreachable(t *testing.T, e EngineUnderTest) {
	_, err := e.Engine.Open(t.Context(), "127.0.0.1:1", pkengine.Open{})
	var failure *pkverdict.Error
	assert.Assert(t, errors.As(err, &failure), err)
	assert.Equal(t, failure.Verdict, pkverdict.NotRun)
}
